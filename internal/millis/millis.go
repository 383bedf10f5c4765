// Package millis converts between time.Duration and fractional milliseconds, the unit of time in the
// settings, the load reports and the simulator's protocol.
package millis

import (
	"math"
	"time"
)

const (
	nanosecondsPerMillisecond = 1e6
	// maxNanoseconds is half the range of a duration, so that adding a realistic time to a clamped
	// value does not overflow.
	maxNanoseconds = 1 << 62
)

// ToDuration converts milliseconds to a duration, rounded to nanoseconds. Values beyond ±maxNanoseconds are
// clamped. NaN is converted to 0.
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

// FromDuration converts a duration to milliseconds. It is the inverse of ToDuration.
func FromDuration(d time.Duration) float64 { return float64(d) / nanosecondsPerMillisecond }
