package policy

import "time"

// eligible is the one gate before a send: whether the rules let a request go
// to an endpoint now. The picker chooses among what it allows, and passes over
// more: endpoints that the request has been to, ejected ones and those at their
// limit.
func (b *Balancer) eligible(now time.Duration, r *request, e *endpoint) bool {
	switch {
	case r.closed || r.streaming || now >= r.deadline:
		return false // one answer for each request, in time
	case len(r.attempts) >= b.cfg.MaxAttempts:
		return false
	case e.State != Ready:
		return false // nothing new for an endpoint that is draining or removed
	case b.slowStartBlocked(now, e):
		return false // no overload of an endpoint in slow start
	case r.inFlight > 0:
		return false // no hedged requests: one attempt at a time
	case !r.mayRetryAt(now, e):
		return false // a class that must not run twice does not
	case !r.firstOfKey(now):
		return false // requests of one key run in order
	case len(r.attempts) > 0 && b.retryBudget.exhausted(now):
		return false
	}
	return true
}

// dispatch sends a request if its bulkhead has a free slot, the concurrency
// limit allows it and an endpoint can be picked. The limit is beside those of
// endpoints because one attempt each of many balancers is congestion too.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.bulkhead.full() {
		return false
	}
	if float64(b.inFlight) >= b.concurrencyLimit(now) {
		b.count.ConcurrencyLimited++
		return false
	}
	e := b.pick(now, r)
	return e != nil && b.send(now, r, e)
}

// send starts an attempt, if the gate allows it. It is the only place that
// does, so nothing is sent past the gate.
func (b *Balancer) send(now time.Duration, r *request, e *endpoint) bool {
	if !b.eligible(now, r, e) {
		return false
	}
	e.nextSlowStartSend = now + b.slowStartInterval(now, e)
	r.attempts = append(r.attempts, attempt{endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now})
	b.attemptStarted(r, e)
	if len(r.attempts) > 1 {
		b.count.Retries++
		b.retryBudget.recordRetry(now)
	}
	if b.crossesZone(e) {
		b.count.CrossZoneSends++
	}
	b.host.Send(r.id, e.ID, r.attemptDeadline-now, r.dedupRemaining())
	return true
}
