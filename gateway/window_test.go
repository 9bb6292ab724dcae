package gateway

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ashwood.example/ashwood"
)

// Engines drop repeats of a token request only within the class's window. A retry that is decided within the window but
// could only be written after it, because its connection was late, is not written.
func TestServe_TokenRetryAfterWindow(t *testing.T) {
	for late, want := range map[time.Duration]ReplyKind{0: Served, 999: Served, 1000: Refused} {
		synctest.Test(t, func(t *testing.T) {
			writes := 0
			fake := &fakeTransport{reserveResult: ReserveRefused, results: map[ashwood.ServerID][]AttemptResult{
				"r1": {resultOf(ashwood.StatusPrefilled), resultOf(ashwood.StatusPrefilled), resultOf(ashwood.StatusPrefilled)},
				"w1": {resultOf(ashwood.StatusConnectionLost)}, "w2": {resultOf(ashwood.StatusConnectionLost)}}}
			fake.beforeWrite = func(engine ashwood.Server) {
				if engine.Kind == "w" {
					if writes++; writes == 2 {
						fake.results[engine.ID] = []AttemptResult{streamResult(io.EOF, "a")}
						time.Sleep(late * time.Millisecond)
					}
				}
			}
			g := startGateway(t, fake, SystemClock())
			g.UpdateMembership(ashwood.MembershipDelta, []ashwood.Server{{ID: "w2", Kind: "w", State: ashwood.StateActive}})
			reply := serve(t, g, t.Context(), "quote")
			if reply.Kind != want || writes != 2 {
				t.Errorf("%v ms late: %v after %d writes, want %v", int(late), reply.Kind, writes, want)
			}
			if reply.Stream != nil {
				reply.Stream.Close()
			}
			g.Wait()
		})
	}
}
