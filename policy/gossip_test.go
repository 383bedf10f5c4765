package policy

import (
	"math"
	"testing"
	"time"
)

func gossipConfig() Config {
	cfg := testConfig()
	cfg.Balancers, cfg.CanGossip = 4, true
	return cfg
}

func TestImplausibleGossipIsDropped(t *testing.T) {
	b, _ := start(t, gossipConfig(), ready(1, 2))
	now := time.Hour
	good := GossipMessage{SentAt: now, RequestRate: 10, Responses: 5, Congestion: 0.1}
	for name, try := range map[string]func(n *GossipMessage) int{
		"its own":       func(*GossipMessage) int { return 0 },
		"no such peer":  func(*GossipMessage) int { return 4 },
		"a negative":    func(*GossipMessage) int { return -1 },
		"stale":         func(n *GossipMessage) int { n.SentAt -= 3 * time.Second; return 1 },
		"of the future": func(n *GossipMessage) int { n.SentAt += time.Second; return 1 },
		"no rate":       func(n *GossipMessage) int { n.RequestRate = math.NaN(); return 1 },
		"boundless":     func(n *GossipMessage) int { n.RequestRate = math.Inf(1); return 1 },
		"less than 0":   func(n *GossipMessage) int { n.Responses = -1; return 1 },
		"crowd":         func(n *GossipMessage) int { n.Congestion = 1e6; return 1 },
	} {
		n := good
		from := try(&n)
		before := b.Counters()
		if b.ReceiveGossip(now, from, n); b.Counters().GossipDropped != before.GossipDropped+1 || b.Counters().GossipReceived != before.GossipReceived {
			t.Errorf("%s: not dropped and counted", name)
		}
	}
	b.ReceiveGossip(now, 1, good)
	b.ReceiveGossip(now, 1, good) // twice
	older := good
	older.SentAt -= ms
	b.ReceiveGossip(now, 1, older) // overtaken
	if c := b.Counters(); c.GossipReceived != 1 {
		t.Errorf("%d taken, want one", c.GossipReceived)
	}
}

// Guards against one slow answer of its own closing the walls of a balancer of few requests.
func TestConcurrencyLimitFollowsFleetCongestion(t *testing.T) {
	b, _ := start(t, gossipConfig(), ready(1, 2))
	b.congestion.meanSquare = 4
	alone := b.concurrencyLimit(time.Hour)
	for i := 1; i < 4; i++ {
		b.ReceiveGossip(time.Hour, i, GossipMessage{SentAt: time.Hour, RequestRate: 25, Responses: 20, Congestion: 0.01})
	}
	b.traffic = requestRate{25, time.Hour}
	if told := b.concurrencyLimit(time.Hour); alone != 1 || told != float64(b.bulkheads.slots) {
		t.Fatalf("wall at %v alone and %v once told, want 1 and all %d slots", alone, told, b.bulkheads.slots)
	}
	if later := b.concurrencyLimit(time.Hour + time.Minute); later != 1 {
		t.Fatalf("wall at %v, want its own measure again once news is old", later)
	}
}

// Guards against a busy balancer held as small as an idle one where walls come down.
func TestConcurrencyLimitFollowsDemand(t *testing.T) {
	wall := func(own, others float64) float64 {
		b, _ := start(t, gossipConfig(), ready(1, 2))
		for i := 1; i < 4; i++ {
			b.ReceiveGossip(time.Hour, i, GossipMessage{SentAt: time.Hour, RequestRate: others, Responses: 20, Congestion: 0.1})
		}
		b.traffic = requestRate{own, time.Hour}
		return b.concurrencyLimit(time.Hour)
	}
	if busy, idle := wall(90, 3), wall(1, 33); busy < 3*idle || idle != 1 {
		t.Fatalf("walls of %v for one with most of the requests and %v for one with few", busy, idle)
	}
}

// What is told is what came since the last time; with nothing to tell it stays mostly silent.
func TestBroadcastCoversTimeSinceTheLast(t *testing.T) {
	b, h := start(t, gossipConfig(), ready(1, 2))
	now := time.Duration(0)
	for ; now < 20*time.Second; now += 20 * ms {
		b.TimerFired(now)
	}
	if n := len(h.broadcasts); n == 0 || n > 8 {
		t.Fatalf("told %d times in 20 s with nothing to tell", n)
	}
	h.broadcasts = nil
	for i := range RequestID(10) {
		submit(b, now, i, idempotentClass)
		finish(b, now+100*ms, i, 0, Succeeded)
		now += 200 * ms
		b.TimerFired(now)
	}
	for end := now + 2*time.Second; now < end; now += 20 * ms {
		b.TimerFired(now)
	}
	answers, worst := 0.0, 0.0
	for _, n := range h.broadcasts {
		answers += n.Responses
		worst = max(worst, n.Congestion)
	}
	if answers != 10 || math.Abs(worst-0.01) > 1e-9 {
		t.Fatalf("told of %v answers, crowded %v; want each of 10 once, which took a tenth of the aim", answers, worst)
	}
	cfg := gossipConfig()
	cfg.CanGossip = false
	b, h = start(t, cfg, ready(1, 2))
	for now := time.Duration(0); now < 20*time.Second; now += 20 * ms {
		b.TimerFired(now)
	}
	if len(h.broadcasts) > 0 {
		t.Fatal("told where it may not")
	}
}
