package grpcfront

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/internal/clock"
)

// releaser is a box that answers releases as it is told to.
type releaser struct {
	ashwoodpb.UnimplementedBoxServer
	answer func(context.Context) error
}

func (r *releaser) Release(ctx context.Context, _ *ashwoodpb.RoomRequest) (*ashwoodpb.ReleaseResult, error) {
	return &ashwoodpb.ReleaseResult{}, r.answer(ctx)
}

// openReleaser starts a box and a transport to it.
func openReleaser(t *testing.T, l net.Listener, answer func(context.Context) error) *Engines {
	t.Helper()
	s := grpc.NewServer()
	ashwoodpb.RegisterBoxServer(s, &releaser{answer: answer})
	go s.Serve(l)
	t.Cleanup(s.Stop)
	boxes := NewEngines(settings(), insecure.NewCredentials(), clock.System())
	t.Cleanup(boxes.Close)
	return boxes
}

// release makes one call as the gateway does, bounded in time.
func release(t *testing.T, boxes *Engines, address string, fresh bool, within time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	return boxes.Release(ctx, ashwood.Server{ID: "w1", Kind: "writer", Address: address}, "q", fresh)
}

// A release counts as made where the box has sent something back, be it an error; not where it gave no sign. What was
// seen: a state held at a silent box for as long as that lived, since Boxes.Release gave nil behind
// whatever RecvMsg gave ("it counts once it is there"), also behind the end of its time: the ledger
// then had it as made ("released … end=made"). No log tells this from a release that was taken.
func TestRelease_WithoutAnswerIsNotMade(t *testing.T) {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) }) // before the box is stopped, which waits for its calls
	for name, tt := range map[string]struct {
		answer func(context.Context) error
		made   bool
	}{
		"answered": {func(context.Context) error { return nil }, true},
		"an error": {func(context.Context) error { return status.Error(codes.Internal, "no") }, true},
		"no answer": {func(context.Context) error {
			<-over
			return nil
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			boxes := openReleaser(t, l, tt.answer)
			if err := release(t, boxes, l.Addr().String(), false, 500*time.Millisecond); (err == nil) != tt.made {
				t.Errorf("gave %v", err)
			}
		})
	}
}

// muting relays connections to a box. Those that were open when it was muted go silent; new ones do not.
type muting struct {
	net.Listener
	to    string
	mu    sync.Mutex
	mute  chan struct{} // closed for the connections of before
	pairs []net.Conn
}

func openMuting(t *testing.T, to string) *muting {
	t.Helper()
	m := &muting{Listener: listen(t), to: to, mute: make(chan struct{})}
	go m.serve()
	t.Cleanup(func() {
		m.Close()
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, c := range m.pairs {
			c.Close()
		}
	})
	return m
}

func (m *muting) serve() {
	for {
		in, err := m.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", m.to)
		if err != nil {
			in.Close()
			continue
		}
		m.mu.Lock()
		mute := m.mute
		m.pairs = append(m.pairs, in, out)
		m.mu.Unlock()
		go pass(out, in, mute)
		go pass(in, out, mute)
	}
}

func (m *muting) muteOpen() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.mute)
	m.mute = make(chan struct{})
}

// pass copies until either side ends; once it is mute, it reads all and writes nothing.
func pass(to io.Writer, from io.Reader, mute <-chan struct{}) {
	bytes := make([]byte, 4096)
	for {
		n, err := from.Read(bytes)
		if err != nil {
			return
		}
		select {
		case <-mute:
			continue
		default:
		}
		if _, err := to.Write(bytes[:n]); err != nil {
			return
		}
	}
}

// A release that got no answer is made again on a connection that was not there then. What was seen: with
// one connection alone silent, each further try went on that very connection, until the library's
// pings closed it after 12 s; the rule gives 0.8 s.
func TestRelease_AgainOnANewConnection(t *testing.T) {
	l := listen(t)
	boxes := openReleaser(t, l, func(context.Context) error { return nil })
	m := openMuting(t, l.Addr().String())
	address := m.Addr().String()
	if err := release(t, boxes, address, false, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	m.muteOpen()
	if err := release(t, boxes, address, false, 300*time.Millisecond); err == nil {
		t.Error("made on a silent connection")
	}
	if err := release(t, boxes, address, true, 5*time.Second); err != nil {
		t.Errorf("on a new connection: %v", err)
	}
}
