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
func TestServe_TokenRetryAfterWindow(t *testing.T) {
	for late, want := range map[time.Duration]ReplyKind{0: Served, 999: Served, 1000: Refused} {
		synctest.Test(t, func(t *testing.T) {
			writes := 0
			p := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{
				"r1": {resultOf(ashwood.Parsed), resultOf(ashwood.Parsed), resultOf(ashwood.Parsed)},
				"w1": {resultOf(ashwood.ConnectionLost)}, "w2": {resultOf(ashwood.ConnectionLost)}}}
			p.beforeWrite = func(v ashwood.Server) {
				if v.Kind == "w" {
					if writes++; writes == 2 {
						p.results[v.ID] = []AttemptResult{streamResult(io.EOF, "a")}
						time.Sleep(late * time.Millisecond)
					}
				}
			}
			g := startGateway(t, p, SystemClock())
			g.UpdateMembership(ashwood.ListPatch, []ashwood.Server{{ID: "w2", Kind: "w", State: ashwood.StateOn}})
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
