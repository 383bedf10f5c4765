package policy

import (
	"cmp"
	"math"
	"time"
)

// UpdateKind specifies how the entries of an endpoint update apply.
type UpdateKind int

// The kinds of endpoint updates.
const (
	FullUpdate   UpdateKind = iota // all endpoints; one that is absent is removed
	DeltaUpdate                    // changed entries only
	CachedUpdate                   // all endpoints as last known; the list may be out of date
	UpdateFailed                   // the call failed or the watch broke; no entries
)

const (
	// initialBackoff is the time to the next poll after the first failure. It
	// doubles with each further failure, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond

	// maxBackoff is short because the balancer counts as notified of a change 6 s after discovery can
	// be reached again, and most of that time has to be left for discovery's response.
	maxBackoff = 1 * time.Second

	maxBackoffDoublings = 16 // keeps the doubled backoff from overflowing

	// defaultPollInterval is the time to the next poll if no update comes and Config.PollInterval is
	// unknown. If Config.PollInterval is known, the next poll comes well before it has passed.
	defaultPollInterval = 4 * maxBackoff
)

// endpointWatch determines when the endpoint list is polled.
type endpointWatch struct {
	pollAt   time.Duration // time of the next poll; 0: not scheduled
	polledAt time.Duration // time of the latest poll
	failures int           // consecutive failures
}

// recordFailure schedules the next poll after a failure. The backoff is counted
// from the start of the failed call, so that the time for which a call hung is
// not added to it. The poll comes at least minBackoff after the failure.
func (w *endpointWatch) recordFailure(now, minBackoff, backoff time.Duration) {
	w.pollAt = max(now+minBackoff, w.polledAt+backoff)
	w.failures++
}

// recordUpdate cancels the scheduled poll, because an update has come.
func (w *endpointWatch) recordUpdate() { w.pollAt, w.failures = 0, 0 }

// shouldPoll reports whether the scheduled poll is due.
func (w *endpointWatch) shouldPoll(now time.Duration) bool { return w.pollAt > 0 && now >= w.pollAt }

// UpdateEndpoints applies an update of the endpoint list. UpdateFailed reports
// that a call for the list failed.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.watch.recordFailure(now, b.backoff(0), b.backoff(b.watch.failures))
		return
	}
	if kind != CachedUpdate && b.cfg.PollsEndpoints {
		b.watch.recordUpdate()
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
	b.scheduleFirstSlowStartSends(now, started)
	b.serveQueues(now)
}

// updateSizes recomputes what depends on the number of endpoints. If quotas are
// unknown, this number is the only measure of capacity, and the bulkheads are
// sized for the largest list so far, because the first list may be empty or out
// of date.
func (b *Balancer) updateSizes(now time.Duration) {
	before := b.endpoints.maxReady
	b.endpoints.update()
	if b.quota > 0 || b.endpoints.maxReady == before {
		return
	}
	b.sizeBulkheads()
	if before == 0 {
		// At this request rate, the subset includes all endpoints.
		b.traffic.assume(now, float64(b.endpoints.maxReady)/b.subset.pickInterval)
	}
}

// applyEntry applies one entry of the endpoint list. newStart reports whether
// the entry gives a later start than the one known.
func (b *Balancer) applyEntry(now time.Duration, entry Endpoint) (e *endpoint, newStart bool) {
	if !(entry.Weight > 0) || math.IsInf(entry.Weight, 0) {
		entry.Weight = 1 // without usable weights, endpoints are picked equally often
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

// poll polls the endpoint list by starting a watch of it, and schedules another poll in case no
// update comes.
func (b *Balancer) poll(now time.Duration) {
	b.watch.polledAt = now
	b.watch.pollAt = now + cmp.Or(b.cfg.PollInterval*3/4, defaultPollInterval)
	b.host.WatchEndpoints()
}

// backoff returns the backoff after a number of failures. It has jitter, so that
// balancers do not poll at the same time.
func (b *Balancer) backoff(failures int) time.Duration {
	mean := initialBackoff << min(failures, maxBackoffDoublings)
	mean = min(mean, maxBackoff, cmp.Or(b.cfg.PollInterval, maxBackoff))
	return time.Duration(float64(mean) * (0.5 + b.rng.Float64()))
}
