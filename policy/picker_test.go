package policy

import (
	"math"
	"testing"
	"time"
)

// Endpoints differ in size. One of twice the weight has to get twice the attempts, or the small ones are overloaded.
func TestRoundRobinFollowsWeights(t *testing.T) {
	list := ready(1, 2, 3)
	list[2].Weight = 2
	b, h := start(t, testConfig(), list)
	for id := range RequestID(40) {
		now := time.Duration(id) * 20 * ms
		submit(b, now, id, idempotentClass)
		finish(b, now+10*ms, id, 0, Succeeded)
	}
	if n := h.sentTo(3); n < 19 || n > 21 || h.sentTo(1)-h.sentTo(2) > 1 || h.sentTo(2)-h.sentTo(1) > 1 {
		t.Fatalf("attempts %d %d %d, want 10 10 20, or one more or less", h.sentTo(1), h.sentTo(2), h.sentTo(3))
	}
	if c := b.Counters(); c.RoundRobinSends != 40 {
		t.Fatalf("%d sends counted as round robin, want 40", c.RoundRobinSends)
	}
}

// An endpoint list without usable weights must not leave an endpoint without attempts.
func TestUnusableWeightsAreEqual(t *testing.T) {
	list := []Endpoint{{ID: 1, State: Ready}, {ID: 2, State: Ready, Weight: math.NaN()}}
	b, h := start(t, testConfig(), list)
	for id := range RequestID(10) {
		now := time.Duration(id) * 20 * ms
		submit(b, now, id, idempotentClass)
		finish(b, now+10*ms, id, 0, Succeeded)
	}
	if n := h.sentTo(1); n < 4 || n > 6 {
		t.Fatalf("attempts %d %d, want 5 5", h.sentTo(1), h.sentTo(2))
	}
}

// A zone may have more traffic than its own endpoints can bear, so other zones' endpoints get attempts too. Crossing
// has a cost, so they get fewer.
func TestCrossZoneEndpointsGetFewerAttempts(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost, cfg.Zone = 0.02, 1
	list := ready(1, 2, 3, 4)
	list[2].Zone, list[3].Zone = 1, 1
	b, h := start(t, cfg, list)
	for id := range RequestID(300) {
		submit(b, time.Duration(id)*20*ms, id, idempotentClass)
		finish(b, time.Duration(id)*20*ms+5*ms, id, 0, Succeeded)
	}
	crossed := h.sentTo(1) + h.sentTo(2)
	if crossed < 50 || crossed > 70 || b.Counters().CrossZoneSends != uint64(crossed) {
		t.Fatalf("%d of 300 sends crossed zones, %d counted; want a fifth", crossed, b.Counters().CrossZoneSends)
	}
}

// A thousand balancers that started together all sent first to the endpoints of the highest weight, and the same
// endpoints were overloaded everywhere within 1.3 s. First attempts must spread over a fleet by weight.
func TestFirstAttemptsSpreadOverFleet(t *testing.T) {
	const balancers, endpoints = 1200, 60
	sent := map[EndpointID]int{}
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	for n := range balancers {
		cfg.Index = n
		list := ready()
		for id := range EndpointID(endpoints) {
			list = append(list, Endpoint{ID: id * 7, State: Ready, Weight: 1 + 2*float64(id%2)})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		submit(b, 0, 1, idempotentClass)
		sent[h.sends[0].to]++
	}
	light, heavy, highest := 0, 0, 0
	for id := range EndpointID(endpoints) {
		n := sent[id*7]
		highest = max(highest, n)
		if id%2 == 0 {
			light += n
		} else {
			heavy += n
		}
	}
	// By weight, 300 go to the light endpoints and 30 to each heavy one.
	if light < balancers/6 || light > balancers/3 || highest > 60 {
		t.Fatalf("first sends: %d to light endpoints, %d to heavy ones, at most %d to one", light, heavy, highest)
	}
}

func TestPickerAdvance(t *testing.T) {
	for _, c := range []struct {
		name              string
		virtualTime, turn float64
		wantTime, next    float64
	}{
		{"in turn", 5, 6, 6, 8},
		{"a late turn", 5, 3, 5, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, e := picker{virtualTime: c.virtualTime}, &endpoint{nextPick: c.turn}
			p.advance(e, 2)
			if p.virtualTime != c.wantTime || e.nextPick != c.next {
				t.Errorf("virtual time %v, next turn %v; want %v and %v", p.virtualTime, e.nextPick, c.wantTime, c.next)
			}
		})
	}
}

func TestStride(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func(e *endpoint)
		want float64
	}{
		{"as usual", func(*endpoint) {}, 1},
		{"twice the weight", func(e *endpoint) { e.Weight = 2 }, 0.5},
		{"four times the latency", func(e *endpoint) { e.relativeLatency = 4 }, 8},
		{"slower still", func(e *endpoint) { e.relativeLatency = 7 }, 8},
		{"a quarter of the latency", func(e *endpoint) { e.relativeLatency = 0.25 }, math.Pow(0.5, 1.5)},
		{"other zone", func(e *endpoint) { e.Zone = 2 }, 4},
		{"in the middle of slow start", func(e *endpoint) { e.slowStartUntil = 4 * time.Second }, 1 / 0.65},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.CrossZoneCost = 0.02
			b, _ := start(t, cfg, ready(1))
			e := b.endpoints.find(1)
			c.edit(e)
			if got := b.stride(0, e); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("gap %v, want %v", got, c.want)
			}
		})
	}
}
