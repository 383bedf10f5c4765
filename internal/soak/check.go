package soak

import (
	"fmt"
	"time"
)

// Bounds of the checks. They follow from the platform's rules.
const (
	// Added to each time limit, because the checks use times observed at the other end of a socket.
	timingTolerance = 50 * time.Millisecond
	// A request must be answered at most this long after its timeout.
	responseGrace = 500 * time.Millisecond
	// No attempt may begin later than this after its client disconnected.
	disconnectGrace = 100 * time.Millisecond
	// An attempt's X-Timeout header may exceed the client's remaining time by this much.
	timeoutTolerance = 150 * time.Millisecond
	// A client that stops sending in the middle of a request must get an error or a close within this time.
	stalledClientTimeout = 3 * time.Second
	// The sidecar must be ready within this time of its start.
	maxReadyDelay = 10 * time.Second
	// A connection without an open request may be closed once it has been idle for this long.
	minIdleClose = 2 * time.Second
	// A request that is sent later than this after SIGTERM must be answered before SIGKILL, whatever its timeout.
	shutdownResponseDelay = 700 * time.Millisecond

	// The fraction of requests that are served is checked in windows of this length.
	servedWindow = 2 * time.Second
	// At least this fraction of the requests of a window must be served.
	minServedFraction = 0.2
	// Windows with fewer requests are not checked.
	minWindowRequests = 20

	// At least this fraction of the responses without a length that come whole must be forwarded.
	minNoLengthForwarded = 0.5
	// Runs with fewer of these responses are not checked.
	minNoLengthResponses = 10
)

// checker looks for violations in the journal of a finished run.
type checker struct {
	plan    *Plan
	journal *journal
	// Added to each time limit: timingTolerance, the longest stall of the machine, and the time for which the
	// run suspended the process.
	tolerance time.Duration
	findings  []Finding
}

// addFinding records a finding of a check.
func (c *checker) addFinding(check string, at time.Time, format string, args ...any) {
	c.findings = append(c.findings, Finding{check, at.Sub(c.journal.readyAt), fmt.Sprintf(format, args...)})
}

// checkAll runs all checks.
func (c *checker) checkAll() {
	c.checkProcess()
	c.checkResponses()
	c.checkNoLength()
	c.checkAttempts()
	c.checkWithdrawals()
	c.checkSlowStarts()
	c.checkListCalls()
	c.checkStalledClients()
	c.checkServedFraction()
}

// checkProcess checks that the process is ready in time, does not exit before SIGTERM, exits with status 0
// after it unless it got SIGKILL, and stays within its limits of descriptors and memory.
func (c *checker) checkProcess() {
	j := c.journal
	if took := j.readyAt.Sub(j.startedAt); took > maxReadyDelay+c.tolerance {
		c.addFinding("ready", j.readyAt, "ready after %v", took)
	}
	if j.killedAt.IsZero() && (j.exitedAt.Before(j.terminatedAt) || j.exitError != nil) {
		c.addFinding("exit", j.exitedAt, "process exited with error %v, SIGTERM sent at %d ms",
			j.exitError, j.terminatedAt.Sub(j.readyAt).Milliseconds())
	}
	if j.peakUsage.descriptors > c.plan.MaxDescriptors {
		c.addFinding("descriptors", j.readyAt, "%d descriptors open, limit %d",
			j.peakUsage.descriptors, c.plan.MaxDescriptors)
	}
	if j.peakUsage.memoryKB > c.plan.MemoryMB<<10 {
		c.addFinding("memory", j.readyAt, "%d KB of resident memory, above memory_mb of the configuration", j.peakUsage.memoryKB)
	}
}

// processEnd returns when the process exited, or when it got SIGKILL.
func (c *checker) processEnd() time.Time {
	if !c.journal.killedAt.IsZero() {
		return c.journal.killedAt
	}
	return c.journal.exitedAt
}

// checkStalledClients checks that a client that stops sending in the middle of a request gets an error or a
// close in time.
func (c *checker) checkStalledClients() {
	if c.plan.IdleFlood {
		return // a stalled client may have to wait until its connection is accepted
	}
	for _, s := range c.journal.stalledClients {
		if s.waited > stalledClientTimeout+c.tolerance && s.connectedAt.Add(s.waited).Before(c.processEnd()) {
			c.addFinding("stalled client", s.connectedAt, "connection neither answered nor closed for %v",
				s.waited)
		}
	}
}

// checkServedFraction checks that enough requests are served in each window in which at least half of the
// servers are healthy and no other fault excuses a low fraction.
func (c *checker) checkServedFraction() {
	if c.plan.IdleFlood || c.journal.suspended > 0 {
		return
	}
	for from := c.journal.readyAt; from.Add(servedWindow).Before(c.journal.terminatedAt); from = from.Add(servedWindow / 4) {
		window := interval{from, from.Add(servedWindow)}
		if c.overlapsImpairment(window) {
			continue
		}
		sent, served := 0, 0
		for _, r := range c.journal.requests {
			if r.disconnectedAt.IsZero() && r.sentAt.After(window.from) && r.sentAt.Before(window.to.Add(-r.timeout)) {
				sent++
				if r.status == 200 {
					served++
				}
			}
		}
		if sent >= minWindowRequests && float64(served) < minServedFraction*float64(sent) {
			c.addFinding("served fraction", from, "%d of %d requests served in %v", served, sent, servedWindow)
		}
	}
}

// overlapsImpairment reports whether a fault excuses a low served fraction in some part of a window.
func (c *checker) overlapsImpairment(window interval) bool {
	for _, period := range c.journal.impaired {
		if period.from.Before(window.to) && window.from.Before(period.to) {
			return true
		}
	}
	return false
}
