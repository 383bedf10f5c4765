package policy

import (
	"math"
	"testing"
	"time"
)

// gossipConfig is that of balancer 0 of four.
func gossipConfig() Config {
	cfg := testConfig()
	cfg.Balancers, cfg.CanGossip = 4, true
	return cfg
}

// Messages come over an open network: late, twice, from a peer with a wrong clock, or made up. One that a peer cannot
// have sent just now must not move any limit, and operators have to see how many were dropped.
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
		{"of the future", 1, func(m *GossipMessage) { m.SentAt += time.Second }},
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
			if n := b.Counters(); n.GossipDropped != 1 || n.GossipReceived != 0 {
				t.Errorf("%d dropped, %d received; want 1 and 0", n.GossipDropped, n.GossipReceived)
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
		if n := b.Counters(); n.GossipReceived != 1 || n.GossipDropped != 2 {
			t.Errorf("%d received, %d dropped; want 1 and 2", n.GossipReceived, n.GossipDropped)
		}
	})
}

// A balancer of little traffic took one slow response of its own for congestion everywhere, and rejected what the
// endpoints could have served. What its peers observe counts for more, as long as it is recent.
func TestConcurrencyLimitFollowsFleetCongestion(t *testing.T) {
	b, _ := start(t, gossipConfig(), ready(1, 2))
	b.congestion.meanSquare = 4
	alone := b.concurrencyLimit(time.Hour)
	for peer := 1; peer < 4; peer++ {
		b.ReceiveGossip(time.Hour, peer, GossipMessage{SentAt: time.Hour, RequestRate: 25, Responses: 20, Congestion: 0.01})
	}
	b.traffic = requestRate{25, time.Hour}
	if notified := b.concurrencyLimit(time.Hour); alone != 1 || notified != float64(b.bulkheads.slots) {
		t.Fatalf("concurrency limit %v alone and %v by gossip, want 1 and all %d slots", alone, notified, b.bulkheads.slots)
	}
	if later := b.concurrencyLimit(time.Hour + time.Minute); later != 1 {
		t.Fatalf("concurrency limit %v once gossip is old, want 1 by its own measure", later)
	}
}

// Under congestion every balancer had the same concurrency limit, so that one with most of the traffic rejected
// requests while others' slots stayed free. The limit has to follow demand.
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
		t.Fatalf("concurrency limits %v with most of the requests and %v with few, want at least 3 and 1", high, low)
	}
}

// Peers add up what they receive, so a response that is broadcast twice counts twice as congestion. Each is broadcast
// once; a balancer without traffic broadcasts seldom, and one that may not gossip never.
func TestEachResponseIsBroadcastOnce(t *testing.T) {
	// fireTimers has timers fire for a while, and returns when they end.
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
			t.Fatalf("%d broadcasts in 20 s without traffic, want 1 to 8", n)
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
		// Each took a tenth of the latency objective.
		if responses != 10 || math.Abs(congestion-0.01) > 1e-9 {
			t.Fatalf("broadcast %v responses with congestion up to %v, want 10 and 0.01", responses, congestion)
		}
	})
	t.Run("gossip not allowed", func(t *testing.T) {
		cfg := gossipConfig()
		cfg.CanGossip = false
		b, h := start(t, cfg, ready(1, 2))
		fireTimers(b, 0, 20*time.Second)
		if len(h.broadcasts) > 0 {
			t.Fatalf("%d broadcasts, want none", len(h.broadcasts))
		}
	})
}

// newTestGossip is that of balancer 0 of four, at a latency objective of half a second.
func newTestGossip() gossip {
	return newGossip(Config{Balancers: 4, CanGossip: true}, 0.5)
}

func TestGossipNextMessage(t *testing.T) {
	g := newTestGossip()
	g.record(0, 0.2)
	g.record(0, 0.4)
	m, ok := g.nextMessage(time.Second, 30)
	if !ok || m.SentAt != time.Second || m.RequestRate != 30 || m.Responses != 2 || math.Abs(m.Congestion-0.3) > 1e-9 {
		t.Fatalf("message %+v (%v), want 2 responses with a mean congestion of 0.3", m, ok)
	}
	for round, want := range []bool{true, false, false, false, true, false} { // without responses
		if m, ok := g.nextMessage(2*time.Second, 30); ok != want || m.Responses != 0 {
			t.Errorf("empty round %d: message %+v (%v), want one: %v", round, m, ok, want)
		}
	}
	g.record(0, 9)
	if m, ok := g.nextMessage(3*time.Second, 30); !ok || m.Congestion != 4 {
		t.Errorf("message %+v (%v), want the congestion limited to 4", m, ok)
	}
	if m, ok := g.nextMessage(4*time.Second, 30); !ok || m.Responses != 0 {
		t.Errorf("message %+v (%v), want the first empty one after responses", m, ok)
	}
}

func TestGossipDisabledRecordsNothing(t *testing.T) {
	g := newTestGossip()
	g.enabled = false
	g.record(0, 0.2)
	if g.ownResponses != 0 || g.fleetResponses != 0 {
		t.Errorf("%v own and %v responses of the fleet recorded, want none", g.ownResponses, g.fleetResponses)
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
		{"as usual", 1, func(*GossipMessage) {}, true},
		{"last peer", 3, func(*GossipMessage) {}, true},
		{"beyond the last peer", 4, func(*GossipMessage) {}, false},
		{"from itself", 0, func(*GossipMessage) {}, false},
		{"two objectives old", 1, func(m *GossipMessage) { m.SentAt = now - time.Second }, true},
		{"older", 1, func(m *GossipMessage) { m.SentAt = now - time.Second - 1 }, false},
		{"clock ahead within the tolerance", 1, func(m *GossipMessage) { m.SentAt = now + 100*ms }, true},
		{"clock ahead by more", 1, func(m *GossipMessage) { m.SentAt = now + 100*ms + 1 }, false},
		{"newer than the latest", 2, func(m *GossipMessage) { m.SentAt = now - 500*ms + 1 }, true},
		{"sent with the latest", 2, func(m *GossipMessage) { m.SentAt = now - 500*ms }, false},
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
				t.Errorf("accepted: %v, noted as received: %v, want %v", got, g.received, c.want)
			}
		})
	}
}

func TestGossipCongestion(t *testing.T) {
	const own = 0.9
	for _, c := range []struct {
		name      string
		responses float64 // of a peer, with a congestion of 0.1
		after     time.Duration
		want      float64
	}{
		{"no message", 0, 0, own},
		{"enough responses", 8, 0, 0.1},
		{"too few", 7, 0, own},
		{"enough half a second later", 22, 500 * ms, 0.1}, // 22/e
		{"too few half a second later", 21, 500 * ms, own},
	} {
		t.Run(c.name, func(t *testing.T) {
			const now = time.Hour
			g := newTestGossip()
			if c.responses > 0 {
				g.accept(now, 1, GossipMessage{SentAt: now, Responses: c.responses, Congestion: 0.1})
			}
			if got := g.congestion(now+c.after, own); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("congestion %v, want %v", got, c.want)
			}
		})
	}
}

func TestGossipFleetMeanWeighsByResponses(t *testing.T) {
	g := newTestGossip()
	g.record(0, 0.5)
	g.accept(0, 1, GossipMessage{SentAt: 1, Responses: 9, Congestion: 0.1})
	if got := g.congestion(0, 0); math.Abs(got-0.14) > 1e-9 {
		t.Errorf("congestion %v of one response at 0.5 and nine at 0.1, want 0.14", got)
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
		{"one peer known, two count evenly", true, 30, now, 20, 100, 0.2},
		{"message at the end of its life", true, 30, now - 5*time.Second, 20, 100, 0.2},
		{"older message", true, 55, now - 5*time.Second - 1, 25, 100, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGossip()
			g.received = c.received
			g.peers[1] = peer{sentAt: c.peerSent, requestRate: c.peerRate}
			if got := g.demandFraction(now, c.ownRate, c.quota); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("share %v, want %v", got, c.want)
			}
		})
	}
	t.Run("little traffic of all", func(t *testing.T) {
		g := newTestGossip()
		g.received = true
		for i := range g.peers {
			g.peers[i].sentAt = now
		}
		if got := g.demandFraction(now, 2, 100); math.Abs(got-2.0/25) > 1e-9 {
			t.Errorf("share %v, want 2 of the even 25", got)
		}
	})
	t.Run("no message of peers just after the start", func(t *testing.T) {
		g := newTestGossip()
		g.received = true
		if got := g.demandFraction(time.Second, 20, 100); math.Abs(got-20.0/95) > 1e-9 {
			t.Errorf("share %v, want 20 beside three even parts of 25", got)
		}
	})
}
