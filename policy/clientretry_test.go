package policy

import (
	"testing"
	"time"
)

// A client that retries at once sends its retry with the same timeout as its first try, but the latency
// objective counts from the first try. Balancers took such retries for first tries and spent endpoints' work
// on responses without value. Retries of another key, and first tries of the same key, are not late.
func TestClientRetryObjectiveCountsFromFirstTry(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries, cfg.MaxAttempts = true, 1
	b, h := start(t, cfg, ready(1, 2))
	b.congestion.meanSquare = 4 // under congestion, late requests are rejected
	isSent := func(now time.Duration, id RequestID, key uint64, clientRetry bool) bool {
		before := len(h.sends)
		b.Request(now, Request{ID: id, Class: idempotentClass, Key: key, Timeout: 2 * time.Second, ClientRetry: clientRetry})
		return len(h.sends) > before
	}
	if !isSent(0, 1, 7, false) {
		t.Fatal("first try was not sent")
	}
	finish(b, 950*ms, 1, 0, TimedOut) // the latency objective is 1 s
	resetAdmission(b)
	if !isSent(951*ms, 2, 8, true) {
		t.Error("client retry of another key was rejected as late")
	}
	finish(b, 960*ms, 2, 0, Succeeded)
	if !isSent(961*ms, 3, 7, false) {
		t.Error("first try was rejected as late")
	}
	finish(b, 970*ms, 3, 0, Succeeded)
	b.congestion.meanSquare = 4
	if isSent(971*ms, 4, 7, true) || b.Counters().LateRejected != 1 {
		t.Errorf("late client retry was sent or not counted: LateRejected = %d, want 1",
			b.Counters().LateRejected)
	}
	if now := 4 * time.Second; !isSent(now, 5, 7, true) {
		t.Error("client retry was rejected as late because of a request that ended long ago")
	}
	if len(b.clientRetries.unserved) > 1 {
		t.Errorf("%d unserved requests, including some that ended long ago; want at most 1", len(b.clientRetries.unserved))
	}
}

// After a fault, admission did not recover: late client retries counted as offered and used up the admitted
// amount that timely responses had earned, so it could not grow.
func TestLateClientRetriesAreNotCountedAsOffered(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, ready(1, 2))
	b.congestion.meanSquare = 4
	before := classDemand{priority: b.classes[idempotentClass].PriorityWeight, offered: 40, goodput: 1}
	b.admission.demand[idempotentClass] = before
	for id := range RequestID(50) {
		b.clientRetries.unserved = append(b.clientRetries.unserved,
			unservedRequest{&b.classes[idempotentClass], &b.bulkheads.byTenant[0], 7, 0, 2 * time.Second})
		b.Request(2*time.Second, Request{ID: id, Class: idempotentClass, Key: 7, Timeout: 2 * time.Second, ClientRetry: true})
	}
	if c := b.Counters(); c.LateRejected != 50 || c.Shed != 0 || len(h.rejected) != 50 {
		t.Errorf("LateRejected = %d, Shed = %d, %d rejected; want 50, 0 and 50", c.LateRejected, c.Shed, len(h.rejected))
	}
	if got := b.admission.demand[idempotentClass]; got != before {
		t.Errorf("admission demand = %+v, want %+v as before", got, before)
	}
}

// In a long outage, no request is served. The records of unserved requests must not grow without bound.
func TestUnservedRequestsAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, _ := start(t, cfg, nil)
	for id := range RequestID(3 * maxUnserved) {
		b.Request(0, Request{ID: id, Class: idempotentClass, Key: uint64(id) + 1, Timeout: time.Second})
	}
	if n := len(b.clientRetries.unserved); n > maxUnserved || n < maxUnserved/2 {
		t.Fatalf("%d unserved requests, want %d to %d", n, maxUnserved/2, maxUnserved)
	}
}

func TestFirstTryStart(t *testing.T) {
	short, long := &class{Class: Class{Deadline: time.Second}}, &class{Class: Class{Deadline: 3 * time.Second}}
	tenant, otherTenant := new(bulkhead), new(bulkhead)
	const startedAt, unservedAt = 10 * time.Second, 11 * time.Second
	for _, c := range []struct {
		name      string
		retry     request
		after     time.Duration // time since the first request was rejected or failed
		found     bool
		remaining int // unserved requests left in the record
	}{
		{"same request", request{class: long, bulkhead: tenant, key: 7}, ms, true, 0},
		{"other class", request{class: short, bulkhead: tenant, key: 7}, ms, false, 1},
		{"other tenant", request{class: long, bulkhead: otherTenant, key: 7}, ms, false, 1},
		{"other key", request{class: long, bulkhead: tenant, key: 8}, ms, false, 1},
		{"at the deadline", request{class: long, bulkhead: tenant, key: 7}, 3 * time.Second, true, 0},
		{"after the deadline", request{class: long, bulkhead: tenant, key: 7}, 3*time.Second + 1, false, 0},
		{"after the deadline of its class only", request{class: short, bulkhead: tenant, key: 7}, 2 * time.Second, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			retries := clientRetries{maxDeadline: 3 * time.Second}
			retries.record(unservedAt, &request{class: long, bulkhead: tenant, key: 7, firstTryAt: startedAt})
			now := unservedAt + c.after
			want := now
			if c.found {
				want = startedAt
			}
			if got := retries.firstTryStart(now, &c.retry); got != want {
				t.Errorf("firstTryStart = %v, want %v", got, want)
			}
			if n := len(retries.unserved); n != c.remaining {
				t.Errorf("%d unserved requests left, want %d", n, c.remaining)
			}
		})
	}
}

// Most clients retry at once, so a retry belongs to the latest matching request. Each request has one retry.
func TestFirstTryOfLatestUnservedRequest(t *testing.T) {
	retries := clientRetries{maxDeadline: 3 * time.Second}
	r := &request{class: &class{Class: Class{Deadline: 3 * time.Second}}, bulkhead: new(bulkhead), key: 7}
	for _, at := range []time.Duration{1 * time.Second, 2 * time.Second} {
		r.firstTryAt = at
		retries.record(at+100*ms, r)
	}
	const now = 2500 * ms
	for _, want := range []time.Duration{2 * time.Second, 1 * time.Second, now} {
		if got := retries.firstTryStart(now, r); got != want {
			t.Fatalf("firstTryStart = %v, want %v", got, want)
		}
	}
}

// If there are too many unserved requests, the older half is dropped.
func TestOldestUnservedRequestsAreDropped(t *testing.T) {
	var retries clientRetries
	for key := range uint64(2049) {
		retries.record(0, &request{key: key})
	}
	if n := len(retries.unserved); n != 1025 {
		t.Fatalf("%d unserved requests, want 1024 and the latest", n)
	}
	if first, last := retries.unserved[0].key, retries.unserved[1024].key; first != 1024 || last != 2048 {
		t.Errorf("keys = %d to %d, want 1024 to 2048", first, last)
	}
}
