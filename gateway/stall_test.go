package gateway

import (
	"context"
	"errors"
	"io"
	"testing"

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
// within the 5 s that a client may be left waiting, if another answer of that engine goes
// on and the engine says that nothing waits there. One that was taken back into the queue
// waits there, and is waited for; so is one whose engine as a whole has stopped.
func TestAnAnswerThatStopsBesideOthersIsEnded(t *testing.T) {
	for _, tt := range []struct {
		name      string
		others    bool    // another answer goes on
		queue     float64 // told by a probe
		wantEnded bool
	}{
		{"stopped alone", true, 0, true},
		{"taken back into the queue", true, 1, false},
		{"the engine hangs", false, 0, false},
	} {
		stalled := &stalls{pieces: pieces{left: []string{"a", "b"}}, waiting: make(chan struct{})}
		going := &paced{step: make(chan struct{}, 1)}
		p := &peer{nodes: 2, place: PlaceRefused, load: ashwood.Report{ashwood.ReportQueue: tt.queue}, answers: map[ashwood.ServerID][]Answer{
			"r1": {answer(ashwood.Parsed), answer(ashwood.Parsed)},
			"w1": {{Result: ashwood.Result{Status: ashwood.Served}, Stream: going}, {Result: ashwood.Result{Status: ashwood.Served}, Stream: stalled}}}}
		g, c := start(t, p)
		other := serve(t, g, context.Background(), "chat")
		c.Advance(1)
		req := request("chat")
		req.ID = "stops"
		r, err := g.Serve(context.Background(), req)
		if err != nil || r.Kind != Served {
			t.Fatal(r, err)
		}
		for range 2 {
			if _, err := r.Stream.Next(); err != nil {
				t.Fatal(err)
			}
		}
		ended := make(chan error, 1)
		go func() {
			_, err := r.Stream.Next()
			ended <- err
		}()
		<-stalled.waiting
		for waited := stopLook; waited <= 5000; waited += stopLook {
			if tt.others {
				going.step <- struct{}{}
				if _, err := other.Stream.Next(); err != nil {
					t.Fatal(err)
				}
			}
			c.Advance(stopLook)
			if waited < stopWait || !tt.others {
				continue
			}
			if waited > stopWait && tt.wantEnded {
				if err := <-ended; !errors.Is(err, ErrStalled) {
					t.Errorf("%s: ended with %v", tt.name, err)
				}
				break
			}
			for v := ""; v != "w1"; { // looked at, and asked
				v = <-p.probed
			}
			g.beside.Wait()
		}
		if len(ended) > 0 {
			t.Errorf("%s: ended with %v", tt.name, <-ended)
		}
		close(going.step)
		r.Stream.Close()
		other.Stream.Close()
		if len(g.pulses.by) != 0 {
			t.Errorf("%s: %d pulses are left", tt.name, len(g.pulses.by))
		}
	}
}
