package release

import "ashwood.example/ashwood"

// This file handles uncertain releases between their first and last delivery.

// repeatPaused reports whether the next call would be a repeat that is paused.
func (r *pendingRelease) repeatPaused() bool { return r.paused && r.deliveries > 0 }

// Pause sets whether the repeats of an uncertain release wait, which they must while its request is being sent to an
// engine. It reports whether an uncertain release is pending.
func (l *Ledger) Pause(k Key, paused bool) bool {
	r := l.find(k)
	if r == nil || !r.uncertain {
		return false
	}
	r.paused = paused
	return true
}

// RequestArrived records that the request has reached an engine. An uncertain release that was delivered
// once is then not repeated, since a repeat might drop what that engine holds now. The same applies to a
// release whose call is in flight and is delivered later; if that call fails, the release is made as before.
func (l *Ledger) RequestArrived(now float64, k Key) {
	r := l.find(k)
	switch {
	case r == nil:
	case r.deliveries > 0:
		l.endRelease(r, now, Withdrawn)
	default:
		r.callAtArrival = r.callInFlight
	}
}

// Repeat is a repeated release that its own engine can't receive; any other engine may.
type Repeat struct {
	Request ashwood.RequestID
	Paused  bool // the request is being sent to an engine
}

// TakeRepeats returns the repeats that have failed since its last call. They stay pending at their own engines.
func (l *Ledger) TakeRepeats() []Repeat {
	repeats := l.repeats
	l.repeats = nil
	return repeats
}

// passOn hands a repeat whose call has failed to other engines, once per repeat. Its own engine received the release before,
// but dropped nothing if it had not yet seen an attempt end. Without a repeat elsewhere, engines might keep what they hold
// until that engine can be reached again.
func (l *Ledger) passOn(r *pendingRelease) {
	if r.deliveries == 0 || r.paused || r.deliveries+r.passedOn > len(l.cfg.RepeatDelays) {
		return
	}
	r.passedOn++
	l.repeats = append(l.repeats, Repeat{Request: r.key.Request})
}

// scheduleRepeat schedules the next delivery of an uncertain release that was delivered.
func (l *Ledger) scheduleRepeat(r *pendingRelease, now float64) {
	if r.deliveries == 0 {
		l.ended = append(l.ended, EndedRelease{r.key, Delivered, now - r.addedAt})
	}
	r.notBefore = now + l.cfg.RepeatDelays[r.deliveries]
	r.deliveries++
	r.tries = 0
}
