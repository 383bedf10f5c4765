package fleetsim

import (
	"fmt"
	"time"

	"cranehatch/policy"
)

// Invariant is one that no sidecar may ever break, whatever fails around it.
type Invariant int

// The rules that the model checks itself.
const (
	SingleResponse      Invariant = iota // each request gets one final answer, before its client gives up
	AtMostOnce                           // a request of an unsafe class never runs twice, nor is one that ran refused as harmless
	NoSendWhileDraining                  // nothing goes to a server more than 1 s after the sidecar was told that it leaves
	SlowStartBudget                      // a cold server gets no more in a window than it can bear
	invariantCount
)

func (r Invariant) String() string {
	return [...]string{"one answer in time", "unsafe runs once", "nothing to those that leave", "cold budget"}[r]
}

const (
	stopWithin     = 1 * time.Second // from being told that a server leaves to the last attempt there
	maxNoticeDelay = 6 * time.Second // what discovery has, and could be asked for, counts as told after this
	responseSlack  = 2 * time.Millisecond
	detailMost     = 10 // breaks that are described
)

// Violations tells how often each rule was broken, and describes the first few times.
type Violations struct {
	Counts  [invariantCount]int
	Details []string
}

// Total is how often any rule was broken.
func (b *Violations) Total() (n int) {
	for _, times := range b.Counts {
		n += times
	}
	return n
}

func (f *Simulation) recordViolation(r Invariant, format string, args ...any) {
	f.violations.Counts[r]++
	if len(f.violations.Details) < detailMost {
		f.violations.Details = append(f.violations.Details, fmt.Sprintf("%v %v: %s", f.clock.now, r, fmt.Sprintf(format, args...)))
	}
}

// executionStarted takes that a server begins to work on an attempt.
func (f *Simulation) executionStarted(a *attempt) {
	q := a.request.call
	q.runs++
	if q.runs > 1 && f.config.Policy.Classes[q.class].Idempotency == policy.NonIdempotent {
		f.recordViolation(AtMostOnce, "run %d of a request of class %d", q.runs, q.class)
	}
}

// drainNoticeAt is when a sidecar counts as told that a server leaves, if it does: when it was written to it, or when
// discovery had had it for long enough while the sidecar could have asked.
func (f *Simulation) drainNoticeAt(s *simSidecar, m *simServer) (time.Duration, bool) {
	written, told := s.drainNotices[m.id]
	if m.drainingSince > 0 && f.reachable(s.zone) {
		counts := max(m.drainingSince, f.reach[s.zone]) + maxNoticeDelay
		if !told || counts < written {
			written, told = counts, true
		}
	}
	return written, told
}

// checkSend looks at an attempt as it is sent.
func (f *Simulation) checkSend(s *simSidecar, m *simServer) {
	if told, ok := f.drainNoticeAt(s, m); ok && f.clock.now > told+stopWithin {
		f.recordViolation(NoSendWhileDraining, "sidecar %d sent to %s, told %v before", s.index, m.name, f.clock.now-told)
	}
}
