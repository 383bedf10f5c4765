package policy

import (
	"math"
	"testing"
	"time"
)

// gossipConfig is the configuration of balancer 0 of four, with gossip.
func gossipConfig() Config {
	cfg := testConfig()
	cfg.Balancers, cfg.CanGossip = 4, true
	return cfg
}

// Messages come over an open network: they may be late, duplicated, forged, or from a peer with a wrong
// clock. A message that a peer cannot have sent just now must not affect any limit, and the number of dropped
// messages must be counted for operators.
func TestImplausibleGossipIsDropped(t *testing.T) {
	const now = time.Hour
	valid := GossipMessage{SentAt: now, RequestRate: 10, Responses: 5, Congestion: 0.1}
	for _, c := range []struct {
		name string
		from int
		edit func(m *GossipMessage)
	}{
		{"from itself", 0, func(*GossipMessage) {}},
		{"from an unknown peer", 4, func(*GossipMessage) {}},
		{"from a negative peer", -1, func(*GossipMessage) {}},
		{"stale", 1, func(m *GossipMessage) { m.SentAt -= 3 * time.Second }},
		{"from the future", 1, func(m *GossipMessage) { m.SentAt += time.Second }},
		{"rate is not a number", 1, func(m *GossipMessage) { m.RequestRate = math.NaN() }},
		{"infinite rate", 1, func(m *GossipMessage) { m.RequestRate = math.Inf(1) }},
		{"negative responses", 1, func(m *GossipMessage) { m.Responses = -1 }},
		{"excessive congestion", 1, func(m *GossipMessage) { m.Congestion = 1e6 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, _ := start(t, gossipConfig(), ready(1, 2))
			m := valid
			c.edit(&m)
			b.ReceiveGossip(now, c.from, m)
			if counters := b.Counters(); counters.GossipDropped != 1 || counters.GossipReceived != 0 {
				t.Errorf("GossipDropped, GossipReceived = %d, %d, want 1, 0",
					counters.GossipDropped, counters.GossipReceived)
			}
		})
	}
	t.Run("repeated or out of order", func(t *testing.T) {
		b, _ := start(t, gossipConfig(), ready(1, 2))
		b.ReceiveGossip(now, 1, valid)
		b.ReceiveGossip(now, 1, valid)
		older := valid
		older.SentAt -= ms
		b.ReceiveGossip(now, 1, older)
		if counters := b.Counters(); counters.GossipReceived != 1 || counters.GossipDropped != 2 {
			t.Errorf("GossipReceived, GossipDropped = %d, %d, want 1, 2",
				counters.GossipReceived, counters.GossipDropped)
		}
	})
}

// A balancer with little traffic must not mistake a single slow response for congestion of all endpoints, or
// it would reject requests that the endpoints could serve. Its peers' observations take precedence as long as
// they are recent.
func TestConcurrencyLimitFollowsFleetCongestion(t *testing.T) {
	b, _ := start(t, gossipConfig(), ready(1, 2))
	b.congestion.meanSquare = 4
	withoutGossip := b.concurrencyLimit(time.Hour)
	for peer := 1; peer < 4; peer++ {
		b.ReceiveGossip(time.Hour, peer, GossipMessage{SentAt: time.Hour, RequestRate: 25, Responses: 20, Congestion: 0.01})
	}
	b.traffic = requestRate{25, time.Hour}
	if withGossip := b.concurrencyLimit(time.Hour); withoutGossip != 1 || withGossip != float64(b.bulkheads.slots) {
		t.Fatalf("concurrencyLimit = %v without gossip and %v with gossip, want 1 and all %d slots",
			withoutGossip, withGossip, b.bulkheads.slots)
	}
	if later := b.concurrencyLimit(time.Hour + time.Minute); later != 1 {
		t.Fatalf("concurrencyLimit = %v after gossip has expired, want 1 by its own observations", later)
	}
}

// If all balancers had the same concurrency limit under congestion, one with most of the traffic would reject
// requests while slots of the others remained free. The limit must follow demand.
func TestConcurrencyLimitFollowsDemand(t *testing.T) {
	limit := func(own, others float64) float64 {
		b, _ := start(t, gossipConfig(), ready(1, 2))
		for peer := 1; peer < 4; peer++ {
			b.ReceiveGossip(time.Hour, peer, GossipMessage{SentAt: time.Hour, RequestRate: others, Responses: 20, Congestion: 0.1})
		}
		b.traffic = requestRate{own, time.Hour}
		return b.concurrencyLimit(time.Hour)
	}
	if high, low := limit(90, 3), limit(1, 33); high < 3*low || low != 1 {
		t.Fatalf("concurrencyLimit = %v with most of the requests and %v with few, want at least 3 and exactly 1",
			high, low)
	}
}

// Peers add up the responses in the messages they receive, so a response that is broadcast twice would count
// twice. Each response must be broadcast once. A balancer without traffic must broadcast rarely, and one that
// may not gossip never.
func TestEachResponseIsBroadcastOnce(t *testing.T) {
	// fireTimers fires timers every 20 ms until the given time, and returns the time that was reached.
	fireTimers := func(b *Balancer, now, until time.Duration) time.Duration {
		for ; now < until; now += 20 * ms {
			b.TimerFired(now)
		}
		return now
	}
	t.Run("with traffic", func(t *testing.T) {
		b, h := start(t, gossipConfig(), ready(1, 2))
		now := fireTimers(b, 0, 20*time.Second)
		if n := len(h.broadcasts); n == 0 || n > 8 {
			t.Fatalf("broadcasts in 20 s without traffic = %d, want 1 to 8", n)
		}
		h.broadcasts = nil
		for id := range RequestID(10) {
			submit(b, now, id, idempotentClass)
			finish(b, now+100*ms, id, 0, Succeeded)
			now += 200 * ms
			b.TimerFired(now)
		}
		fireTimers(b, now, now+2*time.Second)
		responses, congestion := 0.0, 0.0
		for _, m := range h.broadcasts {
			responses += m.Responses
			congestion = max(congestion, m.Congestion)
		}
		// Each response took a tenth of the latency objective.
		if responses != 10 || math.Abs(congestion-0.01) > 1e-9 {
			t.Fatalf("broadcast responses = %v, highest congestion = %v, want 10, 0.01", responses, congestion)
		}
	})
	t.Run("gossip not allowed", func(t *testing.T) {
		cfg := gossipConfig()
		cfg.CanGossip = false
		b, h := start(t, cfg, ready(1, 2))
		fireTimers(b, 0, 20*time.Second)
		if len(h.broadcasts) > 0 {
			t.Fatalf("broadcasts = %d, want 0", len(h.broadcasts))
		}
	})
}

// newTestGossip returns the gossip of balancer 0 of four, with a mean latency objective of half a second.
func newTestGossip() gossip {
	return newGossip(Config{Balancers: 4, CanGossip: true}, 0.5)
}

func TestGossipNextMessage(t *testing.T) {
	g := newTestGossip()
	g.record(0, 0.2)
	g.record(0, 0.4)
	m, ok := g.nextMessage(time.Second, 30)
	if !ok || m.SentAt != time.Second || m.RequestRate != 30 || m.Responses != 2 || math.Abs(m.Congestion-0.3) > 1e-9 {
		t.Fatalf("nextMessage = %+v, %v, want 2 responses with a mean congestion of 0.3", m, ok)
	}
	for round, want := range []bool{true, false, false, false, true, false} { // without responses
		if m, ok := g.nextMessage(2*time.Second, 30); ok != want || m.Responses != 0 {
			t.Errorf("round %d without responses: nextMessage = %+v, %v, want ok %v and no responses",
				round, m, ok, want)
		}
	}
	g.record(0, 9)
	if m, ok := g.nextMessage(3*time.Second, 30); !ok || m.Congestion != 4 {
		t.Errorf("nextMessage = %+v, %v, want a congestion of 4, the upper bound", m, ok)
	}
	if m, ok := g.nextMessage(4*time.Second, 30); !ok || m.Responses != 0 {
		t.Errorf("nextMessage = %+v, %v, want a message in the first round without responses", m, ok)
	}
}

func TestGossipDisabledRecordsNothing(t *testing.T) {
	g := newTestGossip()
	g.enabled = false
	g.record(0, 0.2)
	if g.ownResponses != 0 || g.fleetResponses != 0 {
		t.Errorf("ownResponses, fleetResponses = %v, %v, want 0, 0", g.ownResponses, g.fleetResponses)
	}
}

func TestGossipPlausible(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name string
		from int
		edit func(m *GossipMessage)
		want bool
	}{
		{"valid", 1, func(*GossipMessage) {}, true},
		{"last peer", 3, func(*GossipMessage) {}, true},
		{"beyond the last peer", 4, func(*GossipMessage) {}, false},
		{"from itself", 0, func(*GossipMessage) {}, false},
		{"maximum age", 1, func(m *GossipMessage) { m.SentAt = now - time.Second }, true},
		{"older than the maximum age", 1, func(m *GossipMessage) { m.SentAt = now - time.Second - 1 }, false},
		{"maximum clock skew", 1, func(m *GossipMessage) { m.SentAt = now + 100*ms }, true},
		{"clock too far ahead", 1, func(m *GossipMessage) { m.SentAt = now + 100*ms + 1 }, false},
		{"newer than the latest message", 2, func(m *GossipMessage) { m.SentAt = now - 500*ms + 1 }, true},
		{"same time as the latest message", 2, func(m *GossipMessage) { m.SentAt = now - 500*ms }, false},
		{"highest rate", 1, func(m *GossipMessage) { m.RequestRate = math.MaxUint32 }, true},
		{"rate too high", 1, func(m *GossipMessage) { m.RequestRate = math.MaxUint32 + 1 }, false},
		{"most responses", 1, func(m *GossipMessage) { m.Responses = math.MaxUint16 }, true},
		{"too many responses", 1, func(m *GossipMessage) { m.Responses = math.MaxUint16 + 1 }, false},
		{"highest congestion", 1, func(m *GossipMessage) { m.Congestion = 4 }, true},
		{"congestion too high", 1, func(m *GossipMessage) { m.Congestion = 4.01 }, false},
		{"negative congestion", 1, func(m *GossipMessage) { m.Congestion = -0.01 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGossip()
			g.peers[2].sentAt = now - 500*ms
			m := GossipMessage{SentAt: now, RequestRate: 30, Responses: 5, Congestion: 0.1}
			c.edit(&m)
			if got := g.accept(now, c.from, m); got != c.want || g.received != c.want {
				t.Errorf("accept = %v, received = %v, want %v", got, g.received, c.want)
			}
		})
	}
}

func TestGossipCongestion(t *testing.T) {
	const own = 0.9
	for _, c := range []struct {
		name      string
		responses float64       // responses in a peer's message, with a congestion of 0.1
		after     time.Duration // time since the message
		want      float64
	}{
		{"no message", 0, 0, own},
		{"enough responses", 8, 0, 0.1},
		{"too few responses", 7, 0, own},
		{"enough responses half a second later", 22, 500 * ms, 0.1}, // decayed to 22/e
		{"too few responses half a second later", 21, 500 * ms, own},
	} {
		t.Run(c.name, func(t *testing.T) {
			const now = time.Hour
			g := newTestGossip()
			if c.responses > 0 {
				g.accept(now, 1, GossipMessage{SentAt: now, Responses: c.responses, Congestion: 0.1})
			}
			if got := g.congestion(now+c.after, own); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("congestion = %v, want %v", got, c.want)
			}
		})
	}
}

func TestGossipFleetMeanWeighsByResponses(t *testing.T) {
	g := newTestGossip()
	g.record(0, 0.5)
	g.accept(0, 1, GossipMessage{SentAt: 1, Responses: 9, Congestion: 0.1})
	if got := g.congestion(0, 0); math.Abs(got-0.14) > 1e-9 {
		t.Errorf("congestion = %v for one response at 0.5 and nine at 0.1, want 0.14", got)
	}
}

func TestGossipDemandFraction(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name     string
		received bool
		peerRate float64
		peerSent time.Duration
		ownRate  float64
		quota    float64
		want     float64
	}{
		{"no message", false, 0, 0, 90, 100, 0.25},
		{"unknown quota", true, 30, now, 90, 0, 0.25},
		{"one peer with a message, two without", true, 30, now, 20, 100, 0.2},
		{"message at the end of its lifetime", true, 30, now - 5*time.Second, 20, 100, 0.2},
		{"expired message", true, 55, now - 5*time.Second - 1, 25, 100, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGossip()
			g.received = c.received
			g.peers[1] = peer{sentAt: c.peerSent, requestRate: c.peerRate}
			if got := g.demandFraction(now, c.ownRate, c.quota); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("demandFraction = %v, want %v", got, c.want)
			}
		})
	}
	t.Run("little traffic in the fleet", func(t *testing.T) {
		g := newTestGossip()
		g.received = true
		for i := range g.peers {
			g.peers[i].sentAt = now
		}
		if got := g.demandFraction(now, 2, 100); math.Abs(got-2.0/25) > 1e-9 {
			t.Errorf("demandFraction = %v, want 2 of the equal share of 25", got)
		}
	})
	t.Run("no message from peers just after the start", func(t *testing.T) {
		g := newTestGossip()
		g.received = true
		if got := g.demandFraction(time.Second, 20, 100); math.Abs(got-20.0/95) > 1e-9 {
			t.Errorf("demandFraction = %v, want 20 of the sum with three equal shares of 25", got)
		}
	})
}
