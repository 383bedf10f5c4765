package policy

import (
	"slices"
	"testing"
	"time"
)

// orderedConfig returns a configuration with one class, whose requests of one key run in order.
func orderedConfig(delay time.Duration) Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:1]
	cfg.Classes[0].OrderedByKey, cfg.OrderingDelay, cfg.Slots = true, delay, 20
	return cfg
}

// sentRequestIDs returns the request ID of each attempt, in order of sending.
func sentRequestIDs(h *fakeHost) (ids []RequestID) {
	for _, s := range h.sends {
		ids = append(ids, s.id)
	}
	return ids
}

// If two updates of one record run at the same time or in the wrong order, one of them is lost. So requests
// of one key run one at a time in order of arrival, even after an attempt that was cancelled and may still be
// running. Requests of other keys, or without a key, do not wait for them.
func TestRequestsOfOneKeyRunInOrder(t *testing.T) {
	b, h := start(t, orderedConfig(100*ms), ready(1, 2, 3))
	for id := range RequestID(3) {
		b.Request(0, Request{ID: id, Key: 9, Timeout: 2 * time.Second})
	}
	b.Request(0, Request{ID: 3, Key: 8, Timeout: 2 * time.Second})
	b.Request(0, Request{ID: 4, Timeout: 2 * time.Second})
	if got := sentRequestIDs(h); !slices.Equal(got, []RequestID{0, 3, 4}) {
		t.Fatalf("sent = %v, want the first request of each key", got)
	}
	finish(b, 10*ms, 0, 0, Rejected) // the retry is sent at once, and before the next request of the key
	finish(b, 20*ms, 0, 1, Succeeded)
	if got := sentRequestIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1}) {
		t.Fatalf("sent = %v, want a retry of 0 and then 1", got)
	}
	b.ClientDisconnected(30*ms, 1)
	b.TimerFired(40 * ms)
	if got := sentRequestIDs(h); len(got) != 5 {
		t.Fatalf("sent = %v, want nothing new while the attempt of 1 is in flight", got)
	}
	finish(b, 50*ms, 1, 0, Cancelled)
	b.TimerFired(140 * ms)
	if got := sentRequestIDs(h); len(got) != 5 {
		t.Fatalf("sent = %v, want nothing new while the cancelled attempt may still be running", got)
	}
	b.TimerFired(160 * ms)
	if got := sentRequestIDs(h); !slices.Equal(got, []RequestID{0, 3, 4, 0, 1, 2}) {
		t.Fatalf("sent = %v, want 2 after the ordering delay", got)
	}
}

// A request that waits for its key at the front of a queue must not block the requests behind it.
func TestOneKeyDoesNotBlockOthers(t *testing.T) {
	cfg := orderedConfig(0)
	cfg.Tenants, cfg.Slots = nil, 10 // queue of 2
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
		t.Fatalf("sends = %+v, want the request behind the one that waits for its key", h.sends[n:])
	}
}

func TestKeyIsBlockedAfterAttemptsThatMayBeRunning(t *testing.T) {
	const now, delay = time.Second, 50 * ms
	for _, c := range []struct {
		name   string
		result Result
		before time.Duration // blockedUntil before the attempt ended
		want   time.Duration
	}{
		{"succeeded", Succeeded, 0, 0},
		{"server error", ServerError, 0, 0},
		{"rejected", Rejected, 0, 0},
		{"connect failed", ConnectFailed, 0, 0},
		{"not sent", NotSent, 0, 0},
		{"timed out", TimedOut, 0, now + delay},
		{"connection lost", ConnectionLost, 0, now + delay},
		{"cancelled", Cancelled, 0, now + delay},
		{"blocked for longer already", Cancelled, 2 * time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := keyOrdering{delay: delay}
			r := &request{keyQueue: &keyQueue{blockedUntil: c.before}}
			o.attemptEnded(now, r, c.result)
			if got := r.keyQueue.blockedUntil; got != c.want {
				t.Errorf("blockedUntil = %v, want %v", got, c.want)
			}
		})
	}
}

func TestFirstOfKey(t *testing.T) {
	const now = time.Second
	for _, c := range []struct {
		name         string
		behind       bool // another request of the key is first
		attempts     int
		blockedUntil time.Duration
		want         bool
	}{
		{"first", false, 0, 0, true},
		{"behind another", true, 0, 0, false},
		{"blocked", false, 0, now + 1, false},
		{"no longer blocked", false, 0, now, true},
		{"own retry while blocked", false, 1, now + 1, true},
		{"own retry behind another", true, 1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := keyOrdering{queues: map[uint64]*keyQueue{}}
			if c.behind {
				o.join(now, &request{key: 9}, 0)
			}
			r := &request{key: 9, attempts: make([]attempt, c.attempts)}
			o.join(now, r, 0)
			r.keyQueue.blockedUntil = c.blockedUntil
			if got := r.firstOfKey(now); got != c.want {
				t.Errorf("firstOfKey = %v, want %v", got, c.want)
			}
		})
	}
	t.Run("without a key queue", func(t *testing.T) {
		if !new(request).firstOfKey(now) {
			t.Error("firstOfKey = false for a request without a key queue, want true")
		}
	})
}

// The queues of keys that are no longer in use must not accumulate in memory. A queue that is blocked or has
// requests is kept, as the order of its key would be lost without it.
func TestUnusedKeyQueuesAreRemoved(t *testing.T) {
	const now = time.Second
	for _, c := range []struct {
		name                 string
		queues, openRequests int
		remaining            int
	}{
		{"few queues", 64, 0, 65},
		{"many queues", 65, 0, 3},
		{"many requests", 66, 1, 67},
		{"more queues than twice the requests", 67, 1, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := keyOrdering{queues: map[uint64]*keyQueue{}}
			for key := range uint64(c.queues) {
				o.queues[key+100] = &keyQueue{blockedUntil: now} // no longer blocked
			}
			o.queues[100].blockedUntil = now + 1
			o.queues[101].requests = []*request{{}}
			o.join(now, &request{key: 1}, c.openRequests)
			if len(o.queues) != c.remaining || o.queues[100] == nil || o.queues[101] == nil {
				t.Errorf("%d queues left, blocked one kept = %v, one with a request kept = %v; want %d and both kept",
					len(o.queues), o.queues[100] != nil, o.queues[101] != nil, c.remaining)
			}
		})
	}
}
