package policy

import "time"

// retryBudget counts what a RetryBudget limits.
type retryBudget struct {
	RetryBudget
	requests slidingWindow
	retries  slidingWindow
}

// requestTaken counts a request, and forgets what is older than the interval.
func (b *retryBudget) recordRequest(now time.Duration) {
	b.requests.countSince(now - b.Interval)
	b.retries.countSince(now - b.Interval)
	b.requests = append(b.requests, now)
}

// retried counts an attempt after a request's first.
func (b *retryBudget) recordRetry(now time.Duration) { b.retries = append(b.retries, now) }

// exhausted says that the budget allows no retry now. At the edge it errs
// towards fewer: a request taken just an interval ago no longer counts, a
// retry made just then still does.
func (b *retryBudget) exhausted(now time.Duration) bool {
	if b.Interval == 0 {
		return false
	}
	start := now - b.Interval
	allowed := b.MinRetries + b.RetryRatio*float64(b.requests.countSince(start+1))
	return float64(b.retries.countSince(start)+1) > allowed
}

// retry sends a request again whose attempts have all failed, or gives it up:
// at the limit on attempts, where the class forbids it, when a response would
// be late, and when the retry budget is exhausted. If it cannot be sent at
// once, it waits at the front of its queue, as it has waited before. It may
// still end there: where eligible and nextInTurn leave it no endpoint, as it
// never goes to one twice, serveQueue or expireRequest gives it up.
func (b *Balancer) retry(now time.Duration, r *request) {
	denied := len(r.attempts) >= b.cfg.MaxAttempts ||
		!r.mayRetry(now) ||
		now >= r.latestStart() ||
		b.retryBudget.exhausted(now)
	if denied {
		b.rejectOrFail(now, r)
		return
	}
	if !b.dispatch(now, r) {
		r.bulkhead.pushFront(r)
	}
}

// mayRetry says whether the class allows an attempt at some endpoint now.
// Nothing forbids one while no attempt may have run.
func (r *request) mayRetry(now time.Duration) bool {
	first := r.firstEffective()
	switch {
	case first == nil || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == NonIdempotent:
		return false
	}
	return now < first.sentAt+r.class.DedupWindow
}

// mayRetryAt says whether the class allows an attempt at an endpoint now: a
// request that may have run must be recognised there as a duplicate.
func (r *request) mayRetryAt(now time.Duration, e *endpoint) bool {
	if !r.mayRetry(now) {
		return false
	}
	first := r.firstEffective()
	if first == nil || r.class.Idempotency == Idempotent || r.class.DedupScope == DedupEverywhere {
		return true
	}
	if r.class.DedupScope == DedupInZone {
		return e.Zone == first.zone && e.Zone != UnknownZone
	}
	return e.Zone == first.zone && e.Cell == first.cell && e.Cell != UnknownCell
}

// dedupRemaining returns for how much longer the latest attempt would be
// recognised as a duplicate of one that may have run; 0: it is not one, or
// does no harm.
func (r *request) dedupRemaining() time.Duration {
	first, latest := r.firstEffective(), &r.attempts[len(r.attempts)-1]
	if first == latest || r.class.Idempotency != IdempotentByKey {
		return 0
	}
	return first.sentAt + r.class.DedupWindow - latest.sentAt
}

// harmlessToRepeat says that a client may repeat the request: no attempt may
// have run, or any endpoint drops or tolerates a duplicate.
func (r *request) clientMayRetry() bool {
	switch {
	case r.firstEffective() == nil || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentByKey:
		return r.class.DedupScope == DedupEverywhere
	}
	return false
}
