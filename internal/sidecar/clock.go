package sidecar

import "time"

// clock measures the time since the Unix epoch, as a time.Duration. The start times of servers in endpoint
// lists count from the Unix epoch too. After its creation a clock follows the monotonic clock, so it never
// goes back if the system time is set.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

// now returns the current time on this clock.
func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// fromTime converts a time.Time to a time on this clock.
func (c clock) fromTime(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// toTime converts a time on this clock to a time.Time, for instance for a connection's deadline.
func (c clock) toTime(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}
