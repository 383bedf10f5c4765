package soak

import (
	"fmt"
	"math"
	"time"
)

// The bounds of the checks, from the platform's rules.
const (
	clockSlack     = 50 * time.Millisecond  // each time limit is so much longer on sockets
	answerGrace    = 500 * time.Millisecond // up to so long after its time a request still gets its response
	goneGrace      = 100 * time.Millisecond // no attempt begins so long after the client has gone
	timeoutSlack   = 150 * time.Millisecond // that an attempt may tell its server more than the client has left
	stallLimit     = 3 * time.Second        // a client that stops in a request gets an error or a close
	readyLimit     = 10 * time.Second
	idleCloseAfter = 2 * time.Second        // a connection without an open request may be closed after this
	afterStopGrace = 700 * time.Millisecond // a request that comes so long after SIGTERM has its response before SIGKILL

	servedWindow      = 2 * time.Second // in which a share of the requests is served
	minServedFraction = 0.2
	minWindowRequests = 20
)

// checker goes through a journal.
type checker struct {
	plan     *Plan
	journal  *journal
	slack    time.Duration // that the machine's stalls and the run's own suspensions add to bounds
	findings []Finding
}

// find enters a finding.
func (c *checker) find(check string, at time.Time, format string, args ...any) {
	c.findings = append(c.findings, Finding{check, at.Sub(c.journal.ready), fmt.Sprintf(format, args...)})
}

// run makes all checks.
func (c *checker) run() {
	c.checkProcess()
	c.checkResponses()
	c.checkAttempts()
	c.checkWithdrawals()
	c.checkSlowStarts()
	c.checkCalls()
	c.checkStalledClients()
	c.checkServedFraction()
}

// checkProcess: it is ready in time, does not end by itself, ends with status 0 after SIGTERM, and keeps its limits.
func (c *checker) checkProcess() {
	j := c.journal
	if took := j.ready.Sub(j.started); took > readyLimit+c.slack {
		c.find("ready", j.ready, "ready after %v", took)
	}
	if j.killed.IsZero() && (j.exited.Before(j.stopped) || j.exitError != nil) {
		c.find("exit", j.exited, "ended with %v, SIGTERM at %d ms", j.exitError, j.stopped.Sub(j.ready).Milliseconds())
	}
	if j.peak.descriptors > c.plan.Sockets {
		c.find("descriptors", j.ready, "%d descriptors of %d", j.peak.descriptors, c.plan.Sockets)
	}
	if j.peak.memoryKB > memoryMB<<10 {
		c.find("memory", j.ready, "%d KB", j.peak.memoryKB)
	}
}

// lastMoment is when the process has ended, or got SIGKILL.
func (c *checker) lastMoment() time.Time {
	if !c.journal.killed.IsZero() {
		return c.journal.killed
	}
	return c.journal.exited
}

// checkResponses: each request has one whole response in time, and 200 only with a body made for it.
func (c *checker) checkResponses() {
	made := make(map[string]map[string]bool) // bodies by request
	for _, a := range c.journal.attempts {
		if made[a.id] == nil {
			made[a.id] = make(map[string]bool)
		}
		made[a.id][a.body] = a.body != ""
	}
	for _, r := range c.journal.requests {
		if r.status == 200 && !made[r.id][r.body] {
			c.find("body", r.ended, "%s got %q, which no server made for it", r.id, r.body)
		}
		if r.disconnected.IsZero() {
			c.checkAnswered(r)
		}
	}
}

// checkAnswered checks that a request was answered in time, or need not have been.
//
// Of a request behind another one the time counts from that one's response: responses come in the order of the requests.
// Without that response this one is not missed by itself.
func (c *checker) checkAnswered(r *clientRequest) {
	last := c.lastMoment()
	turn := r.sent
	if r.behind != nil {
		if !r.behind.answered {
			return
		}
		turn = r.behind.ended
	}
	due := turn.Add(r.timeout + answerGrace + c.slack)
	switch {
	case r.answered && r.ended.After(due):
		c.find("late", r.ended, "%s (%s) answered %v after its time", r.id, r.class, r.ended.Sub(turn.Add(r.timeout)))
	case r.answered:
	case c.journal.killed.IsZero() && r.sent.Before(last): // it ended by itself: whatever it had taken is lost
		c.findUnanswered(r, "the process ended")
	case due.Before(last):
		c.findUnanswered(r, "its time was over")
	case r.sent.After(c.journal.stopped.Add(afterStopGrace+c.slack)) && r.sent.Before(last.Add(-c.slack)):
		c.findUnanswered(r, "it came after SIGTERM, before SIGKILL")
	case !r.ended.IsZero() && r.ended.Before(last.Add(-c.slack)):
		c.findUnanswered(r, "its connection ended")
	}
}

// findUnanswered enters that a request has no response, unless the close of its connection may have crossed it: idle
// connections may be closed after a time, and beside a flood of idle clients at any.
func (c *checker) findUnanswered(r *clientRequest, why string) {
	crossed := !r.ended.IsZero() && r.ended.Sub(r.sent) < c.slack
	if crossed && (c.plan.IdleFlood || r.idle > idleCloseAfter-c.slack) {
		return
	}
	c.find("unanswered", r.sent, "%s (%s, timeout %v, connection %d) has no response, %s: %s after %v",
		r.id, r.class, r.timeout, r.conn, why, r.failure, r.ended.Sub(r.sent))
}

// checkAttempts: nothing runs twice that must not, nothing begins for a client that has gone, and no server is told
// of more time than there is.
func (c *checker) checkAttempts() {
	requests := make(map[string]*clientRequest)
	for _, r := range c.journal.requests {
		requests[r.id] = r
	}
	effective := make(map[string]*attempt) // the first that may have run, by request
	for _, a := range c.journal.attempts {
		if first := effective[a.id]; first != nil {
			c.checkRepeat(first, a)
		} else if a.mayRun {
			effective[a.id] = a
		}
		r := requests[a.id]
		if r == nil {
			continue // not sent whole, and entered by nobody: its client has gone
		}
		if !r.disconnected.IsZero() && a.begun.After(r.disconnected.Add(goneGrace+c.slack)) {
			c.find("client gone", a.begun, "%s sent %v after its client left", a.id, a.begun.Sub(r.disconnected))
		}
		remaining := r.sent.Add(r.timeout).Sub(a.begun)
		if a.timeout > max(remaining, 0)+timeoutSlack+c.slack {
			c.find("timeout told", a.begun, "%s told a server %v, with %v left", a.id, a.timeout, remaining)
		}
	}
}

// checkRepeat checks an attempt after one that may have run.
func (c *checker) checkRepeat(first, repeat *attempt) {
	zone := func(a *attempt) int { return a.server % 2 }
	cell := func(a *attempt) int { return a.server % 3 }
	switch {
	case first.class == classUnsafe:
		c.find("duplicate", repeat.begun, "%s at servers %d and %d", first.id, first.server, repeat.server)
	case first.class != classKeyed:
	case repeat.begun.Sub(first.begun) > c.plan.Window+c.slack:
		c.find("window", repeat.begun, "%s repeated after %v", first.id, repeat.begun.Sub(first.begun))
	case c.plan.Scope == "zone" && zone(first) != zone(repeat), c.plan.Scope == "cell" && cell(first) != cell(repeat):
		c.find("scope", repeat.begun, "%s repeated at server %d after %d", first.id, repeat.server, first.server)
	}
}

// checkWithdrawals: nothing new at a server once its withdrawal counts as notified, and the grace is over.
func (c *checker) checkWithdrawals() {
	for _, l := range c.journal.withdrawals {
		notified := l.notified
		if notified.IsZero() || !l.forced.IsZero() && l.forced.Before(notified) {
			notified = l.forced
		}
		if notified.IsZero() {
			continue
		}
		limit := notified.Add(drainGrace + c.slack)
		for _, a := range c.journal.attempts {
			back := !l.until.IsZero() && a.begun.After(l.until)
			if a.server == l.server && a.begun.After(limit) && !back {
				c.find("withdrawn server", a.begun, "%s sent to server %d %v after its withdrawal counts as notified", a.id, a.server, a.begun.Sub(notified))
			}
		}
	}
}

// checkSlowStarts: no server gets more in slow start than it bears, by its part of the quota, from a sidecar that was
// notified of the start.
func (c *checker) checkSlowStarts() {
	if !c.plan.SlowStart {
		return
	}
	capacity := quota / float64(c.plan.Servers)
	for _, start := range c.journal.slowStarts {
		if start.notified.IsZero() {
			continue
		}
		var times []time.Duration
		for _, a := range c.journal.attempts {
			if age := a.begun.Sub(start.at); a.server == start.server && a.begun.After(start.notified) && age < slowStartDuration {
				times = append(times, age)
			}
		}
		for first, last := 0, 0; first < len(times); first++ {
			for last < len(times) && times[last] < times[first]+overloadWindow {
				last++
			}
			n := overloadFactor * capacity * meanCapacityFraction(times[first]) * overloadWindow.Seconds()
			chance := 2*math.Sqrt(n) + 2
			if n < 30 {
				chance = 3*math.Sqrt(n) + 3
			}
			if float64(last-first) > n+chance {
				c.find("slow start", start.at, "server %d got %d requests in %v from %v on, %.0f and %.0f for chance are allowed",
					start.server, last-first, overloadWindow, times[first], n, chance)
				break
			}
		}
	}
}

// meanCapacityFraction is the mean of the capacity that a server has over an overloadWindow from an age on, as a fraction:
// it grows evenly to the full.
func meanCapacityFraction(age time.Duration) float64 {
	fraction := func(age time.Duration) float64 {
		return min(1, slowStartFraction+(1-slowStartFraction)*age.Seconds()/slowStartDuration.Seconds())
	}
	return (fraction(age) + fraction(age+overloadWindow)) / 2
}

// checkCalls: the first call at another discovery than before asks for the full list.
func (c *checker) checkCalls() {
	for i, call := range c.journal.calls {
		elsewhereBefore := i > 0 && c.journal.calls[i-1].discovery != call.discovery
		if elsewhereBefore && call.query != "" && !c.fullSinceMove(call, c.journal.calls[:i]) {
			c.find("first call", call.at, "discovery %d, called anew, was asked %q", call.discovery, call.query)
		}
	}
}

// fullSinceMove tells whether the full list was asked for at a call's discovery since a configuration has named that. A
// call at the other one may be entered in between: it was on its way.
func (c *checker) fullSinceMove(call listCall, before []listCall) bool {
	var moved time.Time
	for _, m := range c.journal.moves {
		if m.to == call.discovery && m.at.Before(call.at) {
			moved = m.at
		}
	}
	for _, b := range before {
		if b.discovery == call.discovery && b.query == "" && b.at.After(moved) {
			return true
		}
	}
	return false
}

// checkStalledClients: a client that stops in the middle of a request gets an error or a close.
func (c *checker) checkStalledClients() {
	if c.plan.IdleFlood {
		return // it may wait to be accepted
	}
	for _, s := range c.journal.stalls {
		if s.waited > stallLimit+c.slack && s.opened.Add(s.waited).Before(c.lastMoment()) {
			c.find("stalled client", s.opened, "neither answered nor closed for %v", s.waited)
		}
	}
}

// checkServedFraction: whenever half of the servers are well, a share of the requests is served.
func (c *checker) checkServedFraction() {
	if c.plan.IdleFlood || c.journal.suspended > 0 {
		return
	}
	for from := c.journal.ready; from.Add(servedWindow).Before(c.journal.stopped); from = from.Add(servedWindow / 4) {
		window := interval{from, from.Add(servedWindow)}
		if c.excused(window) {
			continue
		}
		sent, served := 0, 0
		for _, r := range c.journal.requests {
			if r.disconnected.IsZero() && r.sent.After(window.from) && r.sent.Before(window.to.Add(-r.timeout)) {
				sent++
				if r.status == 200 {
					served++
				}
			}
		}
		if sent >= minWindowRequests && float64(served) < minServedFraction*float64(sent) {
			c.find("served fraction", from, "%d of %d requests in %v", served, sent, servedWindow)
		}
	}
}

// excused tells whether a low share may be served in a part of a run.
func (c *checker) excused(window interval) bool {
	for _, u := range c.journal.impaired {
		if u.from.Before(window.to) && window.from.Before(u.to) {
			return true
		}
	}
	return false
}
