package clock

import (
	"math"
	"testing"
	"time"
)

func TestDuration_RoundsUp(t *testing.T) {
	for ms, want := range map[float64]time.Duration{
		0: 0, 1: time.Millisecond, 0.0001: time.Microsecond, 2.0005: 2001 * time.Microsecond,
		1e300: math.MaxInt64, math.Inf(1): math.MaxInt64,
	} {
		if got := Duration(ms); got != want {
			t.Errorf("%v ms: %v, want %v", ms, got, want)
		}
	}
	if got := Millis(1500 * time.Microsecond); got != 1.5 {
		t.Errorf("%v ms, want 1.5", got)
	}
}

func TestManual_Advance(t *testing.T) {
	c := NewManual(100)
	called := make(chan float64)
	call := func() { called <- c.Now() }
	c.AfterFunc(10, call)
	stop := c.AfterFunc(10, func() { t.Error("a stopped call ran") })
	stopLater := c.AfterFunc(11, func() { t.Error("a call ran early") })
	if !stop() || stop() {
		t.Error("stop does not report whether it prevented the call")
	}
	c.Advance(10)
	if now := <-called; now != 110 {
		t.Errorf("called at %v, want 110", now)
	}
	if !stopLater() {
		t.Error("the later call ran")
	}
}

func TestSystem_UnixTime(t *testing.T) {
	c := System()
	before := float64(time.Now().Add(-time.Minute).UnixMilli())
	if now := c.Now(); now < before || now > before+120e3 {
		t.Errorf("now %v, want at most two minutes after %v", now, before)
	}
	called := make(chan struct{})
	c.AfterFunc(-1, func() { close(called) })
	<-called
}
