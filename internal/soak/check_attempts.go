package soak

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
