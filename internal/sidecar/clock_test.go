package sidecar

import (
	"testing"
	"time"
)

func TestClockNeverGoesBack(t *testing.T) {
	c := newClock()
	last := c.now()
	if off := last - time.Duration(time.Now().UnixNano()); off > time.Minute || off < -time.Minute {
		t.Fatalf("now() - Unix time = %v, want within 1m", off)
	}
	for range 1000 {
		now := c.now()
		if now < last {
			t.Fatalf("now() decreased by %v", last-now)
		}
		last = now
	}
	if got := c.toTime(last).Sub(c.start); got != last-time.Duration(c.start.UnixNano()) {
		t.Errorf("time %v converts to %v after the clock's start, want now() minus the start", last, got)
	}
}
