package soak

import "time"

// delayMeter measures how late the actions of a run begin, compared with a machine on which only their planned
// waits take time. Actions run one after the other, so one that is held up delays those behind it.
type delayMeter struct {
	idleAt  time.Time     // when the actions so far would have ended without a delay
	longest time.Duration // the greatest delay of an action
}

// begin records that an action begins.
func (m *delayMeter) begin(due, now time.Time) {
	m.idleAt = later(due, m.idleAt)
	m.longest = max(m.longest, now.Sub(m.idleAt))
}

// wait records a planned wait within the current action.
func (m *delayMeter) wait(d time.Duration) { m.idleAt = m.idleAt.Add(d) }
