package policy

import (
	"slices"
	"testing"
	"time"
)

// A draining or removed endpoint stops soon, and would not answer a request sent to it.
func TestDrainingEndpointGetsNoAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    UpdateKind
		entries []Endpoint
	}{
		{"draining", DeltaUpdate, []Endpoint{{ID: 1, State: Draining, Weight: 1}}},
		{"removed", DeltaUpdate, []Endpoint{{ID: 1, State: Removed, Weight: 1}}},
		{"absent from a full update", FullUpdate, ready(2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2))
			b.UpdateEndpoints(10*ms, c.kind, c.entries)
			for id := range RequestID(10) {
				submit(b, 10*ms, id, idempotentClass)
				finish(b, 20*ms, id, 0, Succeeded)
			}
			if h.sentTo(1) != 0 || h.sentTo(2) != 10 {
				t.Fatalf("attempts at endpoint 1 = %d, at endpoint 2 = %d, want 0, 10", h.sentTo(1), h.sentTo(2))
			}
		})
	}
}

// A draining endpoint waits until its connections are closed. The balancer has to close idle ones when it is
// notified, after each attempt that ends later, and once more, because a connection may just have been
// opening.
func TestIdleConnectionsToDrainingEndpointsAreClosed(t *testing.T) {
	t.Run("with a timeout", func(t *testing.T) {
		cfg := testConfig()
		cfg.IdleCloseTimeout = 300 * ms
		b, h := start(t, cfg, ready(1))
		submit(b, 0, 1, idempotentClass)
		b.UpdateEndpoints(10*ms, DeltaUpdate, []Endpoint{{ID: 1, State: Draining}})
		if len(h.idleCloses) != 1 {
			t.Fatalf("CloseIdle calls after the update = %d, want 1", len(h.idleCloses))
		}
		finish(b, 400*ms, 1, 0, Succeeded)
		if len(h.idleCloses) != 2 {
			t.Fatalf("CloseIdle calls after the outcome = %d, want 2", len(h.idleCloses))
		}
		b.TimerFired(700*ms - 1)
		if len(h.idleCloses) != 3 {
			t.Fatalf("CloseIdle calls within the timeout = %d, want 3", len(h.idleCloses))
		}
	})
	t.Run("without a timeout", func(t *testing.T) {
		b, h := start(t, testConfig(), ready(1))
		b.UpdateEndpoints(10*ms, DeltaUpdate, []Endpoint{{ID: 1, State: Draining}})
		if len(h.idleCloses) != 0 {
			t.Fatalf("CloseIdle calls without a timeout = %d, want 0", len(h.idleCloses))
		}
	})
}

func TestIdleCloserRepeats(t *testing.T) {
	cfg := testConfig()
	cfg.IdleCloseTimeout = 300 * ms
	b, h := start(t, cfg, ready(1, 2, 3))
	b.endpoints.find(2).State, b.endpoints.find(3).State = Draining, Draining
	b.closeIdle(10*ms, b.endpoints.find(3))
	b.closeIdle(100*ms, b.endpoints.find(2)) // does not postpone the scheduled repetition
	if got := b.idleCloser.repeatAt; got != 160*ms {
		t.Fatalf("repeatAt = %v, want 160ms, half of the timeout after the first call", got)
	}
	for _, step := range []struct {
		now    time.Duration
		closed []EndpointID
	}{
		{160*ms - 1, nil},
		{160 * ms, []EndpointID{2, 3}}, // not 1, which is ready
		{170 * ms, nil},                // only once
	} {
		h.idleCloses = nil
		b.repeatCloseIdle(step.now)
		if !slices.Equal(h.idleCloses, step.closed) {
			t.Errorf("at %v: idle connections closed to %v, want %v", step.now, h.idleCloses, step.closed)
		}
	}
	b.closeIdle(200*ms, b.endpoints.find(2))
	if got := b.idleCloser.repeatAt; got != 350*ms {
		t.Errorf("repeatAt after another call = %v, want 350ms", got)
	}
}
