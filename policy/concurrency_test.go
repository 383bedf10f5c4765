package policy

import (
	"testing"
	"time"
)

// Guards against: servers that answer late, slow themselves
// or crowded by others, keep an even part of the attempts.
func TestEndpointLimitFollowsCongestion(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for range 50 {
		b.endpoints.find(1).congestion += (0.8*0.8 - b.endpoints.find(1).congestion) / 8
	}
	if slow, well := b.endpointLimit(b.endpoints.find(1)), b.endpointLimit(b.endpoints.find(2)); slow != 1 || well != 4 {
		t.Fatalf("portions %v and %v, want 1 and 4", slow, well)
	}
}

// Guards against: one attempt each from many balancers chokes small servers,
// and balancers of few slots refuse too much while servers are a bit crowded.
func TestConcurrencyLimitUnderCongestion(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers = 1
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6))
	b.congestion.meanSquare = 0.36 // answers take 0.6 of the aim
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 4 || b.Counters().ConcurrencyLimited != 2 {
		t.Fatalf("%d attempts out of 8 slots, %d held, want 4 and 2 while every server is crowded",
			len(h.sends), b.Counters().ConcurrencyLimited)
	}
	b, h = start(t, cfg, ready(1, 2, 3, 4, 5, 6))
	b.congestion.meanSquare = 0.13 // over the measure of a server, not yet over that of all
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 {
		t.Fatalf("%d attempts out of 6 slots, want all while servers are a bit crowded", len(h.sends))
	}
}

// What the wall holds back for a client that leaves is not sent when the wall opens: not even its place is used.
func TestClientDisconnectsWhileConcurrencyLimited(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers = 1
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6))
	b.congestion.meanSquare = 0.36 // answers take 0.6 of the aim
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	sends, held := len(h.sends), b.Counters().ConcurrencyLimited
	if held == 0 {
		t.Fatal("nothing was held back")
	}
	for id := range RequestID(6) {
		if h.sentFor(id) == 0 {
			b.ClientDisconnected(ms, id)
		}
	}
	b.congestion.meanSquare = 0
	for id := range RequestID(6) {
		if h.sentFor(id) > 0 {
			finish(b, 2*ms, id, 0, Succeeded)
		}
	}
	b.TimerFired(200 * ms)
	if len(h.sends) != sends || len(b.requests) != 0 {
		t.Errorf("%d sends after the clients left, %d requests kept", len(h.sends)-sends, len(b.requests))
	}
}

// Guards against a measure made for one deployment: where answers take half of the aim on servers that nobody
// crowds, that share is no reason to hold requests back. Where it is many times what they take at the least, it is.
func TestUnloadedLatencyIsNoCongestion(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers = 1
	aim := cfg.Classes[idempotentClass].LatencyObjective
	for _, c := range []struct {
		name        string
		least, took time.Duration
		want        int
	}{
		{"long work", aim * 27 / 50, aim * 27 / 50, 6},
		{"a crowd", aim / 9, aim * 2 / 3, 4},
	} {
		b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6))
		now := time.Duration(0)
		answer := func(id RequestID, took time.Duration) {
			submit(b, now, id, idempotentClass)
			now += took
			finish(b, now, id, 0, Succeeded)
		}
		for id := range RequestID(20) {
			answer(100+id, c.least)
		}
		for id := range RequestID(40) {
			answer(200+id, c.took)
		}
		before := len(h.sends)
		for id := range RequestID(6) {
			submit(b, now, id, idempotentClass)
		}
		if sent := len(h.sends) - before; sent != c.want {
			t.Errorf("%s: %d of 6 requests sent, want %d", c.name, sent, c.want)
		}
	}
}

// Guards against a zone cut off (a fresh day of delta-rounds): time-outs of servers known to be strained hold back
// requests for all others.
func TestTimeoutsOfOutliersAreNoCongestion(t *testing.T) {
	for _, strained := range []bool{false, true} {
		b, _ := start(t, testConfig(), ready(1))
		if strained {
			b.endpoints.find(1).relativeLatency = failureLatency
		}
		submit(b, 0, 1, nonIdempotentClass)
		finish(b, time.Second, 1, 0, TimedOut)
		if crowd := b.congestion.meanSquare > 0; crowd == strained {
			t.Errorf("strained %v: a time-out counts as crowding %v", strained, crowd)
		}
	}
}

// Guards against a fleet shrinks, and what is left is handed the portions of what went.
func TestEndpointLimitDoesNotGrowWithRemovals(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.UpdateEndpoints(ms, FullUpdate, ready(1))
	b.HealthChecked(ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: 0})
	for id := range RequestID(6) {
		submit(b, ms, id, idempotentClass)
	}
	if h.sentTo(1) != 2 {
		t.Fatalf("%d of 8 slots at the last of four servers, want its portion of 2", h.sentTo(1))
	}
	// All balancers hold 100/s x 1 s x 0.12 = 12 at the quotas, a fourth of it at one server.
	b.HealthChecked(2*ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: 5})
	if !b.reportsFull(2*ms, &request{}, b.endpoints.find(1)) {
		t.Fatal("the last of four servers may hold more than a fourth and one of the whole fleet's attempts")
	}
}
