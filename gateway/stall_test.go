package gateway

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ashwood.example/ashwood"
)

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
		p := &peer{nodes: 2, place: PlaceRefused, load: ashwood.Report{ashwood.ReportQueue: tt.queue}, answers: map[ashwood.ServerID][]Answer{
			"r1": {answer(ashwood.Parsed), answer(ashwood.Parsed)},
			"w1": {{Result: ashwood.Result{Status: ashwood.Served}, Stream: going}, {Result: ashwood.Result{Status: ashwood.Served}, Stream: stalled}}}}
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
