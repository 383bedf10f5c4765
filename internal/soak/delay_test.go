package soak

import (
	"testing"
	"time"
)

// The events of a run begin late, as the machine holds up the goroutine that plays them. What the run finds
// proves nothing then, so it must be void. The planned waits of events that run into the next ones are no
// delay.
func TestRunWithLateEventsIsVoid(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	type action struct{ scheduled, began, waits time.Duration }
	for name, c := range map[string]struct {
		actions []action
		longest time.Duration
		void    bool
	}{
		"in time":                         {[]action{{scheduled: 1, began: 1}, {scheduled: 2, began: 3}}, 1, false},
		"held up before the first action": {[]action{{scheduled: 1, began: 13 * time.Second}}, 13*time.Second - 1, true},
		"held up within an action": {
			[]action{{scheduled: 0, began: 0}, {scheduled: time.Second, began: 13 * time.Second}, {scheduled: 14 * time.Second, began: 14 * time.Second}},
			12 * time.Second, true,
		},
		"planned waits that overlap": {
			[]action{{scheduled: 0, began: 0, waits: 3 * time.Second}, {scheduled: time.Second, began: 3 * time.Second, waits: 3 * time.Second}, {scheduled: 2 * time.Second, began: 6 * time.Second}},
			0, false,
		},
		"held up within a planned wait": {
			[]action{{scheduled: 0, began: 0, waits: 3 * time.Second}, {scheduled: time.Second, began: 5 * time.Second}}, 2 * time.Second, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var m delayMeter
			for _, a := range c.actions {
				m.begin(at(a.scheduled), at(a.began))
				m.wait(a.waits)
			}
			report := newReport(&Plan{}, new(journal), 0, m.max)
			if m.max != c.longest || report.Void() != c.void {
				t.Errorf("longest delay %v, void: %v; want %v, %v", m.max, report.Void(), c.longest, c.void)
			}
		})
	}
}
