package gateway

import (
	"testing"
	"time"

	"ashwood.example/ashwood"
	"ashwood.example/ashwood/internal/clock"
)

// How a release in doubt was repeated at nobody (soak seed 13 in the CI script, gateway 4): the decode engine e3 dies under an
// attempt, and 0.5 ms later e6, which holds the state, takes the release ("release … engine=e6 try=0 ms=0.55 err=<nil>",
// "released … end=made"); e6 has not seen the attempt to end, and lets go of nothing. The repeat 150 ms later meets a cut
// ("release … engine=e6 try=0 ms=250.4 … i/o timeout"). Then the log has nothing for that request before e6 is back 0.8 s
// later, though e1 could be reached all the time. An engine that could not be told at all had others told in its place; repeats had not.

// falls has an engine take no more calls from now on.
func (p *peer) falls(id ashwood.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = map[ashwood.ServerID]int{}
	}
	p.silent[id] = 1e6
}

// inDoubtThenSilent has an engine take a release in doubt, and then no more calls.
func (p *peer) inDoubtThenSilent(t *testing.T, g *Gateway, engine ashwood.ServerID, final bool) *holds {
	t.Helper()
	h := held(g, "q", engine)
	h.doubt(ashwood.Server{ID: engine})
	h.release(final)
	p.wantNext(t, string(engine))
	p.falls(engine)
	return h
}

// Where the engine that took a release in doubt can't be told again, another is, in the rule's time of 800 ms and once for
// each repeat; the first that is back, where none answers.
func TestHolds_RepeatsGoToOthers(t *testing.T) {
	const repeats = 2
	for name, tt := range map[string]struct {
		silence  time.Duration // of others
		answer   int           // others, behind it
		heardOne bool          // one of them has answered before
	}{
		"one other answers":         {0, 1, false},
		"all answer, one was heard": {0, 5, true},
		"one is back later":         {3 * time.Second, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			inSilentFleet(t, 5, func(t *testing.T, p *peer, g *Gateway, fleet []ashwood.ServerID) {
				p.hear("r1")
				p.inDoubtThenSilent(t, g, "r1", true)
				time.Sleep(tt.silence)
				for _, id := range fleet[:tt.answer] {
					p.hear(id)
				}
				if tt.heardOne {
					g.owner.heard(ashwood.Server{ID: fleet[0], Zone: "z0"})
				}
				time.Sleep(ruleTime)
				told := p.toldSoFar()
				if n := told[string(fleet[0])]; len(told) != 1 || n < 1 || n > repeats {
					t.Errorf("told %v within %v, want %s alone, %d times at most", told, ruleTime, fleet[0], repeats)
				}
				time.Sleep(10 * time.Second)
				if more := p.toldSoFar()[string(fleet[0])]; told[string(fleet[0])]+more > repeats {
					t.Errorf("told %v, and %d times more", told, more)
				}
			})
		})
	}
}

// While the request is on its way to an engine, nobody is told in place of one that can't be told again; nor is anybody once it
// has arrived.
func TestHolds_RepeatsAtOthersPause(t *testing.T) {
	for name, tt := range map[string]struct {
		after    time.Duration // the send, behind the release
		restarts bool          // the engine does, beside the send
		arrives  bool
	}{
		"sent before the repeat":              {0, false, true},
		"sent while it is out":                {(againFirst + 10) * time.Millisecond, false, true},
		"beside a restart":                    {10 * time.Millisecond, true, true},
		"beside a restart, without a sign":    {10 * time.Millisecond, true, false},
		"sent before the repeat, and no sign": {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &peer{}
			in(t, p, func(t *testing.T, g *Gateway) {
				h := p.inDoubtThenSilent(t, g, "r1", false)
				time.Sleep(tt.after)
				h.pause(true)
				if tt.restarts {
					g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "r1", Kind: "r", State: ashwood.StateActive, Started: clock.Duration(g.clock.Now())}})
				}
				time.Sleep(2 * time.Second)
				if told := p.toldSoFar(); len(told) > 0 {
					t.Errorf("told %v beside the send", told)
				}
				if !tt.arrives {
					h.pause(false)
					p.wantNext(t, "w1")
					return
				}
				g.owner.taken(h.id, h.toldBefore())
				time.Sleep(2 * time.Second)
				if told := p.toldSoFar(); len(told) > 0 {
					t.Errorf("told %v", told)
				}
			})
		})
	}
}

// The engine itself may be back first: it is told, and nobody else is any more.
func TestHolds_RepeatsAtTheEngineItself(t *testing.T) {
	inSilentFleet(t, 5, func(t *testing.T, p *peer, g *Gateway, fleet []ashwood.ServerID) {
		p.hear("r1")
		p.inDoubtThenSilent(t, g, "r1", true)
		time.Sleep(2 * time.Second)
		p.hear("r1")
		time.Sleep(2 * time.Second)
		p.hear(fleet[2])
		time.Sleep(2 * time.Second)
		if told := p.toldSoFar(); len(told) != 1 || told["r1"] != 2 {
			t.Errorf("told %v, want two repeats at r1", told)
		}
	})
}

// An engine that took the release in doubt and then starts anew, or leaves, holds nothing; another that can't be told may. A
// further one is told in the rule's time. What was seen (soak seed 13, 1 of 40 beside 7 others): e3 takes the release in the
// millisecond in which it dies ("release … engine=e3 try=0 ms=0.82 err=<nil>"), which counted as made for e0 as well;
// e0 could not be told for 0.96 s ("engine=e0 … i/o timeout"), and nobody else was asked.
func TestHolds_RepeatsBehindARestart(t *testing.T) {
	for name, change := range map[string]func(*Gateway){
		"dies": func(*Gateway) {},
		"starts anew": func(g *Gateway) {
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w1", Kind: "w", State: ashwood.StateActive, Started: clock.Duration(g.clock.Now())}})
		},
		"leaves": func(g *Gateway) {
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w1", Kind: "w", State: ashwood.StateRemoved}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := &peer{silent: map[ashwood.ServerID]int{"r1": 1e6}}
			in(t, p, func(t *testing.T, g *Gateway) {
				fleet := fleetOf(p, g, 5)
				h := held(g, "q", "r1", "w1")
				h.doubt(ashwood.Server{ID: "w1"})
				h.release(true)
				p.wantNext(t, "w1")
				p.falls("w1")
				p.hear(fleet[3])
				time.Sleep(10 * time.Millisecond)
				change(g)
				if d := p.wantNext(t, string(fleet[3])); d > ruleTime {
					t.Errorf("told after %v", d)
				}
			})
		})
	}
}
