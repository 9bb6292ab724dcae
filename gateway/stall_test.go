package gateway

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ashwood.example/ashwood"
)

// stalls is a stream that gives one piece and then hangs until its context ends.
type hangingStream struct {
	pieceStream
	ctx     context.Context
	hanging chan struct{}
}

func (s *hangingStream) Next() ([]byte, error) {
	if len(s.remaining) > 0 {
		return s.pieceStream.Next()
	}
	close(s.hanging)
	<-s.ctx.Done()
	return nil, context.Cause(s.ctx)
}

// A stream that falls silent is not held for ever: not long where its engine has
// begun a later answer, and where nothing is heard of the engine, which may hang
// or have taken the answer back into its queue, for as long as its client may be left waiting.
func TestStream_StallEndsAnswer(t *testing.T) {
	for _, works := range []bool{true, false} {
		stalled := &hangingStream{pieceStream: pieceStream{remaining: []string{"a"}}, hanging: make(chan struct{})}
		p := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{
			"r1": {resultOf(ashwood.Parsed), resultOf(ashwood.Parsed)},
			"w1": {{Result: ashwood.Result{Status: ashwood.Served}, Stream: stalled}, streamResult(io.EOF, "b")}}}
		g, c := startManualClock(t, p)
		r := serve(t, g, context.Background(), "chat")
		if piece, err := r.Stream.Next(); string(piece) != "a" || err != nil {
			t.Fatal(string(piece), err)
		}
		ended := make(chan error)
		go func() {
			_, err := r.Stream.Next()
			ended <- err
		}()
		<-stalled.hanging
		var err error
		if works {
			c.Advance(1)
			req := request("chat")
			req.ID = "later"
			if later, err := g.Serve(context.Background(), req); err != nil || later.Kind != Served {
				t.Fatal(later, err)
			}
			c.Advance(stallSuspectAfter)
			err = <-ended
		} else {
			waited, over := 0.0, false
			for !over {
				select {
				case err = <-ended:
					over = true
				default:
					c.Advance(stallCheckInterval)
					waited += stallCheckInterval
				}
			}
			if waited < stallTimeout || stallTimeout >= 5000 {
				t.Errorf("ended after %v ms", waited)
			}
		}
		if !errors.Is(err, ErrStalled) {
			t.Errorf("engine works %v: ended with %v", works, err)
		}
		r.Stream.Close()
	}
}

// paced is a stream that gives a piece each time that it is asked to, until it is closed.
type steppedStream struct {
	pieceStream
	step chan struct{}
}

func (s *steppedStream) Next() ([]byte, error) {
	if _, ok := <-s.step; !ok {
		return nil, io.EOF
	}
	return []byte("x"), nil
}

// An answer that stops in the middle, at an engine where nothing else is begun, is ended
// within the 5 s that a client may be left waiting: sooner if another answer of that engine
// goes on and the engine says that nothing waits there. One that was taken back into the
// queue waits there, and is waited for as long as its client may be; so is one whose engine
// as a whole has stopped.
func TestStream_StallBesideOtherAnswers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		others bool          // another answer goes on
		queue  float64       // told by a probe
		want   time.Duration // of silence, after which it is ended
	}{
		{"stopped alone", true, 0, (stallSuspectAfter + stallCheckInterval) * time.Millisecond},
		{"taken back into the queue", true, 1, stallTimeout * time.Millisecond},
		{"the engine hangs", false, 0, stallTimeout * time.Millisecond},
	} {
		stalled := &hangingStream{pieceStream: pieceStream{remaining: []string{"a", "b"}}}
		going := &steppedStream{}
		p := &fakeTransport{gatewayCount: 2, reserveResult: ReserveRefused, loadReport: ashwood.Report{ashwood.ReportQueue: tt.queue}, results: map[ashwood.ServerID][]AttemptResult{
			"r1": {resultOf(ashwood.Parsed), resultOf(ashwood.Parsed)},
			"w1": {{Result: ashwood.Result{Status: ashwood.Served}, Stream: going}, {Result: ashwood.Result{Status: ashwood.Served}, Stream: stalled}}}}
		synctest.Test(t, func(t *testing.T) {
			stalled.hanging, going.step, p.probed = make(chan struct{}), make(chan struct{}, 1), make(chan string, 99)
			g := startGateway(t, p, SystemClock())
			other := serve(t, g, t.Context(), "chat")
			time.Sleep(time.Millisecond)
			req := request("chat")
			req.ID = "stops"
			r, err := g.Serve(t.Context(), req)
			if err != nil || r.Kind != Served {
				t.Fatal(r, err)
			}
			for range 2 {
				if _, err := r.Stream.Next(); err != nil {
					t.Fatal(err)
				}
			}
			begun, ended := time.Now(), make(chan time.Duration, 1)
			go func() {
				_, err := r.Stream.Next()
				if ended <- time.Since(begun); !errors.Is(err, ErrStalled) {
					t.Errorf("%s: ended with %v", tt.name, err)
				}
			}()
			for time.Since(begun) < 5*time.Second && len(ended) == 0 {
				if tt.others {
					going.step <- struct{}{}
					if _, err := other.Stream.Next(); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(stallCheckInterval * time.Millisecond)
				synctest.Wait()
			}
			close(going.step)
			r.Stream.Close() // ends one that was left waiting
			if after := <-ended; after != tt.want {
				t.Errorf("%s: ended after %v, want %v", tt.name, after, tt.want)
			}
			other.Stream.Close()
			if len(g.progress.byEngine) != 0 {
				t.Errorf("%s: %d pulses are left", tt.name, len(g.progress.byEngine))
			}
			g.Wait()
		})
	}
}
