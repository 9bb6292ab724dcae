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

// releaseEngine is an engine that answers releases with respond.
type releaseEngine struct {
	ashwoodpb.UnimplementedBoxServer
	respond func(context.Context) error
}

func (r *releaseEngine) Release(ctx context.Context, _ *ashwoodpb.RoomRequest) (*ashwoodpb.ReleaseResult, error) {
	return &ashwoodpb.ReleaseResult{}, r.respond(ctx)
}

// startReleaseEngine starts an engine and returns a transport to it.
func startReleaseEngine(t *testing.T, l net.Listener, respond func(context.Context) error) *Engines {
	t.Helper()
	s := grpc.NewServer()
	ashwoodpb.RegisterBoxServer(s, &releaseEngine{respond: respond})
	go s.Serve(l)
	t.Cleanup(s.Stop)
	transport := NewEngines(testSettings(), insecure.NewCredentials(), clock.System())
	t.Cleanup(transport.Close)
	return transport
}

// callRelease makes one release call with a timeout, as the gateway does.
func callRelease(t *testing.T, transport *Engines, address string, newConn bool, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return transport.Release(ctx, ashwood.Server{ID: "w1", Kind: "decode", Address: address}, "q", newConn)
}

// A release counts as delivered if the engine has sent anything back, even an error, but not if it sent nothing.
// Guards against KV state that a silent engine held for as long as it ran: Engines.Release returned nil whatever
// RecvMsg returned, also after its timeout, so that the ledger recorded a delivery ("released … end=made"). No log
// distinguishes that from a release that was received.
func TestRelease_Unanswered(t *testing.T) {
	finish := make(chan struct{})
	t.Cleanup(func() { close(finish) }) // before the engine is stopped, which waits for its calls
	for name, tt := range map[string]struct {
		respond   func(context.Context) error
		delivered bool
	}{
		"answered": {func(context.Context) error { return nil }, true},
		"an error": {func(context.Context) error { return status.Error(codes.Internal, "no") }, true},
		"no answer": {func(context.Context) error {
			<-finish
			return nil
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			transport := startReleaseEngine(t, l, tt.respond)
			if err := callRelease(t, transport, l.Addr().String(), false, 500*time.Millisecond); (err == nil) != tt.delivered {
				t.Errorf("Release returned %v, want delivered %v", err, tt.delivered)
			}
		})
	}
}

// silencingProxy relays connections to an engine. silenceOpenConns silences those that are open; new ones are relayed.
type silencingProxy struct {
	net.Listener
	target   string
	mu       sync.Mutex
	silenced chan struct{} // closed for the connections that were open before
	conns    []net.Conn
}

func startSilencingProxy(t *testing.T, target string) *silencingProxy {
	t.Helper()
	proxy := &silencingProxy{Listener: listen(t), target: target, silenced: make(chan struct{})}
	go proxy.serve()
	t.Cleanup(func() {
		proxy.Close()
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		for _, c := range proxy.conns {
			c.Close()
		}
	})
	return proxy
}

func (p *silencingProxy) serve() {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		silenced := p.silenced
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go copyUntilSilenced(out, in, silenced)
		go copyUntilSilenced(in, out, silenced)
	}
}

func (p *silencingProxy) silenceOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// copyUntilSilenced copies until either side ends. Once silenced, it keeps reading and writes nothing.
func copyUntilSilenced(to io.Writer, from io.Reader, silenced <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silenced:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// A release that got no answer is retried on a connection that did not exist then. Guards against retries on the
// same connection: with that connection alone silent, each retry used it until the library's keep-alive closed it
// after 12 s, while the rule allows 0.8 s.
func TestRelease_RetryOnNewConnection(t *testing.T) {
	l := listen(t)
	transport := startReleaseEngine(t, l, func(context.Context) error { return nil })
	proxy := startSilencingProxy(t, l.Addr().String())
	address := proxy.Addr().String()
	if err := callRelease(t, transport, address, false, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	proxy.silenceOpenConns()
	if err := callRelease(t, transport, address, false, 300*time.Millisecond); err == nil {
		t.Error("a release on a silent connection counts as delivered")
	}
	if err := callRelease(t, transport, address, true, 5*time.Second); err != nil {
		t.Errorf("release on a new connection: %v", err)
	}
}
