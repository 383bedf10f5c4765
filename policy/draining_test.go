package policy

import (
	"testing"
)

func TestDrainingEndpointGetsNoAttempts(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		b, h := start(t, testConfig(), ready(1, 2))
		b.UpdateEndpoints(10*ms, DeltaUpdate, []Endpoint{{ID: 1, State: state, Weight: 1}})
		for id := range RequestID(10) {
			submit(b, 10*ms, id, idempotentClass)
			finish(b, 20*ms, id, 0, Succeeded)
		}
		if h.sentTo(1) != 0 || h.sentTo(2) != 10 {
			t.Fatalf("state %v: sent %d to it", state, h.sentTo(1))
		}
	}
	b, h := start(t, testConfig(), ready(1, 2))
	b.UpdateEndpoints(10*ms, FullUpdate, ready(2)) // absent from a full list
	for id := range RequestID(4) {
		submit(b, 10*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 {
		t.Fatal("sent to a server that left the full list")
	}
}

// Rule 7: idle connections are closed at the notice, after each later outcome, and once more.
func TestIdleConnectionsToDrainingEndpointsAreClosed(t *testing.T) {
	cfg := testConfig()
	cfg.DrainCloseTimeout = 300 * ms
	b, h := start(t, cfg, ready(1))
	submit(b, 0, 1, idempotentClass)
	b.UpdateEndpoints(10*ms, DeltaUpdate, []Endpoint{{ID: 1, State: Draining}})
	if len(h.idleCloses) != 1 {
		t.Fatalf("%d closes at the notice", len(h.idleCloses))
	}
	finish(b, 400*ms, 1, 0, Succeeded)
	if len(h.idleCloses) != 2 {
		t.Fatalf("%d closes after the outcome", len(h.idleCloses))
	}
	b.TimerFired(700*ms - 1)
	if len(h.idleCloses) != 3 {
		t.Fatalf("%d closes within the time", len(h.idleCloses))
	}
	b, h = start(t, testConfig(), ready(1))
	b.UpdateEndpoints(10*ms, DeltaUpdate, []Endpoint{{ID: 1, State: Draining}})
	if len(h.idleCloses) != 0 {
		t.Fatal("closed though no time is set")
	}
}
