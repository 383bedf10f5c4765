package policy

import (
	"testing"
	"time"
)

// A host passes on invalid input: requests with an unknown class or tenant or without time left, and outcomes
// that are repeated or belong to no attempt. If these changed the number of attempts in flight, slots would
// leak.
func TestInvalidEventsAreIgnored(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	b.Request(0, Request{ID: 1, Class: 99, Timeout: time.Second})
	b.Request(0, Request{ID: 2, Class: -1, Timeout: time.Second})
	b.Request(0, Request{ID: 3, Tenant: 7, Timeout: time.Second})
	b.Request(0, Request{ID: 4, Timeout: 0})
	b.Request(0, Request{ID: 5, Timeout: -time.Second})
	if len(h.rejected) != 5 || len(h.sends) != 0 {
		t.Fatalf("%d invalid requests rejected, %d sent; want 5 and 0", len(h.rejected), len(h.sends))
	}
	submit(b, 0, 6, idempotentClass)
	submit(b, 0, 6, idempotentClass) // an ID in use
	finish(b, 0, 6, 3, Succeeded)
	finish(b, 0, 6, -1, Succeeded)
	finish(b, 0, 77, 0, Succeeded)
	b.ClientDisconnected(0, 77)
	b.StreamStarted(77)
	if len(h.sends) != 1 || b.FreeSlots(0) != 5 {
		t.Fatalf("%d sends, %d free slots after invalid outcomes; want 1 and 5", len(h.sends), b.FreeSlots(0))
	}
	finish(b, ms, 6, 0, Succeeded)
	finish(b, ms, 6, 0, Succeeded) // repeated
	if b.FreeSlots(0) != 6 {
		t.Fatalf("%d free slots after a repeated outcome, want 6", b.FreeSlots(0))
	}
}

// When a client disconnects, its attempt is cancelled. The slot stays in use until the attempt has ended, as
// the endpoint may be processing it until then.
func TestClientDisconnectedFreesSlot(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	submit(b, 0, 1, idempotentClass)
	b.ClientDisconnected(ms, 1)
	if len(h.cancelled) != 1 || b.FreeSlots(0) != 5 {
		t.Fatalf("%d attempts cancelled, %d free slots while the attempt is in flight; want 1 and 5",
			len(h.cancelled), b.FreeSlots(0))
	}
	finish(b, 2*ms, 1, 0, Cancelled)
	if len(h.rejected)+len(h.failed) != 0 || len(b.requests) != 0 || b.FreeSlots(0) != 6 {
		t.Fatalf("%d answers, %d registered requests, %d free slots after the outcome; want 0, 0 and 6",
			len(h.rejected)+len(h.failed), len(b.requests), b.FreeSlots(0))
	}
}

// A response that has started to reach its client must not be cut short or followed by another answer,
// however long it takes.
func TestStreamingRequestIsNotAnswered(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	submit(b, 0, 1, idempotentClass)
	b.StreamStarted(1)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if len(h.rejected)+len(h.failed)+len(h.cancelled) != 0 || len(h.sends) != 1 {
		t.Fatal("streaming request was answered, cancelled or sent again")
	}
	b.Outcome(11*time.Second, Outcome{RequestID: 1, Result: ConnectionLost, Answered: true})
	if len(b.requests) != 0 {
		t.Fatal("request still registered after its stream has ended")
	}
}

// A sidecar runs for weeks: state of finished requests and removed endpoints must not accumulate in memory.
func TestMemoryStaysBounded(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(20000) {
		now := time.Duration(id) * 5 * ms
		submit(b, now, id, idempotentClass)
		switch id % 3 {
		case 0:
			finish(b, now+ms, id, 0, Succeeded)
		case 1:
			b.ClientDisconnected(now+ms, id)
			finish(b, now+2*ms, id, 0, Cancelled)
		case 2:
			finish(b, now+ms, id, 0, ConnectionLost)
			finish(b, now+2*ms, id, 1, Succeeded)
		}
		if id%100 == 0 {
			b.UpdateEndpoints(now, DeltaUpdate, []Endpoint{{ID: EndpointID(1000 + id), State: Ready, Weight: 1}})
			b.UpdateEndpoints(now, DeltaUpdate, []Endpoint{{ID: EndpointID(1000 + id), State: Removed}})
		}
		b.TimerFired(now + 3*ms)
	}
	b.TimerFired(time.Hour)
	// Some requests remain: their second attempt is sent after a wait, later than the outcome that the test
	// reports for it.
	if len(b.requests) > 20 || len(b.openRequests) > 3 || len(b.endpoints.all) != 2 || cap(b.openRequests) > 100 {
		t.Fatalf("%d requests, %d open (capacity %d), %d endpoints; want at most 20, 3 (100), and 2",
			len(b.requests), len(b.openRequests), cap(b.openRequests), len(b.endpoints.all))
	}
}
