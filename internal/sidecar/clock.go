package sidecar

import "time"

// clock gives the time since the Unix epoch, which discovery's start times of servers also count from. It follows the
// monotonic clock from its start on, so it never goes back when somebody sets the machine's date.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// of converts a time to one of this clock.
func (c clock) of(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// at converts a time of this clock, for deadlines on connections.
func (c clock) at(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}
