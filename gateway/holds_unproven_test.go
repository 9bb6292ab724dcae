package gateway

import (
	"testing"
	"time"

	"ashwood.example/ashwood"
)

// A reservation outlived its deadline when its call was answered for, or came back during, a prefill that got no answer,
// and another prefill was sent meanwhile: a sign of the other prefill's engine counted as its arrival, and a late
// answer began no deadline. The deadline counts from the call, whichever prefill is in flight.
func TestHolds_ReservationOfEarlierPrefill(t *testing.T) {
	const ms = time.Millisecond
	w1 := ashwood.Server{ID: "w1"}
	sendFirst := func(h *requestHolds) { h.attemptSent(ashwood.Server{ID: "r1"}, true) }
	sendSecond := func(h *requestHolds) {
		h.attemptEnded(false)
		h.attemptSent(ashwood.Server{ID: "r2"}, true)
	}
	reserve := func(answer reservationState) func(*requestHolds, float64) {
		return func(h *requestHolds, askedAt float64) {
			h.addReservation(w1, askedAt, answer)
			time.Sleep(100 * ms)
			sendSecond(h)
		}
	}
	for name, play := range map[string]func(h *requestHolds, askedAt float64){
		"held for the first":      reserve(reservationConfirmed),
		"unknown to the first":    reserve(reservationWithoutPrefill),
		"unanswered at the first": reserve(reservationUnanswered),
		"answered after the first": func(h *requestHolds, askedAt float64) {
			sendSecond(h)
			time.Sleep(100 * ms)
			h.addLateReservation(w1, askedAt)
		},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &fakeTransport{gatewayCount: 2}
			runInBubble(t, fake, func(t *testing.T, g *Gateway) {
				h := g.releaser.newHolds("q")
				sendFirst(h)
				begun, askedAt := time.Now(), g.clock.Now()
				time.Sleep(50 * ms)
				play(h, askedAt)
				fake.wantNextRelease(t, "w1")
				if d := time.Since(begun); d != 500*ms {
					t.Errorf("released after %v, want 500 ms", d)
				}
				h.release(true)
			})
		})
	}
}
