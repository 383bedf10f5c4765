package policy

import (
	"testing"
	"time"
)

// Guards against work for answers that earn nothing: a client that asks again at once has as much time for
// this try as for the first, but not for the answer. Others' repeats and first tries are not its own.
func TestClientRetryIsLateByItsFirstTry(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries, cfg.MaxAttempts = true, 1
	b, h := start(t, cfg, ready(1, 2))
	b.congestion.meanSquare = 4 // crowded: what is late is refused
	try := func(now time.Duration, id RequestID, key uint64, repeat bool) (sent bool) {
		n := len(h.sends)
		b.Request(now, Request{ID: id, Class: idempotentClass, Key: key, Timeout: 2 * time.Second, ClientRetry: repeat})
		return len(h.sends) > n
	}
	if !try(0, 1, 7, false) {
		t.Fatal("the first try was not sent")
	}
	finish(b, 950*ms, 1, 0, TimedOut) // the aim is a second
	resetAdmission(b)
	if !try(951*ms, 2, 8, true) {
		t.Error("a repeat of something else was taken for late")
	}
	finish(b, 960*ms, 2, 0, Succeeded)
	if !try(961*ms, 3, 7, false) {
		t.Error("a first try was taken for late")
	}
	finish(b, 970*ms, 3, 0, Succeeded)
	b.congestion.meanSquare = 4
	if try(971*ms, 4, 7, true) || b.Counters().ExpiredRetries != 1 {
		t.Errorf("a repeat whose aim is as good as gone was sent, late %d", b.Counters().ExpiredRetries)
	}
	if now := 4 * time.Second; !try(now, 5, 7, true) {
		t.Error("what was given up long ago still makes repeats late")
	}
	if len(b.clientRetries.abandoned) > 1 {
		t.Errorf("%d requests given up long ago are still remembered", len(b.clientRetries.abandoned))
	}
}

// Guards against admission that never comes back: the room that answers in time earn goes to repeats that are
// too late to earn any, and nothing is left to grow by.
func TestExpiredRetriesTakeNoAdmission(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, ready(1, 2))
	b.congestion.meanSquare = 4
	before := classDemand{priority: b.classes[idempotentClass].PriorityWeight, offered: 40, goodput: 1}
	b.admission.demand[idempotentClass] = before
	for id := range RequestID(50) {
		b.clientRetries.abandoned = append(b.clientRetries.abandoned, abandonedRequest{&b.classes[idempotentClass], &b.bulkheads.all[0], 7, 0, 2 * time.Second})
		b.Request(2*time.Second, Request{ID: id, Class: idempotentClass, Key: 7, Timeout: 2 * time.Second, ClientRetry: true})
	}
	if c := b.Counters(); c.ExpiredRetries != 50 || c.Shed != 0 || len(h.rejected) != 50 {
		t.Errorf("%d of 50 refused at once as late, %d throttled", c.ExpiredRetries, c.Shed)
	}
	if got := b.admission.demand[idempotentClass]; got != before {
		t.Errorf("admission counts %+v, want %+v as before", got, before)
	}
}

// What is remembered of requests given up is bounded.
func TestAbandonedRequestsAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, _ := start(t, cfg, nil)
	for id := range RequestID(3 * maxAbandoned) {
		b.Request(0, Request{ID: id, Class: idempotentClass, Key: uint64(id) + 1, Timeout: time.Second})
	}
	if n := len(b.clientRetries.abandoned); n > maxAbandoned || n < maxAbandoned/2 {
		t.Fatalf("%d remembered, want at most %d", n, maxAbandoned)
	}
}
