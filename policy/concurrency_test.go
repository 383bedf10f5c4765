package policy

import (
	"math"
	"testing"
	"time"
)

// An endpoint may respond late because it is slow or because other balancers overload it. If its limit did
// not shrink with its own congestion, it would get as many concurrent attempts as the other endpoints.
func TestEndpointLimitFollowsCongestion(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for range 50 {
		b.endpoints.find(1).congestion += (0.8*0.8 - b.endpoints.find(1).congestion) / 8
	}
	congested, uncongested := b.endpointLimit(b.endpoints.find(1)), b.endpointLimit(b.endpoints.find(2))
	if congested != 1 || uncongested != 4 {
		t.Fatalf("limit of the congested endpoint = %v, of the other one = %v, want 1, 4", congested, uncongested)
	}
}

// A single attempt from each of many balancers is enough to overload small endpoints, so a balancer has to
// lower its limit over all attempts if all endpoints are congested. A balancer with few slots must not reject
// requests because of slight congestion, though.
func TestConcurrencyLimitUnderCongestion(t *testing.T) {
	for _, c := range []struct {
		name       string
		meanSquare float64
		sends      int
		limited    uint64
	}{
		{"latency of 0.6 of the objective", 0.36, 4, 2},
		{"above the threshold of one endpoint, below that of the balancer", 0.13, 6, 0},
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
				t.Fatalf("attempts in 8 slots = %d, ConcurrencyLimited = %d, want %d, %d",
					len(h.sends), b.Counters().ConcurrencyLimited, c.sends, c.limited)
			}
		})
	}
}

// A client may disconnect while its request waits because of the concurrency limit. The request must not be
// sent once the limit rises again, because its response would have no recipient.
func TestClientDisconnectsWhileConcurrencyLimited(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers = 1
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6))
	b.congestion.meanSquare = 0.36 // the square of 0.6 of the latency objective
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	sends := len(h.sends)
	if b.Counters().ConcurrencyLimited == 0 {
		t.Fatal("ConcurrencyLimited = 0, want requests that wait because of the concurrency limit")
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
		t.Errorf("after the clients disconnected: %d sends and %d open requests, want none",
			len(h.sends)-sends, len(b.requests))
	}
}

// The congestion threshold suited one deployment only. In another, responses of idle endpoints took half of
// the latency objective, and requests had to wait although there was no congestion. A latency must count as
// congestion only if it is many times the unloaded latency.
func TestUnloadedLatencyIsNoCongestion(t *testing.T) {
	objective := testConfig().Classes[idempotentClass].LatencyObjective
	for _, c := range []struct {
		name              string
		unloaded, current time.Duration
		sends             int
	}{
		{"long service time", objective * 27 / 50, objective * 27 / 50, 6},
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
				t.Errorf("requests sent = %d of 6, want %d", sends, c.sends)
			}
		})
	}
}

// During a network partition, the timeouts of unreachable endpoints that were already outliers lowered the
// concurrency limit, and requests to all other endpoints had to wait. Only timeouts of endpoints that are no
// outliers must count as congestion.
func TestTimeoutsOfOutliersAreNoCongestion(t *testing.T) {
	for _, c := range []struct {
		name            string
		relativeLatency float64
		congested       bool
	}{
		{"healthy endpoint", 1, true},
		{"outlier", failureLatency, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, _ := start(t, testConfig(), ready(1))
			b.endpoints.find(1).relativeLatency = c.relativeLatency
			submit(b, 0, 1, nonIdempotentClass)
			finish(b, time.Second, 1, 0, TimedOut)
			if congested := b.congestion.meanSquare > 0; congested != c.congested {
				t.Errorf("timeout counts as congestion = %v, want %v", congested, c.congested)
			}
		})
	}
}

// Endpoints may leave or fail one after the other. If the remaining endpoints took over their shares of the
// slots, they would be overloaded one after the other too.
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
		t.Fatalf("attempts at the last of four endpoints = %d, want its share of 2 of the 8 slots", h.sentTo(1))
	}
	// With traffic at the quotas, all balancers have 100/s x 1 s x 0.12 = 12 attempts in flight, a fourth of
	// them at each endpoint.
	b.HealthChecked(2*ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: 5})
	if !b.fullByReport(2*ms, &request{}, b.endpoints.find(1)) {
		t.Fatal("fullByReport = false, want true at a fourth of the fleet's attempts plus the headroom")
	}
}

func TestUnloadedLatency(t *testing.T) {
	for _, c := range []struct {
		name        string
		latencies   []time.Duration // with a latency objective of 1 s
		min         time.Duration
		minFraction float64
	}{
		{"too few responses", []time.Duration{100 * ms, 200 * ms, 300 * ms}, 0, 0},
		{"mean of four responses", []time.Duration{100 * ms, 200 * ms, 300 * ms, 400 * ms}, 250 * ms, 0.25},
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
				t.Errorf("min, minFraction = %v, %v, want %v, %v", u.min, u.minFraction, c.min, c.minFraction)
			}
		})
	}
}

func TestCongestionGain(t *testing.T) {
	for _, c := range []struct {
		name  string
		since time.Duration // time since the previous sample
		want  float64       // mean square after a sample of 1, from 0
	}{
		{"frequent samples", 100 * ms, 1.0 / 16},
		{"every two seconds", 2 * time.Second, 0.2},
		{"rare samples", 20 * time.Second, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := congestion{observedAt: time.Minute}
			m.observe(time.Minute+c.since, 1)
			if math.Abs(m.meanSquare-c.want) > 1e-9 || m.observedAt != time.Minute+c.since {
				t.Errorf("meanSquare, observedAt = %v, %v, want %v, %v",
					m.meanSquare, m.observedAt, c.want, time.Minute+c.since)
			}
		})
	}
}

func TestLimitFraction(t *testing.T) {
	for _, c := range []struct {
		name       string
		endpoints  int // two balancers have 16 slots for them, and the quota is 100 requests per second
		unloaded   unloadedLatency
		meanSquare float64
		want       float64
	}{
		{"no congestion", 10, unloadedLatency{}, 0, 1},
		{"at the threshold", 10, unloadedLatency{}, 0.09, 1},
		{"twice the threshold", 10, unloadedLatency{}, 0.18, 0.5},
		{"threshold from the unloaded latency", 10, unloadedLatency{minFraction: 0.13}, 2 * 8 * 0.13 * 0.13, 0.5},
		{"highest threshold", 10, unloadedLatency{minFraction: 0.4}, 2 * 0.42 * 0.42, 0.5},
		{"more slots than endpoints can serve", 2, unloadedLatency{}, 0.09, 2 * 1.7 / 16},
		{"capacity from the quota and the unloaded latency", 2, unloadedLatency{min: 100 * ms}, 0.09, 2 * 1.5 * 5 / 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			var list []Endpoint
			for id := range c.endpoints {
				list = append(list, ready(EndpointID(id+1))...)
			}
			b, _ := start(t, testConfig(), list)
			b.unloaded = c.unloaded
			if got := b.limitFraction(c.meanSquare); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("limitFraction = %v, want %v", got, c.want)
			}
		})
	}
}
