package soak

import "time"

// delayMeter measures how late the actions of a run begin, compared with a machine on which only their planned
// waits take time. Actions run one after the other, so one that is held up delays those behind it.
type delayMeter struct {
	idleAt time.Time     // when the actions so far would have ended without a delay
	max    time.Duration // greatest delay of an action
}

// begin records that an action begins.
func (m *delayMeter) begin(scheduled, now time.Time) {
	m.idleAt = later(scheduled, m.idleAt)
	m.max = max(m.max, now.Sub(m.idleAt))
}

// wait records a planned wait within the current action.
func (m *delayMeter) wait(d time.Duration) { m.idleAt = m.idleAt.Add(d) }
