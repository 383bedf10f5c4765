package fleetsim

import (
	"fmt"
	"time"

	"cranehatch/policy"
)

// Invariant is a rule that must hold whatever faults occur.
type Invariant int

// Invariants that a simulation checks.
const (
	// SingleResponse requires that each request gets exactly one final response, before its client times out.
	SingleResponse Invariant = iota

	// AtMostOnce requires that a request of a non-idempotent class is executed at most once, and that it is
	// not rejected after an execution, because a client may retry a rejected request.
	AtMostOnce

	// NoSendWhileDraining requires that a sidecar sends nothing to a server more than 1 s after it was
	// notified that the server is draining or removed.
	NoSendWhileDraining

	// SlowStartBudget requires that a server in slow start receives no more requests in a window than its
	// budget.
	SlowStartBudget

	invariantCount
)

// String returns a short name for violation messages.
func (i Invariant) String() string {
	return [invariantCount]string{"single response", "at most once", "no send while draining", "slow-start budget"}[i]
}

const (
	// drainGrace is how long after a drain notice a sidecar may still send attempts to the server.
	drainGrace = 1 * time.Second

	// notifyTimeout is the time after which a sidecar counts as notified of a state that discovery has
	// recorded, if the sidecar could reach discovery throughout this time.
	notifyTimeout = 6 * time.Second

	// responseSlack is the time from the timeout of a client to the check that its request has a response.
	responseSlack = 2 * time.Millisecond

	// maxViolationDetails is the maximum number of violations in Violations.Details.
	maxViolationDetails = 10
)

// Violations counts violations by invariant, and describes the first 10 of them.
type Violations struct {
	Counts  [invariantCount]int
	Details []string
}

// Total returns the number of violations of all invariants.
func (v *Violations) Total() (total int) {
	for _, count := range v.Counts {
		total += count
	}
	return total
}

// recordViolation counts a violation, and describes it if it is one of the first.
func (sim *Simulation) recordViolation(invariant Invariant, format string, args ...any) {
	sim.violations.Counts[invariant]++
	if len(sim.violations.Details) < maxViolationDetails {
		detail := fmt.Sprintf("%v %v: %s", sim.clock.now, invariant, fmt.Sprintf(format, args...))
		sim.violations.Details = append(sim.violations.Details, detail)
	}
}

// nonIdempotent reports whether a class is non-idempotent, so that its requests must not be executed twice.
func (sim *Simulation) nonIdempotent(class int) bool {
	return sim.config.Policy.Classes[class].Idempotency == policy.NonIdempotent
}

// executionStarted counts an execution and checks AtMostOnce, when a server starts to execute an attempt.
func (sim *Simulation) executionStarted(a *attempt) {
	call := a.request.call
	call.executions++
	if call.executions > 1 && sim.nonIdempotent(call.class) {
		sim.recordViolation(AtMostOnce, "execution %d of a request of class %d", call.executions, call.class)
	}
}

// drainNoticeAt returns when a sidecar was notified that a server is draining or removed, and whether it was
// notified. A sidecar also counts as notified notifyTimeout after discovery recorded the state, if it could
// reach discovery for all that time.
func (sim *Simulation) drainNoticeAt(s *simSidecar, server *simServer) (at time.Duration, notified bool) {
	at, notified = s.drainNotices[server.id]
	if server.drainingSince > 0 && sim.discoveryReachable(s.zone) {
		assumed := max(server.drainingSince, sim.discoveryReachableSince[s.zone]) + notifyTimeout
		if !notified || assumed < at {
			at, notified = assumed, true
		}
	}
	return at, notified
}

// checkSend checks NoSendWhileDraining when a sidecar sends an attempt.
func (sim *Simulation) checkSend(s *simSidecar, server *simServer) {
	if at, notified := sim.drainNoticeAt(s, server); notified && sim.clock.now > at+drainGrace {
		sim.recordViolation(NoSendWhileDraining, "sidecar %d sent an attempt to server %s %v after its drain notice",
			s.index, server.name, sim.clock.now-at)
	}
}
