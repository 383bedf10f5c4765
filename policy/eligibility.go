package policy

import "time"

// eligible reports whether the rules allow a request to be sent to an endpoint now. Every send
// passes this check. The picker chooses among the endpoints that it allows, and also skips those
// that the request was already sent to, that are ejected or that are at their limit.
func (b *Balancer) eligible(now time.Duration, r *request, e *endpoint) bool {
	switch {
	case r.closed || r.streaming || now >= r.deadline:
		return false // each request has one answer, before its deadline
	case len(r.attempts) >= b.cfg.MaxAttempts:
		return false
	case e.State != Ready:
		return false // draining and removed endpoints get no new requests
	case b.slowStartBlocked(now, e):
		return false // an endpoint in slow start must not be overloaded
	case r.inFlight > 0:
		return false // no hedged requests: one attempt at a time
	case !r.mayRetryAt(now, e):
		return false // the class may forbid that the request runs twice
	case !r.firstOfKey(now):
		return false // requests of one key run in order
	case len(r.attempts) > 0 && b.retryBudget.exhausted(now):
		return false
	}
	return true
}

// dispatch sends a request if its bulkhead has a free slot, the concurrency limit allows it and an
// endpoint can be picked. The concurrency limit applies in addition to the limits of the endpoints,
// as single attempts of many balancers add up to congestion too.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.bulkhead.full() {
		return false
	}
	if float64(b.inFlight) >= b.concurrencyLimit(now) {
		b.counters.ConcurrencyLimited++
		return false
	}
	e := b.pick(now, r)
	return e != nil && b.send(now, r, e)
}

// send starts an attempt if the request is eligible. No other function calls Host.Send, so no
// attempt bypasses the check.
func (b *Balancer) send(now time.Duration, r *request, e *endpoint) bool {
	if !b.eligible(now, r, e) {
		return false
	}
	e.nextSlowStartSend = now + b.slowStartInterval(now, e)
	r.attempts = append(r.attempts, attempt{endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now})
	b.attemptStarted(r, e)
	if len(r.attempts) > 1 {
		b.counters.Retries++
		b.retryBudget.recordRetry(now)
	}
	if b.crossesZone(e) {
		b.counters.CrossZoneSends++
	}
	b.host.Send(r.id, e.ID, r.attemptDeadline-now, r.dedupRemaining())
	return true
}
