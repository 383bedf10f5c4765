package soak

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
