package policy

import (
	"slices"
	"testing"
	"time"
)

// orderedConfig is a config with one class whose keys go in turn.
func orderedConfig(settle time.Duration) Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1]
	cfg.Classes[0].OrderedByKey, cfg.OrderingDelay, cfg.Slots = true, settle, 20
	return cfg
}

// Rule 5: one at a time for a key, in order of arrival; other keys and keyless requests go on.
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
	finish(b, 10*ms, 0, 0, Rejected) // its own further try is not delayed, and nothing passes it
	finish(b, 20*ms, 0, 1, Succeeded)
	if got := sentRequestIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1}) {
		t.Fatalf("sent %v, want 0 again and then 1", got)
	}
	b.ClientDisconnected(30*ms, 1)
	b.TimerFired(40 * ms)
	if got := sentRequestIDs(h); len(got) != 5 {
		t.Fatalf("sent %v though the attempt of 1 is still out", got)
	}
	finish(b, 50*ms, 1, 0, Cancelled)
	b.TimerFired(140 * ms)
	if got := sentRequestIDs(h); len(got) != 5 {
		t.Fatalf("sent %v though the cancelled attempt may still run", got)
	}
	b.TimerFired(160 * ms)
	if got := sentRequestIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1, 2}) {
		t.Fatalf("sent %v, want 2 once the key has rested", got)
	}
}

// Guards against: what waits for its key holds up the queue behind it.
func TestOneKeyDoesNotBlockOthers(t *testing.T) {
	cfg := orderedConfig(0)
	cfg.Tenants, cfg.Slots = nil, 10 // two queue places
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
		t.Fatalf("sends %+v, want the one behind the key", h.sends[n:])
	}
}

func sentRequestIDs(h *fakeHost) (ids []RequestID) {
	for _, s := range h.sends {
		ids = append(ids, s.id)
	}
	return ids
}
