package main

import "time"

// slack is what every time limit on sockets is longer by.
const slack = 50 * time.Millisecond

// judge checks the case's rule and returns the exit code.
func (w *world) judge() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	served, broken := 0, 0
	counts := map[string]int{}
	for _, id := range w.order {
		r := w.requests[id]
		counts[r.answer]++
		genuine := r.answer == "200" && r.whole && r.runs > 0 && r.got == r.payload.String()
		if genuine {
			served++
		}
		why := ""
		switch w.opts.rule {
		case "foreign":
			if r.answer == "200" && r.whole && !genuine {
				why = "served with what no engine made for it: " + quote(r.got)
			}
		case "overlap":
			why = overlap(r.attempts)
		case "gone":
			for _, a := range r.attempts {
				if !r.left.IsZero() && a.begun.After(r.left.Add(goLimit+slack)) {
					why = "an attempt at " + a.engine + " began " + a.begun.Sub(r.left).Round(time.Millisecond).String() + " after the client had closed its connection"
				}
			}
		case "cut":
			if r.cutBy && !genuine {
				why = "its stream was cut off while events were still coming; the client got " + quote(r.got)
			}
		}
		if why != "" {
			broken++
			w.rec.printf("BROKEN %s (%s, streams begun %d, client got %s %s): %s", id, r.class, r.runs, r.answer, r.clientErr, why)
		}
	}
	w.rec.printf("requests %d, answers by status %v, served whole %d, rule %s broken for %d", len(w.order), counts, served, w.opts.rule, broken)
	switch {
	case served < len(w.order)/10 && broken == 0:
		return exitNotRun // nothing was shown
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}

// overlap describes two attempts of a request that were out together, or returns "".
func overlap(attempts []*attempt) string {
	for i, earlier := range attempts {
		for _, later := range attempts[i+1:] {
			if earlier.ended.IsZero() || earlier.ended.After(later.begun.Add(slack)) {
				return "an attempt at " + later.engine + " arrived while one at " + earlier.engine + " was out for " +
					earlier.ended.Sub(later.begun).Round(time.Millisecond).String() + " more"
			}
		}
	}
	return ""
}

func quote(text string) string {
	if len(text) > 120 {
		return "…" + text[len(text)-120:]
	}
	return text
}
