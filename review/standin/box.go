package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood/ashwoodpb"
)

// Box is a model box that speaks gRPC. It has as many streams open on a connection as it takes requests: so many run
// at once and so many more wait.
type Box struct {
	ashwoodpb.UnimplementedBoxServer
	ID, Addr string
	Arrived  func(method, id string) // called as a request begins

	shared   *BoxStates
	slots    chan struct{}
	fail     func(id string) error
	readTime time.Duration
	answer   int // tokens
	gap      time.Duration
}

// BoxStates are the read states that boxes keep for each other.
type BoxStates struct {
	mu   sync.Mutex
	kept map[string]bool
}

// BoxConfig tells what a box can do.
type BoxConfig struct {
	ID            string
	AtOnce, More  int
	ReadTime, Gap time.Duration
	Tokens        int
	Arrived       func(method, id string)
	// Fail is called once an answer runs, before its first token: an error ends the call; nil = never.
	Fail func(id string) error
}

// StartBox starts a box.
func StartBox(cfg BoxConfig, states *BoxStates) (*Box, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Box{
		ID: cfg.ID, Addr: l.Addr().String(), Arrived: cfg.Arrived, shared: states, slots: make(chan struct{}, cfg.AtOnce),
		fail: cfg.Fail, readTime: cfg.ReadTime, answer: cfg.Tokens, gap: cfg.Gap,
	}
	server := grpc.NewServer(grpc.MaxConcurrentStreams(uint32(cfg.AtOnce + cfg.More)))
	ashwoodpb.RegisterBoxServer(server, b)
	go server.Serve(l)
	return b, nil
}

// take waits for a slot.
func (b *Box) take(ctx context.Context) error {
	select {
	case b.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read reads a prompt.
func (b *Box) Read(ctx context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	b.Arrived("read", in.GetRequestId())
	if err := b.take(ctx); err != nil {
		return nil, err
	}
	defer func() { <-b.slots }()
	pause(ctx, b.readTime)
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	if b.shared.kept == nil {
		b.shared.kept = map[string]bool{}
	}
	b.shared.kept[in.GetRequestId()] = true
	return &ashwoodpb.ReadResult{}, nil
}

// Write streams an answer.
func (b *Box) Write(in *ashwoodpb.GenerateRequest, out grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	id := in.GetRequestId()
	b.Arrived("write", id)
	b.shared.mu.Lock()
	found := b.shared.kept[id]
	delete(b.shared.kept, id) // from now on an attempt waits for it: a release leaves it
	b.shared.mu.Unlock()
	if !found {
		out.SetTrailer(metadata.Pairs("ashwood-turned-away", "1"))
		return status.Error(codes.FailedPrecondition, "no state")
	}
	if err := b.take(out.Context()); err != nil {
		b.shared.mu.Lock()
		defer b.shared.mu.Unlock()
		b.shared.kept[id] = true
		return err
	}
	defer func() { <-b.slots }()
	if b.fail != nil {
		if !pause(out.Context(), b.gap) {
			return out.Context().Err()
		}
		if err := b.fail(id); err != nil {
			return err
		}
	}
	for range b.answer {
		if !pause(out.Context(), b.gap) {
			return out.Context().Err()
		}
		if err := out.Send(&ashwoodpb.Token{Text: id + " "}); err != nil {
			return err
		}
	}
	return nil
}

// Reserve holds a place.
func (b *Box) Reserve(_ context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReserveResult, error) {
	b.Arrived("reserve", in.GetRequestId())
	return &ashwoodpb.ReserveResult{Held: true}, nil
}

// Release lets go of what is held.
func (b *Box) Release(_ context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReleaseResult, error) {
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	delete(b.shared.kept, in.GetRequestId())
	return &ashwoodpb.ReleaseResult{}, nil
}

// Load tells the load.
func (b *Box) Load(context.Context, *ashwoodpb.LoadRequest) (*ashwoodpb.LoadResult, error) {
	return &ashwoodpb.LoadResult{}, nil
}
