package policy

import (
	"cmp"
	"math"
	"time"
)

// UpdateKind says how the entries of an endpoint update apply.
type UpdateKind int

// The kinds of endpoint updates.
const (
	FullUpdate   UpdateKind = iota // all endpoints; one that is absent is removed
	DeltaUpdate                    // changed entries only
	CachedUpdate                   // all endpoints as last known, maybe stale
	UpdateFailed                   // the call failed or the watch broke; no entries
)

const (
	// The list is polled again this long after the first failure, then twice
	// as long after each, up to maxBackoff. A change counts as notified 6 s
	// after discovery can be reached again, and most of that is left for its
	// response.
	initialBackoff      = 250 * time.Millisecond
	maxBackoff          = 1 * time.Second
	maxBackoffDoublings = 16
	// Where no update comes, the list is polled again after this, or well
	// before Config.PollInterval is over.
	defaultPollInterval = 4 * maxBackoff
)

// endpointWatch decides when the endpoint list is polled.
type endpointWatch struct {
	pollAt   time.Duration // 0: not scheduled
	polledAt time.Duration
	failures int // in a row
}

// failed schedules a poll after a failure. Backoffs count from one call's
// start to the next's, so that a call that hung is not waited for twice.
func (w *endpointWatch) failed(now, minBackoff, backoff time.Duration) {
	w.pollAt = max(now+minBackoff, w.polledAt+backoff)
	w.failures++
}

// succeeded is called when an update has come: nothing has to be polled.
func (w *endpointWatch) succeeded() { w.pollAt, w.failures = 0, 0 }

// shouldPoll says that it is time to poll.
func (w *endpointWatch) shouldPoll(now time.Duration) bool { return w.pollAt > 0 && now >= w.pollAt }

// UpdateEndpoints takes an update of the endpoint list, or that a call for it
// failed.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.watch.failed(now, b.backoff(0), b.backoff(b.watch.failures))
		return
	}
	if kind != CachedUpdate && b.cfg.PollsEndpoints {
		b.watch.succeeded()
	}
	if kind != DeltaUpdate {
		b.endpoints.markAllRemoved()
	}
	var started []*endpoint
	for _, entry := range entries {
		if e, newStart := b.applyEntry(now, entry); newStart {
			started = append(started, e)
		}
	}
	b.updateSizes(now)
	b.selectSubset(now)
	b.drawFirstSlowStartSends(now, started)
	b.serveQueues(now)
}

// updateSizes brings up to date what follows from the number of endpoints. Where
// no quotas are known that is all there is to go by: the bulkheads grow with the
// largest list so far, as the first may be empty or old.
func (b *Balancer) updateSizes(now time.Duration) {
	before := b.endpoints.maxReady
	b.endpoints.update()
	if b.quota > 0 || b.endpoints.maxReady == before {
		return
	}
	b.sizeBulkheads()
	if before == 0 {
		b.traffic.assume(now, float64(b.endpoints.maxReady)/b.subset.turnInterval)
	}
}

// applyEntry applies one entry of the endpoint list. newStart tells whether the
// entry tells of a start later than the one known.
func (b *Balancer) applyEntry(now time.Duration, entry Endpoint) (e *endpoint, newStart bool) {
	if !(entry.Weight > 0) || math.IsInf(entry.Weight, 0) {
		entry.Weight = 1 // no usable weights: even turns
	}
	e = b.endpoints.findOrAdd(entry.ID)
	newStart = entry.StartedAt > 0 && entry.StartedAt > e.StartedAt
	if newStart {
		b.beginSlowStart(e, entry)
	}
	e.Endpoint = entry
	if e.State == Draining {
		b.closeIdle(now, e)
	}
	return e, newStart
}

// poll subscribes to the endpoint list.
func (b *Balancer) poll(now time.Duration) {
	b.watch.polledAt = now
	b.watch.pollAt = now + cmp.Or(b.cfg.PollInterval*3/4, defaultPollInterval)
	b.host.WatchEndpoints()
}

// backoff returns the pause after a number of failures, with jitter so that
// balancers do not call all at once.
func (b *Balancer) backoff(failures int) time.Duration {
	pause := initialBackoff << min(failures, maxBackoffDoublings)
	pause = min(pause, maxBackoff, cmp.Or(b.cfg.PollInterval, maxBackoff))
	return time.Duration(float64(pause) * (0.5 + b.rng.Float64()))
}
