package policy

import (
	"testing"
	"time"
)

// Endpoints that respond late, because they are slow or others overload them, got as many attempts at a time as the
// others. Their limit has to shrink with their own congestion.
func TestEndpointLimitFollowsCongestion(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for range 50 {
		b.endpoints.find(1).congestion += (0.8*0.8 - b.endpoints.find(1).congestion) / 8
	}
	slow, well := b.endpointLimit(b.endpoints.find(1)), b.endpointLimit(b.endpoints.find(2))
	if slow != 1 || well != 4 {
		t.Fatalf("limits %v of the slow endpoint and %v of the other, want 1 and 4", slow, well)
	}
}

// One attempt each of many balancers is enough to overload small endpoints, so under congestion of all endpoints the
// whole balancer has to send less. A balancer of few slots must not reject requests for a little congestion, though.
func TestConcurrencyLimitUnderCongestion(t *testing.T) {
	for _, c := range []struct {
		name       string
		meanSquare float64
		sends      int
		limited    uint64
	}{
		{"latency of 0.6 objectives", 0.36, 4, 2},
		{"over the threshold of an endpoint, below that of all", 0.13, 6, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Balancers = 1
			b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6))
			b.congestion.meanSquare = c.meanSquare
			for id := range RequestID(6) {
				submit(b, 0, id, idempotentClass)
			}
			if len(h.sends) != c.sends || b.Counters().ConcurrencyLimited != c.limited {
				t.Fatalf("%d attempts in 8 slots, %d limited; want %d and %d",
					len(h.sends), b.Counters().ConcurrencyLimited, c.sends, c.limited)
			}
		})
	}
}

// A client disconnects while the concurrency limit has its request wait. It must not be sent when the limit rises
// again: the response would be of no use to anybody.
func TestClientDisconnectsWhileConcurrencyLimited(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers = 1
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6))
	b.congestion.meanSquare = 0.36 // latencies of 0.6 objectives
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	sends := len(h.sends)
	if b.Counters().ConcurrencyLimited == 0 {
		t.Fatal("the concurrency limit had no request wait")
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
		t.Errorf("%d sends after the clients disconnected, %d requests remain; want none", len(h.sends)-sends, len(b.requests))
	}
}

// The threshold of congestion was made for one deployment. In another, responses took half of the latency objective on
// idle endpoints, and requests were held back without a reason. A latency counts as congestion only where it is many
// times the lowest one.
func TestUnloadedLatencyIsNoCongestion(t *testing.T) {
	objective := testConfig().Classes[idempotentClass].LatencyObjective
	for _, c := range []struct {
		name              string
		unloaded, current time.Duration
		sends             int
	}{
		{"long work", objective * 27 / 50, objective * 27 / 50, 6},
		{"congestion", objective / 9, objective * 2 / 3, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Balancers = 1
			b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6))
			now := time.Duration(0)
			respond := func(id RequestID, latency time.Duration) {
				submit(b, now, id, idempotentClass)
				now += latency
				finish(b, now, id, 0, Succeeded)
			}
			for id := range RequestID(20) {
				respond(100+id, c.unloaded)
			}
			for id := range RequestID(40) {
				respond(200+id, c.current)
			}
			before := len(h.sends)
			for id := range RequestID(6) {
				submit(b, now, id, idempotentClass)
			}
			if sends := len(h.sends) - before; sends != c.sends {
				t.Errorf("%d of 6 requests sent, want %d", sends, c.sends)
			}
		})
	}
}

// When a zone was cut off, the timeouts of its endpoints, outliers by then, lowered the concurrency limit, and requests
// for all other endpoints had to wait. Only timeouts of endpoints that were well before tell of congestion.
func TestTimeoutsOfOutliersAreNoCongestion(t *testing.T) {
	for _, c := range []struct {
		name            string
		relativeLatency float64
		congested       bool
	}{
		{"endpoint that was well", 1, true},
		{"outlier", failureLatency, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, _ := start(t, testConfig(), ready(1))
			b.endpoints.find(1).relativeLatency = c.relativeLatency
			submit(b, 0, 1, nonIdempotentClass)
			finish(b, time.Second, 1, 0, TimedOut)
			if congested := b.congestion.meanSquare > 0; congested != c.congested {
				t.Errorf("a timeout counts as congestion: %v, want %v", congested, c.congested)
			}
		})
	}
}

// Endpoints leave or fail one after the other. If those that remain took over their parts of the slots, each would be
// overloaded in turn.
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
		t.Fatalf("%d of 8 slots used at the last of four endpoints, want its part of 2", h.sentTo(1))
	}
	// At the quotas, all balancers have 100/s x 1 s x 0.12 = 12 attempts in flight, a fourth of it at one endpoint.
	b.HealthChecked(2*ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: 5})
	if !b.reportsFull(2*ms, &request{}, b.endpoints.find(1)) {
		t.Fatal("the last of four endpoints is not full at more than a fourth of the fleet's attempts and the headroom")
	}
}
