package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// A tenant that floods the balancer must not take the slots of another tenant. Its excess requests are
// rejected at once with a Retry-After, as they could not be served in time. A slot that becomes free goes to
// the first request in the queue.
func TestBulkheadSlotsAndQueue(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots, queue of 1
	if b.FreeSlots(0) != 6 || b.FreeSlots(1) != 2 || b.FreeQueue(0) != 1 || b.FreeQueue(1) != 1 {
		t.Fatalf("free slots = %d and %d, free queue places = %d and %d; want 6 and 2, 1 and 1",
			b.FreeSlots(0), b.FreeSlots(1), b.FreeQueue(0), b.FreeQueue(1))
	}
	for id := range RequestID(10) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 || b.FreeQueue(0) != 0 {
		t.Fatalf("%d requests sent, %d free queue places; want 6 and 0", len(h.sends), b.FreeQueue(0))
	}
	if retryAfter, ok := h.rejected[9]; !ok || retryAfter <= 0 || retryAfter > time.Second {
		t.Fatalf("tenth request rejected = %v, with Retry-After %v; want true, with at most 1 s", ok, retryAfter)
	}
	if b.FreeSlots(1) != 2 {
		t.Fatalf("tenant 0 took slots of tenant 1")
	}
	b.Request(0, Request{ID: 20, Class: idempotentClass, Tenant: 1, Timeout: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("request of tenant 1 not sent while the bulkhead of tenant 0 was full")
	}
	finish(b, 50*ms, 0, 0, Succeeded)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("sends = %v, want the free slot given to the first request in the queue, 6", h.sends)
	}
}

// If no slots are configured, a balancer derives them from the quotas. Too many slots would let the fleet
// overload the endpoints, and a tenant with none could not send at all.
func TestSlotsDerivedFromQuotas(t *testing.T) {
	for _, balancers := range []int{1, 4, 64} {
		t.Run(fmt.Sprintf("balancers=%d", balancers), func(t *testing.T) {
			cfg := testConfig()
			cfg.Slots, cfg.Balancers = 0, balancers
			b, _ := start(t, cfg, ready(1))
			maxSlots := 100*1*slotObjectiveFraction + 2*slotDeviations*math.Sqrt(100*slotObjectiveFraction) + 2
			if b.bulkheads.slots < 2 || float64(b.bulkheads.slots) > maxSlots {
				t.Errorf("slots = %d, want 2 to %.0f", b.bulkheads.slots, maxSlots)
			}
			if b.FreeSlots(0) < b.FreeSlots(1) || b.FreeQueue(1) < 1 {
				t.Errorf("tenants have %d and %d slots, tenant 1 a queue of %d; want no fewer slots for tenant 0, and a queue",
					b.FreeSlots(0), b.FreeSlots(1), b.FreeQueue(1))
			}
		})
	}
	t.Run("no tenants", func(t *testing.T) { // no quota either: one bulkhead, sized by the first endpoint list
		cfg := testConfig()
		cfg.Slots, cfg.Tenants, cfg.Balancers = 0, nil, 4
		b, h := start(t, cfg, ready(1, 2))
		b.Request(0, Request{ID: 1, Tenant: 5, Timeout: time.Second})
		if len(b.bulkheads.byTenant) != 1 || b.bulkheads.slots != 7 || len(h.sends) != 1 {
			t.Fatalf("%d bulkheads, %d slots, %d sends; want 1, 7 and 1", len(b.bulkheads.byTenant), b.bulkheads.slots, len(h.sends))
		}
	})
}

// A request of high priority was rejected because the queue was full of requests of low priority. It has to
// replace the last of these, which is rejected at once, and has to get the next free slot.
func TestHigherPriorityEvictsFromFullQueue(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[1].PriorityWeight = 8
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.bulkheads.byTenant[0].slots, b.bulkheads.byTenant[0].queueCapacity = 1, 2
	submit(b, 0, 1, 0) // occupies the slot
	submit(b, 0, 2, 0)
	submit(b, 0, 3, 0) // fills the queue
	submit(b, 0, 4, 1)
	if _, rejected := h.rejected[3]; !rejected || len(h.rejected) != 1 {
		t.Fatalf("rejected = %v, want the last request of low priority, 3", h.rejected)
	}
	submit(b, 0, 5, 0)
	if _, rejected := h.rejected[5]; !rejected {
		t.Fatal("request of low priority not rejected while the queue was full")
	}
	finish(b, 10*ms, 1, 0, Succeeded)
	if last := h.sends[len(h.sends)-1]; last.id != 4 {
		t.Fatalf("request %d got the free slot, want the one of the highest priority, 4", last.id)
	}
	finish(b, 20*ms, 4, 0, Succeeded)
	if last := h.sends[len(h.sends)-1]; last.id != 2 {
		t.Fatalf("request %d got the free slot, want the one that waited, 2", last.id)
	}
}

// While no endpoint is known, a request waits in the queue, but it must be rejected before its latency
// objective has passed.
func TestQueuedRequestIsRejectedBeforeItsObjective(t *testing.T) {
	b, h := start(t, testConfig(), nil)
	submit(b, 0, 1, nonIdempotentClass)
	if len(h.rejected) != 0 {
		t.Fatal("request rejected at once although the queue has capacity")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if _, ok := h.rejected[1]; !ok {
		t.Fatal("request still queued after its latency objective had passed")
	}
}

// When endpoints had lost capacity, requests were sent after a wait with little more than the mean latency
// left. Half of them timed out, so the endpoints' work was wasted. The wait has to end while a response can
// still be in time.
func TestQueuedRequestIsRejectedWhenTooLateToStart(t *testing.T) {
	b, h := start(t, testConfig(), nil)
	submit(b, 0, 1, idempotentClass) // latency objective 1 s, mean latency 125 ms
	b.TimerFired(740 * ms)
	if len(h.rejected) != 0 {
		t.Fatal("request rejected with more than twice the mean latency remaining")
	}
	b.UpdateEndpoints(760*ms, FullUpdate, ready(1))
	if _, rejected := h.rejected[1]; !rejected {
		t.Fatalf("sends = %v, want a rejection with less than twice the mean latency remaining", h.sends)
	}
}

// queued returns requests with these priority weights.
func queued(priorities ...float64) (requests []*request) {
	for _, priority := range priorities {
		requests = append(requests, &request{class: &class{Class: Class{PriorityWeight: priority}}})
	}
	return requests
}

func TestBulkheadResize(t *testing.T) {
	for _, c := range []struct {
		name                 string
		mean, deviations     float64
		slots, queueCapacity int
	}{
		{"no traffic", 0, 2, 1, 1},
		{"without a margin", 8, 0, 8, 2},
		{"rounded up", 8.1, 0, 9, 2},
		{"margin of two deviations", 9, 2, 15, 3},
		{"queue of 0.15 of the slots", 40, 0, 40, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h bulkhead
			if h.resize(c.mean, c.deviations); h.slots != c.slots || h.queueCapacity != c.queueCapacity {
				t.Errorf("%d slots and a queue of %d, want %d and %d", h.slots, h.queueCapacity, c.slots, c.queueCapacity)
			}
		})
	}
}

func TestBulkheadsResizeByWeight(t *testing.T) {
	h := bulkheads{byTenant: make([]bulkhead, 3), slots: 99}
	h.resize([]Tenant{{Weight: 6}, {Weight: 3}, {Weight: 1}}, 40, 0)
	if h.byTenant[0].slots != 24 || h.byTenant[1].slots != 12 || h.byTenant[2].slots != 4 || h.slots != 40 {
		t.Errorf("slots = %d, %d and %d, in total %d; want 24, 12 and 4, in total 40", h.byTenant[0].slots, h.byTenant[1].slots, h.byTenant[2].slots, h.slots)
	}
}

func TestBulkheadFull(t *testing.T) {
	for slotsInUse, want := range []bool{false, false, true, true} {
		t.Run(fmt.Sprintf("%d of 2 slots in use", slotsInUse), func(t *testing.T) {
			h := bulkhead{slots: 2, slotsInUse: slotsInUse}
			if got := h.full(); got != want {
				t.Errorf("full = %v, want %v", got, want)
			}
		})
	}
}

func TestBulkheadEvictionCandidate(t *testing.T) {
	for _, c := range []struct {
		name     string
		queue    []float64 // priority weights
		priority float64
		evicted  int // index in the queue; -1: none, -2: the new request
	}{
		{"empty queue", nil, 1, -1},
		{"capacity remains", []float64{8}, 1, -1},
		{"higher priority", []float64{8, 1}, 4, 1},
		{"equal priority", []float64{8, 4}, 4, -2},
		{"lower priority", []float64{8, 4}, 1, -2},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := bulkhead{queueCapacity: 2, queue: queued(c.queue...)}
			r := queued(c.priority)[0]
			got := -1
			switch evicted := h.evictionCandidate(r); {
			case evicted == r:
				got = -2
			case evicted != nil:
				got = slices.Index(h.queue, evicted)
			}
			if got != c.evicted {
				t.Errorf("evicted = %d, want %d", got, c.evicted)
			}
		})
	}
}

func TestBulkheadQueueOrder(t *testing.T) {
	requests := queued(1, 8, 1, 8, 4)
	var h bulkhead
	for _, r := range requests {
		h.push(r)
	}
	order := func() (order []int) {
		for _, r := range h.queue {
			order = append(order, slices.Index(requests, r))
		}
		return order
	}
	if got := order(); !slices.Equal(got, []int{1, 3, 4, 0, 2}) {
		t.Fatalf("order after pushes = %v, want by priority and then arrival: 1 3 4 0 2", got)
	}
	h.removeQueued(requests[4])
	h.removeQueued(requests[4]) // no longer in the queue
	if got := order(); !slices.Equal(got, []int{1, 3, 0, 2}) {
		t.Fatalf("order after a removal = %v, want 1 3 0 2", got)
	}
	h.removeQueued(requests[0])
	h.pushFront(requests[0])
	if got := order(); !slices.Equal(got, []int{0, 1, 3, 2}) {
		t.Fatalf("order after a push to the front = %v, want 0 1 3 2", got)
	}
}

// Without quotas, the slots depend on the number of endpoints. They were set once, by the first endpoint list
// that was not empty. If that list was outdated, or came while most endpoints were missing, there were too
// few slots permanently.
func TestBulkheadsGrowWithEndpointList(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.Slots = nil, 0
	all := ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
	inOneList, _ := start(t, cfg, all)
	want := inOneList.FreeSlots(0)
	for name, firstList := range map[string][]Endpoint{
		"empty":             nil,
		"one of all":        all[:1],
		"all but one drain": append(ready(1), Endpoint{ID: 2, State: Draining}, Endpoint{ID: 3, State: Draining}),
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := start(t, cfg, firstList)
			b.UpdateEndpoints(time.Second, FullUpdate, all)
			if got := b.FreeSlots(0); got != want {
				t.Errorf("free slots = %d, want %d as with all endpoints in the first list", got, want)
			}
			b.UpdateEndpoints(2*time.Second, FullUpdate, all[:1])
			if got := b.FreeSlots(0); got != want {
				t.Errorf("free slots = %d after most endpoints were removed, want %d as before", got, want)
			}
		})
	}
}

// A retry at the front of its queue has no endpoint left, because its request has been sent to all endpoints that
// its class allows. Requests of a higher priority behind it waited as long as it did, although there were
// free slots and endpoints.
func TestRetryWithoutEndpointDoesNotBlockQueue(t *testing.T) {
	const low, high = 0, 1
	for _, c := range []struct {
		name      string
		retry     Class
		endpoints []Endpoint
	}{
		{"no other endpoint in its cell", Class{Idempotency: IdempotentByKey, DedupScope: DedupInCell, DedupWindow: time.Second}, ready(1, 2, 3)},
		{"no other endpoint", Class{Idempotency: Idempotent}, ready(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Tenants = []Tenant{{Weight: 1, Quota: 100}}
			cfg.Classes = []Class{low: c.retry, high: {Idempotency: Idempotent}}
			for i := range cfg.Classes {
				cfg.Classes[i].LatencyObjective, cfg.Classes[i].Deadline = time.Second, 3*time.Second
			}
			cfg.Classes[low].PriorityWeight, cfg.Classes[high].PriorityWeight = 1, 8
			for i := range c.endpoints {
				c.endpoints[i].Cell = i // every endpoint in a cell of its own
			}
			b, h := start(t, cfg, c.endpoints)
			b.bulkheads.byTenant[0].slots = 1
			submit(b, 0, 1, low)
			submit(b, 0, 2, high) // waits for the slot
			finish(b, 10*ms, 1, 0, ConnectionLost)
			b.TimerFired(20 * ms)
			if last := h.sends[len(h.sends)-1]; last.id != 2 {
				t.Errorf("request 2 not sent although a slot is free: sends = %v", h.sends)
			}
		})
	}
}

// A retry that an endpoint can take is sent before requests of a higher priority in its queue.
func TestRetryIsServedBeforeHigherPriority(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[1].PriorityWeight = 8
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.bulkheads.byTenant[0].slots = 1
	submit(b, 0, 1, 0)
	submit(b, 0, 2, 1) // waits for the slot
	b.endpoints.find(1).State, b.endpoints.find(2).State = Draining, Draining
	b.endpoints.find(3).State, b.endpoints.find(4).State = Draining, Draining
	finish(b, 10*ms, 1, 0, ServerError) // no endpoint can take the retry, so it waits at the front
	b.UpdateEndpoints(20*ms, FullUpdate, ready(1, 2, 3, 4))
	if second := h.sends[1]; second.id != 1 {
		t.Errorf("sends = %v, want the retry of request 1 second", h.sends)
	}
}
