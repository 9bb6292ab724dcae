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

// hangingStream is a stream that returns its pieces and then hangs until its context ends.
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

// A stream that falls silent is cancelled: early if its engine has begun a later answer. If nothing is received
// from the engine, which may hang or have put the answer back into its queue, it is cancelled
// within the time that its client may wait.
func TestStream_StallEndsAnswer(t *testing.T) {
	for _, works := range []bool{true, false} {
		stalled := &hangingStream{pieceStream: pieceStream{remaining: []string{"a"}}, hanging: make(chan struct{})}
		fake := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{
			"r1": {resultOf(ashwood.StatusPrefilled), resultOf(ashwood.StatusPrefilled)},
			"w1": {{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: stalled}, streamResult(io.EOF, "b")}}}
		g, manualClock := startManualClock(t, fake)
		reply := serve(t, g, context.Background(), "chat")
		if piece, err := reply.Stream.Next(); string(piece) != "a" || err != nil {
			t.Fatal(string(piece), err)
		}
		ended := make(chan error)
		go func() {
			_, err := reply.Stream.Next()
			ended <- err
		}()
		<-stalled.hanging
		var err error
		if works {
			manualClock.Advance(1)
			laterRequest := request("chat")
			laterRequest.ID = "later"
			if later, err := g.Serve(context.Background(), laterRequest); err != nil || later.Kind != Served {
				t.Fatal(later, err)
			}
			manualClock.Advance(stallSuspectAfter)
			err = <-ended
		} else {
			waited, over := 0.0, false
			for !over {
				select {
				case err = <-ended:
					over = true
				default:
					manualClock.Advance(stallCheckInterval)
					waited += stallCheckInterval
				}
			}
			if waited < stallTimeout || stallTimeout >= 5000 {
				t.Errorf("ended after %v ms, want at least stallTimeout, which must be below 5000", waited)
			}
		}
		if !errors.Is(err, ErrStalled) {
			t.Errorf("engine works: %v, stream ended with %v", works, err)
		}
		reply.Stream.Close()
	}
}

// steppedStream is a stream that returns one piece for each value of step, until step is closed.
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

// resumingStream is a stream whose context ends it while it waits for the next step.
type resumingStream struct {
	steppedStream
	ctx context.Context
}

func (s *resumingStream) Next() ([]byte, error) {
	select {
	case <-s.step:
		return []byte("x"), nil
	case <-s.ctx.Done():
		return nil, context.Cause(s.ctx)
	}
}

// Guards against an answer that is cut off at an engine which falls silent on it alone, for less time than the 5 s that
// its client may wait, and then goes on: that other answers make progress and nothing is queued does not show a stall.
func TestStream_ResumesBesideOtherAnswers(t *testing.T) {
	const silence = 4 * time.Second
	resuming, going := &resumingStream{}, &steppedStream{}
	fake := &fakeTransport{gatewayCount: 2, reserveResult: ReserveRefused, loadReport: ashwood.Report{ashwood.ReportQueue: 0}, results: map[ashwood.ServerID][]AttemptResult{
		"r1": {resultOf(ashwood.StatusPrefilled), resultOf(ashwood.StatusPrefilled)},
		"w1": {{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: resuming}, {Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: going}}}}
	synctest.Test(t, func(t *testing.T) {
		resuming.step, going.step, fake.probed = make(chan struct{}, 1), make(chan struct{}, 1), make(chan string, 99)
		g := startGateway(t, fake, SystemClock())
		answer := serve(t, g, t.Context(), "chat")
		time.Sleep(time.Millisecond) // of the bubble's clock, as below
		laterRequest := request("chat")
		laterRequest.ID = "later"
		later, err := g.Serve(t.Context(), laterRequest)
		if err != nil || later.Kind != Served {
			t.Fatal(later, err)
		}
		defer later.Stream.Close()
		pieces := make(chan error, 1)
		go func() {
			_, err := answer.Stream.Next()
			pieces <- err
		}()
		for begun := time.Now(); time.Since(begun) < silence; time.Sleep(stallCheckInterval * time.Millisecond) {
			going.step <- struct{}{}
			if _, err := later.Stream.Next(); err != nil {
				t.Fatal(err)
			}
		}
		resuming.step <- struct{}{}
		if err := <-pieces; err != nil {
			t.Errorf("after a silence of %v: %v", silence, err)
		}
		answer.Stream.Close()
		g.Wait()
	})
}

// An answer that stops in the middle, at an engine that begins no other answer, is cancelled within the 5 s that a
// client may wait: earlier if another answer of that engine makes progress and the engine reports an empty queue. An
// answer that was put back into the queue is given the full timeout, and so is one
// whose whole engine has stopped.
func TestStream_StallBesideOtherAnswers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		others bool          // another answer makes progress
		queue  float64       // as a probe reports it
		want   time.Duration // silence after which the answer is cancelled
	}{
		{"only this answer stops", true, 0, (stallSuspectAfter + stallCheckInterval) * time.Millisecond},
		{"back in the queue", true, 1, stallTimeout * time.Millisecond},
		{"the engine hangs", false, 0, stallTimeout * time.Millisecond},
	} {
		stalled := &hangingStream{pieceStream: pieceStream{remaining: []string{"a", "b"}}}
		going := &steppedStream{}
		fake := &fakeTransport{gatewayCount: 2, reserveResult: ReserveRefused, loadReport: ashwood.Report{ashwood.ReportQueue: tt.queue}, results: map[ashwood.ServerID][]AttemptResult{
			"r1": {resultOf(ashwood.StatusPrefilled), resultOf(ashwood.StatusPrefilled)},
			"w1": {{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: going}, {Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: stalled}}}}
		synctest.Test(t, func(t *testing.T) {
			stalled.hanging, going.step, fake.probed = make(chan struct{}), make(chan struct{}, 1), make(chan string, 99)
			g := startGateway(t, fake, SystemClock())
			other := serve(t, g, t.Context(), "chat")
			time.Sleep(time.Millisecond)
			laterRequest := request("chat")
			laterRequest.ID = "stops"
			reply, err := g.Serve(t.Context(), laterRequest)
			if err != nil || reply.Kind != Served {
				t.Fatal(reply, err)
			}
			for range 2 {
				if _, err := reply.Stream.Next(); err != nil {
					t.Fatal(err)
				}
			}
			begun, ended := time.Now(), make(chan time.Duration, 1)
			go func() {
				_, err := reply.Stream.Next()
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
			reply.Stream.Close() // ends an answer that still waits
			if after := <-ended; after != tt.want {
				t.Errorf("%s: ended after %v, want %v", tt.name, after, tt.want)
			}
			other.Stream.Close()
			if len(g.progress.byEngine) != 0 {
				t.Errorf("%s: %d engines left in the progress tracker", tt.name, len(g.progress.byEngine))
			}
			g.Wait()
		})
	}
}
