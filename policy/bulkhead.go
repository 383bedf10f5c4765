package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slotObjectiveFraction is the latency that bulkheads are sized for, as a fraction of the
	// latency objective. The slots hold the traffic of the quotas at this latency; most of the
	// objective remains for faults.
	slotObjectiveFraction = 0.12
	// slotDeviations is the margin of the slots over the mean number of attempts in flight, in
	// standard deviations, so that random variation alone causes no rejections.
	slotDeviations = 2.0
	// slotsPerEndpoint is the number of attempts in flight, over all balancers, that is assumed for
	// each endpoint if quotas are unknown. The endpoints are counted by the highest number of ready
	// ones so far.
	slotsPerEndpoint = 3.0
	// queuePerSlot is the number of queue places for each slot: just enough to keep the slots in use.
	queuePerSlot = 0.15
	// eulerGamma is Euler's constant: the largest of n random parts is expected to be (ln n + eulerGamma) times
	// their mean.
	eulerGamma = 0.58
)

// noPriority is lower than every priority weight.
const noPriority = -1.0

// bulkhead isolates one tenant. It bounds the tenant's concurrent attempts and has a short queue
// for requests that wait: retries at the front, then requests by priority. A tenant that has
// exhausted its own slots cannot use those of another.
type bulkhead struct {
	slots         int // limit on concurrent attempts
	slotsInUse    int // attempts in flight
	queueCapacity int // at least 1; retries may exceed it
	queue         []*request
}

// resize sets the slots to hold the mean number of attempts in flight, plus a margin of deviations
// times the standard deviation of that number.
func (h *bulkhead) resize(mean, deviations float64) {
	h.slots = max(1, int(math.Ceil(mean+deviations*math.Sqrt(mean))))
	h.queueCapacity = int(math.Ceil(float64(h.slots) * queuePerSlot))
}

// full reports whether all slots are in use.
func (h *bulkhead) full() bool { return h.slotsInUse >= h.slots }

// evictionCandidate returns the request that has to be rejected or failed before r can be queued: nil
// if the queue has capacity, the last queued request if r has a higher priority, and otherwise r.
func (h *bulkhead) evictionCandidate(r *request) *request {
	if len(h.queue) < h.queueCapacity {
		return nil
	}
	last := h.queue[len(h.queue)-1]
	if last.class.PriorityWeight < r.class.PriorityWeight {
		return last
	}
	return r
}

// push queues a request behind those of the same or a higher priority.
func (h *bulkhead) push(r *request) {
	position := len(h.queue)
	for position > 0 && h.queue[position-1].class.PriorityWeight < r.class.PriorityWeight {
		position--
	}
	h.queue = slices.Insert(h.queue, position, r)
}

// pushFront queues a retry at the front, whatever its priority and even beyond the queue's
// capacity, as its request has already waited.
func (h *bulkhead) pushFront(r *request) { h.queue = slices.Insert(h.queue, 0, r) }

// maxPriority returns the highest priority weight in the queue, or noPriority if it is empty.
func (h *bulkhead) maxPriority() float64 {
	highest := noPriority
	for _, r := range h.queue {
		highest = max(highest, r.class.PriorityWeight)
		if len(r.attempts) == 0 {
			break // the requests behind the retries are ordered by priority
		}
	}
	return highest
}

// removeQueued removes a request from the queue, if it is there.
func (h *bulkhead) removeQueued(r *request) {
	if i := slices.Index(h.queue, r); i >= 0 {
		h.queue = slices.Delete(h.queue, i, i+1)
	}
}

// bulkheads holds the bulkheads of all tenants.
type bulkheads struct {
	byTenant        []bulkhead // by Request.Tenant
	slots           int        // over all bulkheads
	roundRobinStart int        // bulkhead that was served first in the latest round
}

// resize sets the slots of all bulkheads. total is the mean number of attempts in flight; it is
// divided among the tenants by their weights.
func (h *bulkheads) resize(tenants []Tenant, total, deviations float64) {
	weightSum := 0.0
	for _, t := range tenants {
		weightSum += t.Weight
	}
	h.slots = 0
	for i, t := range tenants {
		h.byTenant[i].resize(total*t.Weight/weightSum, deviations)
		h.slots += h.byTenant[i].slots
	}
}

// sizeBulkheads sets the slots of all bulkheads. By Little's law, a request rate keeps rate x
// latency attempts in flight. fleetInFlight is this number over all balancers while traffic is at the
// quotas. As traffic is not spread evenly over the n balancers, each one is sized for the expected
// largest of n random parts of the traffic.
func (b *Balancer) sizeBulkheads() {
	n := float64(b.cfg.Balancers)
	b.fleetInFlight = b.quota * float64(b.objective) * slotObjectiveFraction
	if b.quota == 0 {
		b.fleetInFlight = slotsPerEndpoint * float64(b.endpoints.maxReady)
	}
	total := b.fleetInFlight * min(1, (math.Log(n)+eulerGamma)/n)
	deviations := slotDeviations
	if b.cfg.Slots > 0 {
		total, deviations = float64(b.cfg.Slots), 0
	}
	b.bulkheads.resize(b.cfg.tenants(), total, deviations)
}

// enqueue queues a request in its bulkhead. If the queue is full, the request that evictionCandidate
// returns is rejected at once, or failed if it is a retry that its client may not repeat.
func (b *Balancer) enqueue(now time.Duration, r *request) {
	if evicted := r.bulkhead.evictionCandidate(r); evicted != nil {
		b.rejectOrFail(now, evicted) // also removes it from the queue
		if evicted == r {
			return
		}
	}
	b.counters.Queued++
	r.bulkhead.push(r)
}

// serveQueues dispatches queued requests while there are free slots: the highest priority over all
// bulkheads first, and the bulkheads in round-robin order among equal priorities.
func (b *Balancer) serveQueues(now time.Duration) {
	h := &b.bulkheads
	h.roundRobinStart = (h.roundRobinStart + 1) % len(h.byTenant)
	for priority := math.Inf(1); priority >= 0; {
		nextPriority := noPriority
		for i := range h.byTenant {
			current := &h.byTenant[(h.roundRobinStart+i)%len(h.byTenant)]
			nextPriority = max(nextPriority, b.serveQueue(now, current, priority))
		}
		priority = nextPriority
	}
}

// serveQueue dispatches the requests of one priority in a queue as far as possible, and returns the
// next lower priority in the queue, or noPriority. Retries of a lower priority, which are at the
// front of the queue, are dispatched as well. A retry that no endpoint can take does not block the
// requests behind it.
func (b *Balancer) serveQueue(now time.Duration, h *bulkhead, priority float64) float64 {
	if highest := h.maxPriority(); highest < priority {
		return highest
	}
	for i := 0; i < len(h.queue) && !h.full(); {
		r := h.queue[i]
		isRetry := len(r.attempts) > 0
		switch {
		case r.class.PriorityWeight > priority:
			i++ // was tried at its own priority
		case r.class.PriorityWeight < priority && !isRetry:
			return r.class.PriorityWeight
		case now >= r.latestStart():
			b.rejectOrFail(now, r) // also removes it from the queue
		case b.dispatch(now, r):
			h.queue = slices.Delete(h.queue, i, i+1)
		case !isRetry && r.firstOfKey(now):
			return noPriority // every endpoint is allowed for it, so requests behind it cannot be sent either
		default:
			i++ // only some endpoints are allowed for it, or it waits for its key: others may be sent
		}
	}
	return noPriority
}
