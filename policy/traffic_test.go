package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestRequestRate(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests []time.Duration
		now      time.Duration
		want     float64
	}{
		{"one request", []time.Duration{time.Second}, time.Second, 0.1},
		{"ten seconds later", []time.Duration{time.Second}, 11 * time.Second, 0.1 / math.E},
		{"two at once", []time.Duration{time.Second, time.Second}, time.Second, 0.2},
		{"two in ten seconds", []time.Duration{time.Second, 11 * time.Second}, 11 * time.Second, 0.1 + 0.1/math.E},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r requestRate
			for _, at := range c.requests {
				r.observe(at)
			}
			if got := r.current(c.now); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("rate = %v requests per second, want %v", got, c.want)
			}
		})
	}
}

func TestSlidingWindow(t *testing.T) {
	for _, c := range []struct {
		name string
		from time.Duration
		want slidingWindow
	}{
		{"all", 0, slidingWindow{1, 2, 2, 5}},
		{"at an event", 2, slidingWindow{2, 2, 5}},
		{"between events", 3, slidingWindow{5}},
		{"none", 6, slidingWindow{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := slidingWindow{1, 2, 2, 5}
			if n := w.countSince(c.from); n != len(c.want) || !slices.Equal(w, c.want) {
				t.Errorf("countSince = %d, events left = %v; want %d, %v", n, w, len(c.want), c.want)
			}
		})
	}
}

func TestMeanObjectiveTimes(t *testing.T) {
	if got := meanObjective(0.5).times(3); got != 1500*ms {
		t.Errorf("times(3) of 0.5 s = %v, want 1.5 s", got)
	}
}
