package millis

import (
	"math"
	"testing"
	"time"
)

func TestRoundTrip(t *testing.T) {
	for _, d := range []time.Duration{0, time.Microsecond, 123456 * time.Microsecond, -time.Second, time.Hour} {
		t.Run(d.String(), func(t *testing.T) {
			if got := ToDuration(FromDuration(d)); got != d {
				t.Errorf("ToDuration(FromDuration(%v)) = %v, want the same", d, got)
			}
		})
	}
}

func TestToDurationClamps(t *testing.T) {
	for _, test := range []struct {
		name string
		ms   float64
		want time.Duration
	}{
		{"not a number", math.NaN(), 0},
		{"infinite", math.Inf(1), 1 << 62},
		{"negative infinite", math.Inf(-1), -1 << 62},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ToDuration(test.ms); got != test.want {
				t.Errorf("ToDuration(%v) = %d ns, want %d ns", test.ms, got, test.want)
			}
		})
	}
}
