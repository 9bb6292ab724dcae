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
type stalls struct {
	pieces
	ctx     context.Context
	waiting chan struct{}
}

func (s *stalls) Next() ([]byte, error) {
	if len(s.left) > 0 {
		return s.pieces.Next()
	}
	close(s.waiting)
	<-s.ctx.Done()
	return nil, context.Cause(s.ctx)
}

// A stream that falls silent is not held for ever: not long where its engine has
// begun a later answer, and where nothing is heard of the engine, which may hang
// or have taken the answer back into its queue, for as long as its client may be left waiting.
func TestStalledStreamBreaks(t *testing.T) {
	for _, works := range []bool{true, false} {
		stalled := &stalls{pieces: pieces{left: []string{"a"}}, waiting: make(chan struct{})}
		p := &peer{place: ReserveRefused, answers: map[ashwood.ServerID][]AttemptResult{
			"r1": {answer(ashwood.StatusPrefilled), answer(ashwood.StatusPrefilled)},
			"w1": {{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: stalled}, streams(io.EOF, "b")}}}
		g, c := start(t, p)
		r := serve(t, g, context.Background(), "chat")
		if piece, err := r.Stream.Next(); string(piece) != "a" || err != nil {
			t.Fatal(string(piece), err)
		}
		ended := make(chan error)
		go func() {
			_, err := r.Stream.Next()
			ended <- err
		}()
		<-stalled.waiting
		var err error
		if works {
			c.Advance(1)
			req := request("chat")
			req.ID = "later"
			if later, err := g.Serve(context.Background(), req); err != nil || later.Kind != Served {
				t.Fatal(later, err)
			}
			c.Advance(stopWait)
			err = <-ended
		} else {
			waited, over := 0.0, false
			for !over {
				select {
				case err = <-ended:
					over = true
				default:
					c.Advance(stopLook)
					waited += stopLook
				}
			}
			if waited < stallWait || stallWait >= 5000 {
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
type paced struct {
	pieces
	step chan struct{}
}

func (s *paced) Next() ([]byte, error) {
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
func TestAnAnswerThatStopsBesideOthersIsEnded(t *testing.T) {
	for _, tt := range []struct {
		name   string
		others bool          // another answer goes on
		queue  float64       // told by a probe
		want   time.Duration // of silence, after which it is ended
	}{
		{"stopped alone", true, 0, (stopWait + stopLook) * time.Millisecond},
		{"taken back into the queue", true, 1, stallWait * time.Millisecond},
		{"the engine hangs", false, 0, stallWait * time.Millisecond},
	} {
		stalled := &stalls{pieces: pieces{left: []string{"a", "b"}}}
		going := &paced{}
		p := &peer{nodes: 2, place: ReserveRefused, load: ashwood.Report{ashwood.ReportQueue: tt.queue}, answers: map[ashwood.ServerID][]AttemptResult{
			"r1": {answer(ashwood.StatusPrefilled), answer(ashwood.StatusPrefilled)},
			"w1": {{Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: going}, {Result: ashwood.Result{Status: ashwood.StatusServed}, Stream: stalled}}}}
		synctest.Test(t, func(t *testing.T) {
			stalled.waiting, going.step, p.probed = make(chan struct{}), make(chan struct{}, 1), make(chan string, 99)
			g := startAt(t, p, SystemClock())
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
				time.Sleep(stopLook * time.Millisecond)
				synctest.Wait()
			}
			close(going.step)
			r.Stream.Close() // ends one that was left waiting
			if after := <-ended; after != tt.want {
				t.Errorf("%s: ended after %v, want %v", tt.name, after, tt.want)
			}
			other.Stream.Close()
			if len(g.pulses.by) != 0 {
				t.Errorf("%s: %d pulses are left", tt.name, len(g.pulses.by))
			}
			g.Wait()
		})
	}
}
