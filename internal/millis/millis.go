// Package millis converts between time.Duration and the fractional milliseconds in which the settings,
// the load reports and the simulator's protocol give times.
package millis

import (
	"math"
	"time"
)

const (
	nanosecondsPerMillisecond = 1e6
	maxNanoseconds            = 1 << 62 // far from overflow, so that sums of two durations stay valid
)

// ToDuration converts milliseconds to a duration, rounded to nanoseconds. Values beyond the range of a
// duration are clamped; NaN becomes 0.
func ToDuration(ms float64) time.Duration {
	ns := math.Round(ms * nanosecondsPerMillisecond)
	switch {
	case math.IsNaN(ns):
		return 0
	case ns > maxNanoseconds:
		return maxNanoseconds
	case ns < -maxNanoseconds:
		return -maxNanoseconds
	}
	return time.Duration(ns)
}

// FromDuration is the inverse of ToDuration.
func FromDuration(d time.Duration) float64 { return float64(d) / nanosecondsPerMillisecond }
