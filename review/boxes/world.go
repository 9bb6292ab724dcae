package main

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood/ashwoodpb"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// world is what the boxes share.
type world struct {
	rec *record

	mu      sync.Mutex
	runs    map[string]int  // by payout: how often a writer ran it
	states  map[string]bool // read states that wait, by request
	reading map[string]bool
	whole   int
}

// box is a model box.
type box struct {
	ashwoodpb.UnimplementedBoxServer
	world *world
	id    string
	fails bool
}

const loadReport = "inflight=0,queue=0,x0=0.1,x1=0"

func (b *box) set(states map[string]bool, id string, value bool) (old bool) {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	old = states[id]
	states[id] = value
	return old
}

// Read reads a prompt.
func (b *box) Read(ctx context.Context, in *ashwoodpb.GenerateRequest) (*ashwoodpb.ReadResult, error) {
	grpc.SetTrailer(ctx, metadata.Pairs("ashwood-load", loadReport))
	b.set(b.world.reading, in.GetRequestId(), true)
	defer b.set(b.world.reading, in.GetRequestId(), false)
	select {
	case <-time.After(time.Duration(in.GetPromptTokens()) * time.Second / 15000):
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	b.set(b.world.states, in.GetRequestId(), true)
	return &ashwoodpb.ReadResult{}, nil
}

// Write runs a payout and streams the answer. A failing box ends half of its calls with an error once it
// has run them. It does not say that it turned them away.
func (b *box) Write(in *ashwoodpb.GenerateRequest, stream grpc.ServerStreamingServer[ashwoodpb.Token]) error {
	if !b.set(b.world.states, in.GetRequestId(), false) {
		stream.SetTrailer(metadata.Pairs("ashwood-turned-away", "1"))
		return status.Error(codes.FailedPrecondition, "no state")
	}
	stream.SetTrailer(metadata.Pairs("ashwood-load", loadReport))
	payout := string(in.GetPrompt())
	b.world.mu.Lock()
	b.world.runs[payout]++
	n := b.world.runs[payout]
	b.world.mu.Unlock()
	b.world.rec.printf("%s runs %s as request %s, run %d", b.id, payout, in.GetRequestId(), n)
	time.Sleep(30 * time.Millisecond)
	if b.fails && rand.Intn(2) == 0 {
		b.world.rec.printf("%s ends %s with an error (UNAVAILABLE, not turned away)", b.id, payout)
		return status.Error(codes.Unavailable, "worker lost")
	}
	for i := range 10 {
		if err := stream.Send(&ashwoodpb.Token{Text: fmt.Sprint(payout, " ", i, " ")}); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return stream.Send(&ashwoodpb.Token{FinishReason: "stop"})
}

// Reserve holds a place while the prompt is read.
func (b *box) Reserve(_ context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReserveResult, error) {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	return &ashwoodpb.ReserveResult{Held: b.world.reading[in.GetRequestId()]}, nil
}

// Release lets go of a request's state.
func (b *box) Release(_ context.Context, in *ashwoodpb.RoomRequest) (*ashwoodpb.ReleaseResult, error) {
	b.set(b.world.states, in.GetRequestId(), false)
	return &ashwoodpb.ReleaseResult{}, nil
}

// Load answers a probe.
func (b *box) Load(ctx context.Context, _ *ashwoodpb.LoadRequest) (*ashwoodpb.LoadResult, error) {
	grpc.SetTrailer(ctx, metadata.Pairs("ashwood-load", loadReport))
	return &ashwoodpb.LoadResult{}, nil
}

// run plays the clients once the gateway serves, and returns the case's exit code.
func (w *world) run(dir, gateway string, bad bool, payouts int) (int, error) {
	conn, err := grpc.NewClient("passthrough:///"+gateway, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return exitNotRun, err
	}
	defer conn.Close()
	if err := os.WriteFile(filepath.Join(dir, "configured"), nil, 0o644); err != nil {
		return exitNotRun, err
	}
	client := ashwoodpb.NewInferenceClient(conn)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if c, err := net4(gateway); err == nil {
			c.Close()
			break
		}
		if time.Now().After(end) {
			return exitNotRun, fmt.Errorf("no gateway at %s after 20 s", gateway)
		}
	}
	var all sync.WaitGroup
	for n := range payouts {
		if bad && n == 20 { // 2 s after the first
			all.Go(func() { w.playBad(gateway) })
		}
		all.Go(func() { w.order(client, fmt.Sprintf("payout-%d", n)) })
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	twice := 0
	for payout, n := range w.runs {
		if n > 1 {
			twice++
			w.rec.printf("BROKEN %s was run %d times", payout, n)
		}
	}
	w.rec.printf("payouts %d, answered whole %d, run more than once %d", payouts, w.whole, twice)
	switch {
	case twice > 0:
		return exitBroken, nil
	case w.whole < payouts/2:
		return exitNotRun, nil
	}
	return exitHeld, nil
}

// order asks for a payout. It tries again, at most twice and with a new id, where the gateway has refused
// (RESOURCE_EXHAUSTED or UNAVAILABLE) or was not reached (UNAVAILABLE); after any other error it does not.
func (w *world) order(client ashwoodpb.InferenceClient, payout string) {
	for try := range 3 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		text, err := generate(client, payout, id, try > 0)
		w.rec.printf("client: %s, try %d as request %s: %d bytes, status %v: %v", payout, try, id, len(text), status.Code(err), err)
		code := status.Code(err)
		if code == codes.OK {
			w.mu.Lock()
			w.whole++
			w.mu.Unlock()
		}
		if text != "" || code != codes.Unavailable && code != codes.ResourceExhausted {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// generate makes one call and returns the text that came.
func generate(client ashwoodpb.InferenceClient, payout, id string, resent bool) (text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stream, err := client.Generate(ctx, &ashwoodpb.GenerateRequest{
		RequestId: id, Class: "send-order", Session: "aa" + id, PromptTokens: 900, MaxTokens: 120, FirstTokenMs: 6000, Resent: resent, Prompt: []byte(payout),
	})
	for err == nil {
		var token *ashwoodpb.Token
		if token, err = stream.Recv(); err == nil {
			text += token.GetText()
		}
	}
	if err.Error() == "EOF" {
		err = nil
	}
	return text, err
}
