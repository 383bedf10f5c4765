package policy

import (
	"slices"
	"testing"
	"time"
)

// orderedConfig has one class, whose requests of one key run in order.
func orderedConfig(delay time.Duration) Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1]
	cfg.Classes[0].OrderedByKey, cfg.OrderingDelay, cfg.Slots = true, delay, 20
	return cfg
}

// sentRequestIDs returns the request of each attempt, in order.
func sentRequestIDs(h *fakeHost) (ids []RequestID) {
	for _, s := range h.sends {
		ids = append(ids, s.id)
	}
	return ids
}

// Two updates of one record that run at the same time, or in the wrong order, lose one of them. So requests of one key
// run one at a time in order of arrival, also behind an attempt that was cancelled and may still be running. Requests
// of other keys, or of none, do not wait for them.
func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	b, h := start(t, orderedConfig(100*ms), ready(1, 2, 3))
	for id := range RequestID(3) {
		b.Request(0, Request{ID: id, Key: 9, Timeout: 2 * time.Second})
	}
	b.Request(0, Request{ID: 3, Key: 8, Timeout: 2 * time.Second})
	b.Request(0, Request{ID: 4, Timeout: 2 * time.Second})
	if got := sentRequestIDs(h); !slices.Equal(got, []RequestID{0, 3, 4}) {
		t.Fatalf("sent %v, want the first of each key", got)
	}
	finish(b, 10*ms, 0, 0, Rejected) // its own retry is not delayed, and nothing overtakes it
	finish(b, 20*ms, 0, 1, Succeeded)
	if got := sentRequestIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1}) {
		t.Fatalf("sent %v, want a retry of 0 and then 1", got)
	}
	b.ClientDisconnected(30*ms, 1)
	b.TimerFired(40 * ms)
	if got := sentRequestIDs(h); len(got) != 5 {
		t.Fatalf("sent %v though the attempt of 1 is still in flight", got)
	}
	finish(b, 50*ms, 1, 0, Cancelled)
	b.TimerFired(140 * ms)
	if got := sentRequestIDs(h); len(got) != 5 {
		t.Fatalf("sent %v though the cancelled attempt may still be running", got)
	}
	b.TimerFired(160 * ms)
	if got := sentRequestIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1, 2}) {
		t.Fatalf("sent %v, want 2 after the ordering delay", got)
	}
}

// A request that waits for its key at the front of a queue must not block the requests behind it.
func TestOneKeyDoesNotBlockOthers(t *testing.T) {
	cfg := orderedConfig(0)
	cfg.Tenants, cfg.Slots = nil, 10 // a queue of 2
	b, h := start(t, cfg, ready(1, 2))
	for id := range RequestID(2) {
		b.Request(0, Request{ID: id, Key: 9, Timeout: 2 * time.Second})
	}
	for id := RequestID(2); b.Counters().Queued < 2; id++ {
		b.Request(0, Request{ID: id, Timeout: 2 * time.Second})
	}
	n := len(h.sends)
	finish(b, ms, h.sends[n-1].id, 0, Succeeded)
	if len(h.sends) != n+1 || h.sends[n].id == 1 {
		t.Fatalf("sends %+v, want the request behind the one that waits for its key", h.sends[n:])
	}
}
