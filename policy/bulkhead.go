package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slotObjectiveFraction sizes bulkheads: the slots hold a quota's traffic
	// while attempts take this fraction of the latency objective, which leaves
	// most of the objective for what goes wrong.
	slotObjectiveFraction = 0.12
	// slotDeviations is how many standard deviations of the number in flight
	// the slots exceed its mean by, so that chance alone rejects nothing.
	slotDeviations   = 2.0
	slotsPerEndpoint = 3.0  // slots for each ready endpoint of the largest list so far, where no quota is known
	queuePerSlot     = 0.15 // queue places for each slot: just enough to keep the slots in use
	eulerGamma       = 0.58 // the largest of n random parts is (ln n + this) times the mean
)

// noPriority is below every priority weight.
const noPriority = -1.0

// bulkhead isolates one tenant: a bounded number of concurrent attempts and a
// short queue for requests that wait, in order of priority but for retries,
// which go to its front. A tenant that exhausts its own cannot take another's.
type bulkhead struct {
	slots         int // concurrent attempts
	used          int
	queueCapacity int // at least 1
	queue         []*request
}

// resize sets the slots to hold the mean number of attempts in flight, plus
// some deviations of it.
func (h *bulkhead) resize(mean, deviations float64) {
	h.slots = max(1, int(math.Ceil(mean+deviations*math.Sqrt(mean))))
	h.queueCapacity = int(math.Ceil(float64(h.slots) * queuePerSlot))
}

// full says that all slots are in use.
func (h *bulkhead) full() bool { return h.used >= h.slots }

// evictionCandidate returns the request that has to be rejected before r can
// be queued: nil while there is capacity, the last in the queue if r has a
// higher priority, else r itself.
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

// push queues a request behind those of at least its priority.
func (h *bulkhead) push(r *request) {
	at := len(h.queue)
	for at > 0 && h.queue[at-1].class.PriorityWeight < r.class.PriorityWeight {
		at--
	}
	h.queue = slices.Insert(h.queue, at, r)
}

// pushFront queues a retry: it has waited before, so it goes first, whatever
// its priority and also beyond the queue's capacity.
func (h *bulkhead) pushFront(r *request) { h.queue = slices.Insert(h.queue, 0, r) }

// maxPriority returns the highest priority weight in the queue, or noPriority.
func (h *bulkhead) maxPriority() float64 {
	highest := noPriority
	for _, r := range h.queue {
		highest = max(highest, r.class.PriorityWeight)
		if len(r.attempts) == 0 {
			break // those behind the retries are in order
		}
	}
	return highest
}

// removeQueued takes a request out of the queue, if it is there.
func (h *bulkhead) removeQueued(r *request) {
	if i := slices.Index(h.queue, r); i >= 0 {
		h.queue = slices.Delete(h.queue, i, i+1)
	}
}

// bulkheads are those of all tenants, by their numbers.
type bulkheads struct {
	all             []bulkhead
	slots           int // of all
	roundRobinStart int // where the latest round over the queues began
}

// resize sets the slots of all bulkheads. total is how many attempts are in
// flight on average, divided among the tenants by their weights.
func (h *bulkheads) resize(tenants []Tenant, total, deviations float64) {
	weights := 0.0
	for _, t := range tenants {
		weights += t.Weight
	}
	h.slots = 0
	for i, t := range tenants {
		h.all[i].resize(total*t.Weight/weights, deviations)
		h.slots += h.all[i].slots
	}
}

// sizeBulkheads sets all slots. By Little's law a request rate keeps rate x
// latency attempts in flight. Each balancer gets what the largest of n random
// parts of the traffic comes to, as traffic is not spread evenly.
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

// enqueue has a request wait in its bulkhead. In a full queue the request of
// the lowest priority is rejected at once.
func (b *Balancer) enqueue(now time.Duration, r *request) {
	if evicted := r.bulkhead.evictionCandidate(r); evicted != nil {
		b.rejectOrFail(now, evicted) // which takes it out of the queue
		if evicted == r {
			return
		}
	}
	b.count.Queued++
	r.bulkhead.push(r)
}

// serveQueues gives free slots to queued requests: the highest priority over
// all bulkheads first, and among equals one bulkhead after the other.
func (b *Balancer) serveQueues(now time.Duration) {
	h := &b.bulkheads
	h.roundRobinStart = (h.roundRobinStart + 1) % len(h.all)
	for priority := math.Inf(1); priority >= 0; {
		next := noPriority
		for i := range h.all {
			waiting := &h.all[(h.roundRobinStart+i)%len(h.all)]
			next = max(next, b.serveQueue(now, waiting, priority))
		}
		priority = next
	}
}

// serveQueue sends what it can of the requests of one priority in a queue, and
// returns the next lower priority there, or noPriority. Retries of a lower
// priority go with the first requests behind them; one that no endpoint can
// take holds back none of those.
func (b *Balancer) serveQueue(now time.Duration, h *bulkhead, priority float64) float64 {
	if highest := h.maxPriority(); highest < priority {
		return highest
	}
	for n := 0; n < len(h.queue) && !h.full(); {
		r := h.queue[n]
		isRetry := len(r.attempts) > 0
		switch {
		case r.class.PriorityWeight > priority:
			n++ // had its turn at its own priority
		case r.class.PriorityWeight < priority && !isRetry:
			return r.class.PriorityWeight
		case now >= r.latestStart():
			b.rejectOrFail(now, r) // which takes it out of the queue
		case b.dispatch(now, r):
			h.queue = slices.Delete(h.queue, n, n+1)
		case !isRetry && r.firstOfKey(now):
			return noPriority // it could go to any endpoint, so nothing behind it can go
		default:
			n++ // bound to some endpoints, or behind its key: others may go
		}
	}
	return noPriority
}
