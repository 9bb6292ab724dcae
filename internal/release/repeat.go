package release

import "ashwood.example/ashwood"

// This file is what becomes of doubtful releases between their first call and the last.

// waits tells of a repeat that is paused.
func (d *debt) waits() bool { return d.paused && d.made > 0 }

// Pause has a doubtful release that has been made once not be made again while its request is on its way to an
// engine, and no longer. It gives whether a release in doubt is owed.
func (l *Ledger) Pause(k Key, paused bool) bool {
	d := l.find(k)
	if d == nil || !d.doubtful {
		return false
	}
	d.paused = paused
	return true
}

// Resumed tells that a request has arrived somewhere: a doubtful release that has
// been made once is not made again, or it might let go of what is held there. The same holds where
// its call is out, and ends behind this; if that fails, it is to be made as before.
func (l *Ledger) RequestArrived(now float64, k Key) {
	d := l.find(k)
	switch {
	case d == nil:
	case d.made > 0:
		l.end(d, now, Withdrawn)
	default:
		d.sentPast = d.out
	}
}

// Repeat is a repeat that its own engine can't be told of: any other may be.
type Repeat struct {
	Request ashwood.RequestID
	Paused  bool // the request is on its way to an engine
}

// Repeats gives those that have failed since the last call of it. Their own engines stay owed them.
func (l *Ledger) TakeRepeats() []Repeat {
	repeats := l.repeats
	l.repeats = nil
	return repeats
}

// passOn has others make a repeat whose call has failed, each once. The engine has taken the release before, and has let go of
// nothing if it had not seen an attempt to end: without a repeat anywhere, engines may hold on until it can be reached again.
func (l *Ledger) passOn(d *debt) {
	if d.made == 0 || d.paused || d.made+d.passed > len(l.cfg.RepeatDelays) {
		return
	}
	d.passed++
	l.repeats = append(l.repeats, Repeat{Request: d.key.Request})
}

// repeat has a release that was made made again.
func (l *Ledger) repeat(d *debt, now float64) {
	if d.made == 0 {
		l.ended = append(l.ended, EndedRelease{d.key, Delivered, now - d.since})
	}
	d.from = now + l.cfg.RepeatDelays[d.made]
	d.made++
	d.tries = 0
}
