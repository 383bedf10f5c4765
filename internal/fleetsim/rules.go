package fleetsim

import (
	"fmt"
	"time"

	"cranehatch/policy"
)

// Rule is one that no sidecar may ever break, whatever fails around it.
type Rule int

// The rules that the model checks itself.
const (
	OneAnswer  Rule = iota // each request gets one final answer, before its client gives up
	RunsOnce               // a request of an unsafe class never runs twice, nor is one that ran refused as harmless
	Drained                // nothing goes to a server more than 1 s after the sidecar was told that it leaves
	ColdBudget             // a cold server gets no more in a window than it can bear
	rules
)

func (r Rule) String() string {
	return [...]string{"one answer in time", "unsafe runs once", "nothing to those that leave", "cold budget"}[r]
}

const (
	stopWithin = 1 * time.Second // from being told that a server leaves to the last attempt there
	countsTold = 6 * time.Second // what discovery has, and could be asked for, counts as told after this
	answerTick = 2 * time.Millisecond
	detailMost = 10 // breaks that are described
)

// Broken tells how often each rule was broken, and describes the first few times.
type Broken struct {
	Times  [rules]int
	Detail []string
}

// Total is how often any rule was broken.
func (b *Broken) Total() (n int) {
	for _, times := range b.Times {
		n += times
	}
	return n
}

func (f *Service) broke(r Rule, format string, args ...any) {
	f.broken.Times[r]++
	if len(f.broken.Detail) < detailMost {
		f.broken.Detail = append(f.broken.Detail, fmt.Sprintf("%v %v: %s", f.clock.now, r, fmt.Sprintf(format, args...)))
	}
}

// ran takes that a server begins to work on an attempt.
func (f *Service) ran(a *attempt) {
	q := a.owner.ask
	q.runs++
	if q.runs > 1 && f.cfg.Policy.Classes[q.class].Idempotency == policy.NonIdempotent {
		f.broke(RunsOnce, "run %d of a request of class %d", q.runs, q.class)
	}
}

// toldAt is when a sidecar counts as told that a server leaves, if it does: when it was written to it, or when
// discovery had had it for long enough while the sidecar could have asked.
func (f *Service) toldAt(s *sidecar, m *server) (time.Duration, bool) {
	written, told := s.leaving[m.id]
	if m.leaving > 0 && f.reachable(s.zone) {
		counts := max(m.leaving, f.reach[s.zone]) + countsTold
		if !told || counts < written {
			written, told = counts, true
		}
	}
	return written, told
}

// checkSend looks at an attempt as it is sent.
func (f *Service) checkSend(s *sidecar, m *server) {
	if told, ok := f.toldAt(s, m); ok && f.clock.now > told+stopWithin {
		f.broke(Drained, "sidecar %d sent to %s, told %v before", s.index, m.name, f.clock.now-told)
	}
}
