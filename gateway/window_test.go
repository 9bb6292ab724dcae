package gateway

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ashwood.example/ashwood"
)

// Engines drop repeats of a class for its window alone. A repeat that is chosen within it and
// would be written after it, since its connection was late, is not.
func TestARepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	for late, want := range map[time.Duration]ReplyKind{0: Served, 999: Served, 1000: Refused} {
		synctest.Test(t, func(t *testing.T) {
			writes := 0
			p := &peer{place: ReserveRefused, answers: map[ashwood.ServerID][]AttemptResult{
				"r1": {answer(ashwood.StatusPrefilled), answer(ashwood.StatusPrefilled), answer(ashwood.StatusPrefilled)},
				"w1": {answer(ashwood.StatusConnectionLost)}, "w2": {answer(ashwood.StatusConnectionLost)}}}
			p.before = func(v ashwood.Server) {
				if v.Kind == "w" {
					if writes++; writes == 2 {
						p.answers[v.ID] = []AttemptResult{streams(io.EOF, "a")}
						time.Sleep(late * time.Millisecond)
					}
				}
			}
			g := startAt(t, p, SystemClock())
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w2", Kind: "w", State: ashwood.StateActive}})
			r := serve(t, g, t.Context(), "quote")
			if r.Kind != want || writes != 2 {
				t.Errorf("%v ms late: %v after %d writes, want %v", int(late), r.Kind, writes, want)
			}
			if r.Stream != nil {
				r.Stream.Close()
			}
			g.Wait()
		})
	}
}
