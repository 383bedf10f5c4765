package policy

import (
	"math"
	"testing"
	"time"
)

func TestBulkheadSlotsAndQueue(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots and 1 place
	if b.FreeSlots(0) != 6 || b.FreeSlots(1) != 2 || b.FreeQueue(0) != 1 || b.FreeQueue(1) != 1 {
		t.Fatalf("walls: slots %d %d, places %d %d", b.FreeSlots(0), b.FreeSlots(1), b.FreeQueue(0), b.FreeQueue(1))
	}
	for id := range RequestID(10) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 || b.FreeQueue(0) != 0 {
		t.Fatalf("sent %d, queue places free %d; want 6 and 0", len(h.sends), b.FreeQueue(0))
	}
	if pause, ok := h.rejected[9]; !ok || pause <= 0 || pause > time.Second {
		t.Fatalf("tenth request: refused %v with pause %v; want a prompt refusal with advice", ok, pause)
	}
	if b.FreeSlots(1) != 2 {
		t.Fatalf("tenant 1 lost slots to tenant 0")
	}
	b.Request(0, Request{ID: 20, Class: idempotentClass, Tenant: 1, Timeout: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("the other compartment did not send past the full one")
	}
	finish(b, 50*ms, 0, 0, Succeeded)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("a freed slot did not go to the first in the queue: %v", h.sends)
	}
}

func TestSlotsDerivedFromQuotas(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 0
	for _, balancers := range []int{1, 4, 64} {
		cfg.Balancers = balancers
		b, _ := start(t, cfg, ready(1))
		whole := 100*1*slotObjectiveFraction + 2*slotDeviations*math.Sqrt(100*slotObjectiveFraction) + 2
		if b.bulkheads.slots < 2 || float64(b.bulkheads.slots) > whole {
			t.Errorf("%d balancers: %d slots, want 2 to %.0f", balancers, b.bulkheads.slots, whole)
		}
		if b.FreeSlots(0) < b.FreeSlots(1) || b.FreeQueue(1) < 1 {
			t.Errorf("%d balancers: compartments %d and %d", balancers, b.FreeSlots(0), b.FreeSlots(1))
		}
	}
	cfg.Tenants, cfg.Balancers = nil, 4 // no tenants and no quota: one compartment, sized by the first list
	b, h := start(t, cfg, ready(1, 2))
	b.Request(0, Request{ID: 1, Tenant: 5, Timeout: time.Second})
	if len(b.bulkheads.all) != 1 || b.bulkheads.slots != 7 || len(h.sends) != 1 {
		t.Fatalf("without tenants: %d compartments, %d slots, %d sends", len(b.bulkheads.all), b.bulkheads.slots, len(h.sends))
	}
}

// Guards against a worthy request refused because less worthy ones wait: it takes the place of the least
// worthy, which hears so at once, and has the next free slot.
func TestHigherPriorityEvictsFromFullQueue(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[1].PriorityWeight = 8
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.bulkheads.all[0].slots, b.bulkheads.all[0].queueCapacity = 1, 2
	submit(b, 0, 1, 0) // has the slot
	submit(b, 0, 2, 0)
	submit(b, 0, 3, 0) // the queue is full
	submit(b, 0, 4, 1)
	if _, refused := h.rejected[3]; !refused || len(h.rejected) != 1 {
		t.Fatalf("refused %v, want the last of the less worthy", h.rejected)
	}
	submit(b, 0, 5, 0)
	if _, refused := h.rejected[5]; !refused {
		t.Fatal("one of little worth was let into a full queue")
	}
	finish(b, 10*ms, 1, 0, Succeeded)
	if last := h.sends[len(h.sends)-1]; last.id != 4 {
		t.Fatalf("request %d has the free slot, want the worthiest, 4", last.id)
	}
	finish(b, 20*ms, 4, 0, Succeeded)
	if last := h.sends[len(h.sends)-1]; last.id != 2 {
		t.Fatalf("request %d has the free slot, want the one that waited, 2", last.id)
	}
}

func TestQueuedRequestIsRejectedBeforeItsObjective(t *testing.T) {
	b, h := start(t, testConfig(), nil) // no server at all: held, then refused in time
	submit(b, 0, 1, nonIdempotentClass)
	if len(h.rejected) != 0 {
		t.Fatal("refused at once, though the queue has room")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if _, ok := h.rejected[1]; !ok {
		t.Fatal("still held when its aim had passed")
	}
}

// Guards against sent after its wait with about the usual time left,
// every other request times out at servers that have lost capacity.
func TestQueuedRequestIsRejectedWhenTooLateToStart(t *testing.T) {
	b, h := start(t, testConfig(), nil)
	submit(b, 0, 1, idempotentClass) // an aim of 1 s, answers usually take 125 ms
	b.TimerFired(740 * ms)
	if len(h.rejected) != 0 {
		t.Fatal("refused with over twice the usual time left")
	}
	b.UpdateEndpoints(760*ms, FullUpdate, ready(1))
	if _, refused := h.rejected[1]; !refused {
		t.Fatalf("sent %v with less than twice the usual time left after a wait", h.sends)
	}
}
