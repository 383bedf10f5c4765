package soak

import (
	"math"
	"time"
)

// checkWithdrawals checks that a server gets no new attempt once its withdrawal counts as notified and the
// drain grace has passed.
func (c *checker) checkWithdrawals() {
	for _, w := range c.journal.withdrawals {
		notifiedAt := w.notifiedAt
		if notifiedAt.IsZero() || !w.notifyDeadline.IsZero() && w.notifyDeadline.Before(notifiedAt) {
			notifiedAt = w.notifyDeadline
		}
		if notifiedAt.IsZero() {
			continue
		}
		limit := notifiedAt.Add(drainGrace + c.tolerance)
		for _, a := range c.journal.attempts {
			returned := !w.returnedAt.IsZero() && a.startedAt.After(w.returnedAt)
			if a.server == w.server && a.startedAt.After(limit) && !returned {
				c.addFinding("withdrawn server", a.startedAt, "request %s sent to server %d %v after its withdrawal counted as notified",
					a.id, a.server, a.startedAt.Sub(notifiedAt))
			}
		}
	}
}

// checkSlowStarts checks that the sidecar does not overload a server in slow start once it was notified of the
// start. The check takes an equal share of the quota as the full capacity of each server.
func (c *checker) checkSlowStarts() {
	if !c.plan.SlowStart {
		return
	}
	capacity := tenantQuota / float64(c.plan.Servers)
	for _, start := range c.journal.slowStarts {
		if start.notifiedAt.IsZero() {
			continue
		}
		var times []time.Duration
		for _, a := range c.journal.attempts {
			if age := a.startedAt.Sub(start.at); a.server == start.server && a.startedAt.After(start.notifiedAt) && age < slowStartDuration {
				times = append(times, age)
			}
		}
		for first, last := 0, 0; first < len(times); first++ {
			for last < len(times) && times[last] < times[first]+overloadWindow {
				last++
			}
			expected := overloadFactor * capacity * meanCapacityFraction(times[first]) * overloadWindow.Seconds()
			// Allowance for random arrivals: some standard deviations of a Poisson distribution, plus some requests.
			deviation := 2*math.Sqrt(expected) + 2
			if expected < 30 {
				deviation = 3*math.Sqrt(expected) + 3
			}
			if float64(last-first) > expected+deviation {
				c.addFinding("slow start", start.at, "server %d got %d requests in the %v that began %v after its start, want at most %.0f plus %.0f for random arrivals",
					start.server, last-first, overloadWindow, times[first], expected, deviation)
				break
			}
		}
	}
}

// meanCapacityFraction returns the mean capacity, as a fraction of the full capacity, that a server has in an
// overloadWindow that begins at the given age. During slow start the capacity grows linearly.
func meanCapacityFraction(age time.Duration) float64 {
	fraction := func(age time.Duration) float64 {
		return min(1, slowStartFraction+(1-slowStartFraction)*age.Seconds()/slowStartDuration.Seconds())
	}
	return (fraction(age) + fraction(age+overloadWindow)) / 2
}

// checkListCalls checks that the first call after a change of discovery requests the full list.
func (c *checker) checkListCalls() {
	for i, call := range c.journal.listCalls {
		discoveryChanged := i > 0 && c.journal.listCalls[i-1].discovery != call.discovery
		if discoveryChanged && call.query != "" && !c.requestedFullList(call, c.journal.listCalls[:i]) {
			c.addFinding("first discovery call", call.at, "first call to discovery %d after a change had query %q, want the full list (no query)",
				call.discovery, call.query)
		}
	}
}

// requestedFullList reports whether one of the calls before a call requested the full list from the same
// discovery, since the last configuration that named that discovery. A call to the other discovery may be
// recorded in between if it was sent before the change.
func (c *checker) requestedFullList(call listCall, before []listCall) bool {
	var changedAt time.Time
	for _, change := range c.journal.discoveryChanges {
		if change.to == call.discovery && change.at.Before(call.at) {
			changedAt = change.at
		}
	}
	for _, earlier := range before {
		if earlier.discovery == call.discovery && earlier.query == "" && earlier.at.After(changedAt) {
			return true
		}
	}
	return false
}
