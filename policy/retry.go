package policy

import "time"

// retryBudget enforces a RetryBudget. It keeps the times of recent requests and retries.
type retryBudget struct {
	RetryBudget
	requests slidingWindow
	retries  slidingWindow
}

// recordRequest counts a request, and drops the requests and retries older than the interval.
func (b *retryBudget) recordRequest(now time.Duration) {
	b.requests.countSince(now - b.Interval)
	b.retries.countSince(now - b.Interval)
	b.requests = append(b.requests, now)
}

// recordRetry counts a retry, that is an attempt after a request's first.
func (b *retryBudget) recordRetry(now time.Duration) { b.retries = append(b.retries, now) }

// exhausted reports whether the budget allows no retry now. At the boundary it errs on the side of
// fewer retries: a request exactly one interval ago no longer counts, a retry at that time still
// does.
func (b *retryBudget) exhausted(now time.Duration) bool {
	if b.Interval == 0 {
		return false
	}
	start := now - b.Interval
	allowed := b.MinRetries + b.RetryRatio*float64(b.requests.countSince(start+1))
	return float64(b.retries.countSince(start)+1) > allowed
}

// retry sends a request again after all of its attempts have failed. It rejects or fails the
// request instead if the limit on attempts is reached, the class forbids a retry, a response would
// be late or the retry budget is exhausted. A retry that cannot be sent at once is queued at the
// front, as its request has already waited.
//
// A request is never sent to the same endpoint twice, so eligible and nextAvailable may leave no
// endpoint for a queued retry. It is then ended by serveQueue or expireRequest.
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

// mayRetry reports whether the class allows an attempt at some endpoint now. As long as no attempt
// may have run, it does.
func (r *request) mayRetry(now time.Duration) bool {
	first := r.firstThatMayHaveRun()
	switch {
	case first == nil || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == NonIdempotent:
		return false
	}
	return now < first.sentAt+r.class.DedupWindow
}

// mayRetryAt reports whether the class allows an attempt at the endpoint now. If the request may
// have run, the endpoint must recognize it as a duplicate.
func (r *request) mayRetryAt(now time.Duration, e *endpoint) bool {
	if !r.mayRetry(now) {
		return false
	}
	first := r.firstThatMayHaveRun()
	if first == nil || r.class.Idempotency == Idempotent || r.class.DedupScope == DedupEverywhere {
		return true
	}
	if r.class.DedupScope == DedupInZone {
		return e.Zone == first.zone && e.Zone != UnknownZone
	}
	return e.Zone == first.zone && e.Cell == first.cell && e.Cell != UnknownCell
}

// dedupRemaining returns how much longer endpoints will recognize the latest attempt as a duplicate
// of an earlier one that may have run. It returns 0 if there is no such earlier attempt, or if a
// duplicate is harmless.
func (r *request) dedupRemaining() time.Duration {
	first, latest := r.firstThatMayHaveRun(), &r.attempts[len(r.attempts)-1]
	if first == latest || r.class.Idempotency != IdempotentByKey {
		return 0
	}
	return first.sentAt + r.class.DedupWindow - latest.sentAt
}

// clientMayRetry reports whether the client may safely repeat the request: no attempt may have run,
// or every endpoint drops or tolerates a duplicate.
func (r *request) clientMayRetry() bool {
	switch {
	case r.firstThatMayHaveRun() == nil || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentByKey:
		return r.class.DedupScope == DedupEverywhere
	}
	return false
}
