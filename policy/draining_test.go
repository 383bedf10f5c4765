package policy

import (
	"slices"
	"testing"
	"time"
)

// An endpoint that drains or is removed stops soon, and whatever is sent to it is lost.
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
				t.Fatalf("%d sent to it, %d to the other; want 0 and 10", h.sentTo(1), h.sentTo(2))
			}
		})
	}
}

// An endpoint that drains waits for its connections to close. Idle ones are closed when it is notified, after each
// attempt that ends later, and once more, as one may be opening just then.
func TestIdleConnectionsToDrainingEndpointsAreClosed(t *testing.T) {
	t.Run("with a timeout", func(t *testing.T) {
		cfg := testConfig()
		cfg.DrainCloseTimeout = 300 * ms
		b, h := start(t, cfg, ready(1))
		submit(b, 0, 1, idempotentClass)
		b.UpdateEndpoints(10*ms, DeltaUpdate, []Endpoint{{ID: 1, State: Draining}})
		if len(h.idleCloses) != 1 {
			t.Fatalf("closed %d times at the update, want once", len(h.idleCloses))
		}
		finish(b, 400*ms, 1, 0, Succeeded)
		if len(h.idleCloses) != 2 {
			t.Fatalf("closed %d times after the outcome, want twice", len(h.idleCloses))
		}
		b.TimerFired(700*ms - 1)
		if len(h.idleCloses) != 3 {
			t.Fatalf("closed %d times within the timeout, want three times", len(h.idleCloses))
		}
	})
	t.Run("without a timeout", func(t *testing.T) {
		b, h := start(t, testConfig(), ready(1))
		b.UpdateEndpoints(10*ms, DeltaUpdate, []Endpoint{{ID: 1, State: Draining}})
		if len(h.idleCloses) != 0 {
			t.Fatalf("closed %d times though no timeout is set, want never", len(h.idleCloses))
		}
	})
}

func TestIdleCloserRepeats(t *testing.T) {
	cfg := testConfig()
	cfg.DrainCloseTimeout = 300 * ms
	b, h := start(t, cfg, ready(1, 2, 3))
	b.endpoints.find(2).State, b.endpoints.find(3).State = Draining, Draining
	b.closeIdle(10*ms, b.endpoints.find(3))
	b.closeIdle(100*ms, b.endpoints.find(2)) // does not postpone what is scheduled
	if got := b.idleCloser.repeatAt; got != 160*ms {
		t.Fatalf("repeats at %v, want half of the timeout after the first", got)
	}
	for _, step := range []struct {
		now    time.Duration
		closed []EndpointID
	}{
		{160*ms - 1, nil},
		{160 * ms, []EndpointID{2, 3}}, // not 1, which is ready
		{170 * ms, nil},                // once
	} {
		h.idleCloses = nil
		b.repeatCloseIdle(step.now)
		if !slices.Equal(h.idleCloses, step.closed) {
			t.Errorf("at %v closed idle connections to %v, want %v", step.now, h.idleCloses, step.closed)
		}
	}
	b.closeIdle(200*ms, b.endpoints.find(2))
	if got := b.idleCloser.repeatAt; got != 350*ms {
		t.Errorf("then repeats at %v, want 350ms", got)
	}
}
