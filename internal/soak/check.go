package soak

import (
	"fmt"
	"math"
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

// checkResponses checks that each request gets one complete response in time, and status 200 only with a body
// that a server sent for that request.
func (c *checker) checkResponses() {
	serverBodies := make(map[string]map[string]bool) // bodies that servers sent, by request
	for _, a := range c.journal.attempts {
		if serverBodies[a.id] == nil {
			serverBodies[a.id] = make(map[string]bool)
		}
		serverBodies[a.id][a.responseBody] = a.responseBody != ""
	}
	for _, r := range c.journal.requests {
		if r.status == 200 && !serverBodies[r.id][r.responseBody] {
			c.addFinding("body", r.endedAt, "request %s got body %.100q, which no server sent for it", r.id, r.responseBody)
		}
		if r.disconnectedAt.IsZero() {
			c.checkAnswered(r)
		}
	}
}

// checkNoLength checks that enough of the responses without a length are forwarded, if their clients wait for
// them.
func (c *checker) checkNoLength() {
	requests := c.requestsByID()
	sent, forwarded := 0, 0
	for _, a := range c.journal.attempts {
		r := requests[a.id]
		if !a.noLength || r == nil || !r.disconnectedAt.IsZero() {
			continue
		}
		sent++
		if r.status == 200 && r.responseBody == a.responseBody {
			forwarded++
		}
	}
	if sent >= minNoLengthResponses && float64(forwarded) < minNoLengthForwarded*float64(sent) {
		c.addFinding("no length", c.journal.readyAt, "%d of %d whole responses without a length were forwarded", forwarded, sent)
	}
}

// requestsByID returns the recorded requests by their ID.
func (c *checker) requestsByID() map[string]*clientRequest {
	requests := make(map[string]*clientRequest)
	for _, r := range c.journal.requests {
		requests[r.id] = r
	}
	return requests
}

// checkAnswered checks that a request was answered in time. A request may remain unanswered only if it was
// sent after the process ended or was still open when SIGKILL came; addUnanswered excuses closed idle
// connections.
//
// Responses come in the order of the requests, so the timeout of a pipelined request counts from the response
// to the previous request. If that response is missing, the check reports only the previous request.
func (c *checker) checkAnswered(r *clientRequest) {
	end := c.processEnd()
	timeoutFrom := r.sentAt
	if r.previous != nil {
		if !r.previous.answered {
			return
		}
		timeoutFrom = r.previous.endedAt
	}
	due := timeoutFrom.Add(r.timeout + responseGrace + c.tolerance)
	switch {
	case r.answered && r.endedAt.After(due):
		c.addFinding("late response", r.endedAt, "request %s (class %s) answered %v after its timeout",
			r.id, r.class, r.endedAt.Sub(timeoutFrom.Add(r.timeout)))
	case r.answered:
	case c.journal.killedAt.IsZero() && r.sentAt.Before(end):
		// The process exited without SIGKILL, so it must have answered all requests that it accepted.
		c.addUnanswered(r, "the process exited")
	case due.Before(end):
		c.addUnanswered(r, "its timeout has passed")
	case r.sentAt.After(c.journal.terminatedAt.Add(shutdownResponseDelay+c.tolerance)) && r.sentAt.Before(end.Add(-c.tolerance)):
		c.addUnanswered(r, "it was sent after SIGTERM, well before SIGKILL")
	case !r.endedAt.IsZero() && r.endedAt.Before(end.Add(-c.tolerance)):
		c.addUnanswered(r, "its connection was closed")
	}
}

// addUnanswered records that a request got no response, unless the sidecar may have closed the connection
// before the request arrived. The sidecar may close a connection that has been idle for minIdleClose, and any
// idle connection during a flood of idle clients.
func (c *checker) addUnanswered(r *clientRequest, why string) {
	closedAtOnce := !r.endedAt.IsZero() && r.endedAt.Sub(r.sentAt) < c.tolerance
	if closedAtOnce && (c.plan.IdleFlood || r.idleBefore > minIdleClose-c.tolerance) {
		return
	}
	c.addFinding("missing response", r.sentAt, "request %s (class %s, timeout %v, connection %d) got no response (%s); connection error %q, %v after the request was sent",
		r.id, r.class, r.timeout, r.connection, why, r.failure, r.endedAt.Sub(r.sentAt))
}

// checkAttempts checks that no request runs twice unless its class permits it, that no attempt begins after
// its client disconnected, and that no server receives a timeout beyond the client's remaining time.
func (c *checker) checkAttempts() {
	requests := c.requestsByID()
	firstRuns := make(map[string]*attempt) // the first attempt that may have run, by request
	for _, a := range c.journal.attempts {
		if first := firstRuns[a.id]; first != nil {
			c.checkRepeat(first, a)
		} else if a.mayHaveRun {
			firstRuns[a.id] = a
		}
		r := requests[a.id]
		if r == nil {
			continue // not recorded: its client failed to send it completely and disconnected
		}
		if !r.disconnectedAt.IsZero() && a.startedAt.After(r.disconnectedAt.Add(disconnectGrace+c.tolerance)) {
			c.addFinding("attempt after disconnect", a.startedAt, "request %s sent to a server %v after its client disconnected",
				a.id, a.startedAt.Sub(r.disconnectedAt))
		}
		remaining := r.sentAt.Add(r.timeout).Sub(a.startedAt)
		if a.timeout > max(remaining, 0)+timeoutTolerance+c.tolerance {
			c.addFinding("timeout header", a.startedAt, "attempt of request %s announced a timeout of %v, with %v remaining",
				a.id, a.timeout, remaining)
		}
	}
}

// checkRepeat checks that an attempt was permitted after an earlier attempt that may have run.
func (c *checker) checkRepeat(first, repeat *attempt) {
	// newServer assigns zones and cells by the same rules.
	zone := func(a *attempt) int { return a.server % 2 }
	cell := func(a *attempt) int { return a.server % 3 }
	switch {
	case first.class == classNonIdempotent:
		c.addFinding("duplicate", repeat.startedAt, "non-idempotent request %s sent to servers %d and %d",
			first.id, first.server, repeat.server)
	case first.class != classIdempotentByKey:
	case repeat.startedAt.Sub(first.startedAt) > c.plan.DedupWindow+c.tolerance:
		c.addFinding("window", repeat.startedAt, "request %s repeated %v after its first attempt",
			first.id, repeat.startedAt.Sub(first.startedAt))
	case c.plan.DedupScope == "zone" && zone(first) != zone(repeat), c.plan.DedupScope == "cell" && cell(first) != cell(repeat):
		c.addFinding("scope", repeat.startedAt, "request %s repeated at server %d, first sent to server %d",
			first.id, repeat.server, first.server)
	}
}

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
