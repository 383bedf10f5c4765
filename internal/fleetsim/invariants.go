package fleetsim

import (
	"fmt"
	"time"

	"cranehatch/policy"
)

// Invariant is a rule that no sidecar may violate, whatever fails around it.
type Invariant int

// The invariants that a simulation checks.
const (
	// SingleResponse: each request gets exactly one final response, before its client times out.
	SingleResponse Invariant = iota

	// AtMostOnce: a request of a non-idempotent class is never executed twice, and one that was executed is not
	// rejected, as a rejected request may be retried.
	AtMostOnce

	// NoSendWhileDraining: nothing is sent to a server more than 1 s after the sidecar learned that it drains.
	NoSendWhileDraining

	// SlowStartBudget: a server in slow start gets no more requests in a window than its budget.
	SlowStartBudget

	invariantCount
)

// String returns a short name for messages.
func (i Invariant) String() string {
	return [invariantCount]string{"single response", "at most once", "no send while draining", "slow-start budget"}[i]
}

const (
	// drainStopDelay is the time from the drain notice to the last attempt at a server.
	drainStopDelay = 1 * time.Second

	// maxNoticeDelay is the time after which a sidecar counts as notified of what discovery has, if it could call it.
	maxNoticeDelay = 6 * time.Second

	// responseSlack is how long after its client's timeout a request is checked to have a response.
	responseSlack = 2 * time.Millisecond

	// maxViolationDetails is how many violations are described.
	maxViolationDetails = 10
)

// Violations counts violations by invariant, and describes the first 10 of them.
type Violations struct {
	Counts  [invariantCount]int
	Details []string
}

// Total is the number of violations of all invariants.
func (v *Violations) Total() (total int) {
	for _, count := range v.Counts {
		total += count
	}
	return total
}

// recordViolation counts a violation and describes it, if it is one of the first.
func (sim *Simulation) recordViolation(i Invariant, format string, args ...any) {
	sim.violations.Counts[i]++
	if len(sim.violations.Details) < maxViolationDetails {
		detail := fmt.Sprintf("%v %v: %s", sim.clock.now, i, fmt.Sprintf(format, args...))
		sim.violations.Details = append(sim.violations.Details, detail)
	}
}

// nonIdempotent reports whether requests of a class must not be executed twice.
func (sim *Simulation) nonIdempotent(class int) bool {
	return sim.config.Policy.Classes[class].Idempotency == policy.NonIdempotent
}

// executionStarted checks AtMostOnce when a server begins to execute an attempt.
func (sim *Simulation) executionStarted(a *attempt) {
	call := a.request.call
	call.executions++
	if call.executions > 1 && sim.nonIdempotent(call.class) {
		sim.recordViolation(AtMostOnce, "execution %d of a request of class %d", call.executions, call.class)
	}
}

// drainNoticeAt returns when a sidecar learned that a server drains or is gone, and whether it did. A sidecar also
// counts as notified some time after discovery knew it, if it could call discovery for all that time.
func (sim *Simulation) drainNoticeAt(s *simSidecar, server *simServer) (at time.Duration, notified bool) {
	at, notified = s.drainNotices[server.id]
	if server.drainingSince > 0 && sim.discoveryReachable(s.zone) {
		assumed := max(server.drainingSince, sim.discoveryReachableSince[s.zone]) + maxNoticeDelay
		if !notified || assumed < at {
			at, notified = assumed, true
		}
	}
	return at, notified
}

// checkSend checks NoSendWhileDraining when an attempt is sent.
func (sim *Simulation) checkSend(s *simSidecar, server *simServer) {
	if at, notified := sim.drainNoticeAt(s, server); notified && sim.clock.now > at+drainStopDelay {
		sim.recordViolation(NoSendWhileDraining, "sidecar %d sent to %s, %v after it was notified",
			s.index, server.name, sim.clock.now-at)
	}
}
