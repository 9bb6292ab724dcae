package soak

import (
	"net/http"
	"runtime"
	"testing"
	"time"
)

// An answer that is recorded as given has been sent: it arrives though its engine falls silent at that moment.
//
// Guards against a race by which a gateway was blamed for KV state that it could not know of (soak seed 13, 1 of 60 runs, eight
// at once): engine 0 was about to answer a prefill when its silence began. The checker recorded "has read the prompt" at 3.651 s
// and counted the hold from there; the bytes waited for the silence's end at 4.505 s ("attempt … engine=e0 status=9 ms=955" in
// the gateway's log). The silence had begun between the check of the link and the write.
func TestEngine_AnswerDuringSilenceStart(t *testing.T) {
	const rounds = 400
	const arrival = 2 * time.Second // for an answer that has been sent
	scenario := &FaultScenario{Seed: 1, Gateways: 1, Engines: []Engine{{ID: "e0", Role: Prefill}}}
	tb := &testbed{scenario: scenario, checker: newChecker(scenario, time.Now())}
	e, err := tb.openEngine(0, scenario.Engines[0])
	if err != nil {
		t.Fatal(err)
	}
	tb.engines = []*engine{e}
	e.withLock(func() { e.refuses = 1 })
	defer tb.background.Wait()
	defer e.close()
	tb.checker.requestBegun("q", Class{Effect: Pure}, 0)
	for range rounds {
		before := tb.checker.attemptCount("q")
		answered := make(chan error, 1)
		go func() { answered <- sendAttempt(e.links[0].addr, "q") }()
		for tb.checker.attemptCount("q") == before {
			runtime.Gosched()
		}
		if err := e.links[0].beginSilence(false); err != nil {
			t.Fatal(err)
		}
		answerNoted := tb.checker.lastAttemptEnded("q")
		if answerNoted {
			select {
			case err := <-answered:
				answered <- err
			case <-time.After(arrival):
				t.Fatal("an answer was recorded as given and held back by the silence")
			}
		}
		if err := e.links[0].endSilence(false); err != nil {
			t.Fatal(err)
		}
		if err := <-answered; err != nil {
			t.Fatal(err)
		}
	}
}

// sendAttempt sends one attempt of a request to an engine.
func sendAttempt(addr, id string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", http.NoBody)
	if err != nil {
		return err
	}
	r.Header.Set(headerID, id)
	r.Header.Set(headerRemaining, "1")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// attemptCount counts a request's attempts that engines have received.
func (c *checker) attemptCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests[id].attempts)
}

// lastAttemptEnded reports whether a request's last attempt has ended at its engine.
func (c *checker) lastAttemptEnded(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.requests[id].attempts
	return list[len(list)-1].ended
}
