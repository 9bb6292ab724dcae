package grpcfront

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"ashwood.example/ashwood/ashwoodpb"
	"ashwood.example/ashwood/gateway"
	"ashwood.example/ashwood/internal/clock"
)

const (
	// readTimeout is the time in ms from the start of a call until its request must be complete.
	readTimeout = 2700.0
	// maxHeaderBytes limits the metadata of a call.
	maxHeaderBytes = 16 << 10
	// maxMetadataFields limits their number: each takes many times the bytes of a short one.
	maxMetadataFields = 128
	// callOverhead is the memory in bytes that a call may need besides its message: its state and stacks, some
	// 16 KiB, and its metadata.
	callOverhead = 16<<10 + maxHeaderBytes
)

// callTracker limits the time and the memory of clients' calls until the gateway knows their requests: a client
// may begin calls and never finish them. It counts the bytes received for unfinished calls by connection, since
// the gRPC library does not tell which call they belong to. When all calls together need more than their limit,
// the unfinished calls of the connection that needs most are evicted, and nothing more is read from clients until
// evicted calls have given their memory back.
//
// Lock order: callTracker.mu is taken last.
type callTracker struct {
	clock    clock.Clock
	log      *slog.Logger
	maxBytes int64         // for all processes of this gateway
	refusal  gateway.Reply // to calls for which there is no memory
	quick    *rate.Limiter // of calls that end without an engine's work, beyond those of each connection

	mu        sync.Mutex
	limit     int64                    // bytes, for this process
	used      int64                    // by calls that are not evicted
	evicting  int64                    // by evicted calls that have not ended
	callEnded sync.Cond                // signalled when an evicted call has ended
	reading   map[*clientConn]struct{} // connections with unfinished calls
	readUntil float64                  // ms of the clock, after which no request is read
}

func newCallTracker(maxBytes int64, refusal gateway.Reply, c clock.Clock, log *slog.Logger) *callTracker {
	t := &callTracker{
		clock: c, log: log, maxBytes: maxBytes, refusal: refusal, limit: maxBytes,
		quick: rate.NewLimiter(quickCallsPerFront, quickCallsPerFront), reading: map[*clientConn]struct{}{}, readUntil: math.Inf(1),
	}
	t.callEnded.L = &t.mu
	return t
}

// setProcesses divides the memory among the processes of this gateway.
func (t *callTracker) setProcesses(processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = t.maxBytes / int64(max(processes, 1))
	t.makeRoom()
}

// expireReadsAfter ends calls whose request is not complete after d, also those that begin later.
func (t *callTracker) expireReadsAfter(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readUntil = min(t.readUntil, t.clock.Now()+clock.Millis(d))
	for conn := range t.reading {
		for call := range conn.unfinished {
			call.stopTimer()
			t.startReadTimer(call)
		}
	}
}

// awaitEvicted waits while evicted calls that have not ended take the memory over the limit. They end by
// themselves, whatever their clients do.
func (t *callTracker) awaitEvicted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.evicting > 0 && t.used+t.evicting > t.limit {
		t.callEnded.Wait()
	}
}

func (t *callTracker) countReceived(conn *clientConn, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(conn.unfinished) > 0 {
		conn.received += n
		t.used += n
		t.makeRoom()
	}
}

// clientCall is a call from its headers to its end.
type clientCall struct {
	tracker *callTracker
	conn    *clientConn
	cancel  context.CancelFunc // ends a call whose message the library reads; nil if the handler reads it
	evicted chan struct{}      // closed when the call is ended without its request

	// Guarded by tracker.mu:
	startedAt float64 // ms of the clock
	stopTimer func() bool
	err       error // the final status of an evicted call
	held      int64 // bytes of memory counted for this call alone
	worked    bool  // an engine has worked on it
}

type callKey struct{}

// callOf returns the call of a context, or nil if it is not tracked.
func callOf(ctx context.Context) *clientCall {
	call, _ := ctx.Value(callKey{}).(*clientCall)
	return call
}

// begin starts to track a call. It is called for each call when its headers have been read, and implements
// tap.ServerInHandle. It never fails: the library does not release the context of a call that is rejected here.
func (t *callTracker) begin(ctx context.Context, info *tap.Info) (context.Context, error) {
	client, ok := peer.FromContext(ctx)
	if !ok {
		return ctx, nil
	}
	addr, ok := client.Addr.(connAddr)
	if !ok {
		return ctx, nil
	}
	present := t.awaitPace(addr.conn)
	call := &clientCall{tracker: t, conn: addr.conn, evicted: make(chan struct{}), startedAt: t.clock.Now(), held: callOverhead}
	switch {
	case !present:
		// The calls that are still to be read from the connection would begin for nobody. An error means that it is closed.
		_ = call.conn.Conn.Close()
		return call.reject(ctx, status.Error(codes.Canceled, "the client has closed its connection")), nil
	case countFields(info.Header) > maxMetadataFields:
		t.pauseReading(call.conn, manyFieldsPause)
		return call.reject(ctx, status.Error(codes.InvalidArgument, fmt.Sprintf("more than %d metadata fields", maxMetadataFields))), nil
	}
	context.AfterFunc(ctx, call.end)
	ctx = context.WithValue(ctx, callKey{}, call)
	if info.FullMethodName != ashwoodpb.Inference_Generate_FullMethodName {
		ctx, call.cancel = context.WithCancel(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	call.conn.unfinished[call] = struct{}{}
	t.reading[call.conn] = struct{}{}
	t.used += call.held
	t.startReadTimer(call)
	t.makeRoom()
	return ctx, nil
}

// reject ends a call as it begins, and returns its context. Nothing is counted for it.
func (call *clientCall) reject(ctx context.Context, err error) context.Context {
	call.err, call.held = err, 0
	close(call.evicted)
	context.AfterFunc(ctx, call.end)
	return context.WithValue(ctx, callKey{}, call)
}

// countFields counts the values of a call's metadata.
func countFields(header metadata.MD) (count int) {
	for _, values := range header {
		count += len(values)
	}
	return count
}

// startReadTimer starts the timer that ends a call whose request does not become complete. The caller holds t.mu.
func (t *callTracker) startReadTimer(call *clientCall) {
	deadline := min(call.startedAt+readTimeout, t.readUntil)
	call.stopTimer = t.clock.AfterFunc(deadline-t.clock.Now(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.evict(call, status.Error(codes.InvalidArgument, fmt.Sprintf("the request was not complete after %.1f s; it has not run", (t.clock.Now()-call.startedAt)/1000)))
	})
}

// makeRoom evicts unfinished calls until the memory needed is within the limit or none is left. The caller holds
// t.mu.
func (t *callTracker) makeRoom() {
	for t.used > t.limit && len(t.reading) > 0 {
		var largest *clientConn
		for conn := range t.reading {
			if largest == nil || conn.memory() > largest.memory() {
				largest = conn
			}
		}
		t.log.Debug("calls ended to free memory", "client", largest.Conn.RemoteAddr(), "calls", len(largest.unfinished), "bytes", largest.memory())
		for call := range largest.unfinished {
			t.evict(call, refusalStatus(t.refusal))
		}
	}
}

// evict ends an unfinished call with a status. Its part of the bytes received for its connection's unfinished calls
// counts until it has ended. The caller holds t.mu.
func (t *callTracker) evict(call *clientCall, err error) {
	conn := call.conn
	if _, ok := conn.unfinished[call]; !ok {
		return
	}
	part := conn.received / int64(len(conn.unfinished))
	conn.received -= part
	t.used -= part + call.held
	call.held += part
	t.evicting += call.held
	t.stopReading(call)
	call.err = err
	close(call.evicted)
	if call.cancel != nil {
		go call.cancel() // not before begin has returned
	}
}

// stopReading takes a call from the unfinished ones, and reports whether it was one of them. The caller holds t.mu.
func (t *callTracker) stopReading(call *clientCall) bool {
	conn := call.conn
	if _, ok := conn.unfinished[call]; !ok {
		return false
	}
	call.stopTimer()
	delete(conn.unfinished, call)
	if len(conn.unfinished) == 0 {
		t.used -= conn.received
		conn.received = 0
		delete(t.reading, conn)
	}
	return true
}

// complete records that a call's request has been received whole. An evicted call returns its status.
func (call *clientCall) complete(messageBytes int) error {
	t := call.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if call.err != nil {
		return call.err
	}
	if !t.stopReading(call) {
		return nil // the call has ended
	}
	counted := min(int64(messageBytes), call.conn.received)
	call.conn.received -= counted
	call.held += int64(messageBytes)
	t.used += int64(messageBytes) - counted
	t.makeRoom()
	return nil
}

// recordWork records that an engine has worked on a call.
func (call *clientCall) recordWork() {
	call.tracker.mu.Lock()
	defer call.tracker.mu.Unlock()
	call.worked = true
}

// end stops tracking a call.
func (call *clientCall) end() {
	t := call.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if !call.worked {
		t.countQuickCall(call.conn)
	}
	if call.err != nil {
		t.evicting -= call.held
		t.callEnded.Broadcast()
		return
	}
	t.stopReading(call)
	t.used -= call.held
}
