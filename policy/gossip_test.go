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
func TestBroadcastCoversTimeSinceTheLast(t *testing.T) {
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
