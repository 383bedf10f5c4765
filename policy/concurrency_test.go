package policy

import (
	"math"
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
	if !b.fullByReport(2*ms, &request{}, b.endpoints.find(1)) {
		t.Fatal("the last of four endpoints is not full at more than a fourth of the fleet's attempts and the headroom")
	}
}

func TestUnloadedLatency(t *testing.T) {
	for _, c := range []struct {
		name        string
		latencies   []time.Duration // of an objective of 1 s
		min         time.Duration
		minFraction float64
	}{
		{"too few responses", []time.Duration{100 * ms, 200 * ms, 300 * ms}, 0, 0},
		{"mean of four", []time.Duration{100 * ms, 200 * ms, 300 * ms, 400 * ms}, 250 * ms, 0.25},
		{"lower mean", []time.Duration{100 * ms, 200 * ms, 300 * ms, 400 * ms, 50 * ms}, 200 * ms, 0.2},
		{"drifts up slowly", []time.Duration{100 * ms, 200 * ms, 300 * ms, 400 * ms, 50 * ms, time.Second},
			200*ms + 200*ms/2048, 0.2 + 0.2/2048},
	} {
		t.Run(c.name, func(t *testing.T) {
			var u unloadedLatency
			for _, latency := range c.latencies {
				u.observe(latency, latency.Seconds())
			}
			if u.min != c.min || math.Abs(u.minFraction-c.minFraction) > 1e-9 {
				t.Errorf("lowest mean %v, %v of the objective; want %v and %v", u.min, u.minFraction, c.min, c.minFraction)
			}
		})
	}
}

func TestCongestionGain(t *testing.T) {
	for _, c := range []struct {
		name  string
		since time.Duration // the sample before
		want  float64       // after a sample of 1 on a mean of 0
	}{
		{"frequent samples", 100 * ms, 1.0 / 16},
		{"every two seconds", 2 * time.Second, 0.2},
		{"rare samples", 20 * time.Second, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := congestion{observedAt: time.Minute}
			m.observe(time.Minute+c.since, 1)
			if math.Abs(m.meanSquare-c.want) > 1e-9 || m.observedAt != time.Minute+c.since {
				t.Errorf("mean %v at %v, want %v at %v", m.meanSquare, m.observedAt, c.want, time.Minute+c.since)
			}
		})
	}
}

func TestLimitFraction(t *testing.T) {
	for _, c := range []struct {
		name       string
		endpoints  int // for 16 slots of two balancers, at a quota of 100 requests per second
		unloaded   unloadedLatency
		meanSquare float64
		want       float64
	}{
		{"no congestion", 10, unloadedLatency{}, 0, 1},
		{"at the threshold", 10, unloadedLatency{}, 0.09, 1},
		{"twice the threshold", 10, unloadedLatency{}, 0.18, 0.5},
		{"threshold by the unloaded latency", 10, unloadedLatency{minFraction: 0.13}, 2 * 8 * 0.13 * 0.13, 0.5},
		{"highest threshold", 10, unloadedLatency{minFraction: 0.4}, 2 * 0.42 * 0.42, 0.5},
		{"more slots than endpoints bear", 2, unloadedLatency{}, 0.09, 2 * 1.7 / 16},
		{"endpoints bear more by the quota", 2, unloadedLatency{min: 100 * ms}, 0.09, 2 * 1.5 * 5 / 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			var list []Endpoint
			for id := range c.endpoints {
				list = append(list, ready(EndpointID(id+1))...)
			}
			b, _ := start(t, testConfig(), list)
			b.unloaded = c.unloaded
			if got := b.limitFraction(c.meanSquare); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("fraction %v, want %v", got, c.want)
			}
		})
	}
}
