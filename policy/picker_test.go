package policy

import (
	"math"
	"testing"
	"time"
)

// Endpoints differ in capacity. If attempts did not follow the weights, small endpoints would be overloaded.
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
		t.Fatalf("attempts at endpoints 1, 2, 3 = %d, %d, %d, want 10, 10, 20, each give or take 1",
			h.sentTo(1), h.sentTo(2), h.sentTo(3))
	}
	if c := b.Counters(); c.RoundRobinSends != 40 {
		t.Fatalf("RoundRobinSends = %d, want 40", c.RoundRobinSends)
	}
}

// Weights that are zero or not a number must not leave an endpoint without attempts.
func TestUnusableWeightsAreEqual(t *testing.T) {
	list := []Endpoint{{ID: 1, State: Ready}, {ID: 2, State: Ready, Weight: math.NaN()}}
	b, h := start(t, testConfig(), list)
	for id := range RequestID(10) {
		now := time.Duration(id) * 20 * ms
		submit(b, now, id, idempotentClass)
		finish(b, now+10*ms, id, 0, Succeeded)
	}
	if n := h.sentTo(1); n < 4 || n > 6 {
		t.Fatalf("attempts at endpoints 1, 2 = %d, %d, want 5, 5", h.sentTo(1), h.sentTo(2))
	}
}

// A zone may have more traffic than its own endpoints can serve, so endpoints of other zones must get
// attempts too. They get fewer, because crossing zones has a cost.
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
	crossZone := h.sentTo(1) + h.sentTo(2)
	if crossZone < 50 || crossZone > 70 || b.Counters().CrossZoneSends != uint64(crossZone) {
		t.Fatalf("cross-zone sends = %d of 300, CrossZoneSends = %d, want a fifth of all in both",
			crossZone, b.Counters().CrossZoneSends)
	}
}

// If a thousand balancers that start together all send first to the endpoints of the highest weight, these
// endpoints are overloaded within 1.3 s. First attempts must spread over all endpoints by weight.
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
		t.Fatalf("first sends = %d light, %d heavy, at most %d to one endpoint, want 200 to 400 light, at most 60 to one",
			light, heavy, highest)
	}
}

func TestPickerAdvance(t *testing.T) {
	for _, c := range []struct {
		name               string
		virtualTime, due   float64
		wantTime, wantNext float64
	}{
		{"picked when due", 5, 6, 6, 8},
		{"picked late", 5, 3, 5, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, e := picker{virtualTime: c.virtualTime}, &endpoint{nextPick: c.due}
			p.advance(e, 2)
			if p.virtualTime != c.wantTime || e.nextPick != c.wantNext {
				t.Errorf("virtualTime, nextPick = %v, %v, want %v, %v",
					p.virtualTime, e.nextPick, c.wantTime, c.wantNext)
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
		{"class mean latency", func(*endpoint) {}, 1},
		{"twice the weight", func(e *endpoint) { e.Weight = 2 }, 0.5},
		{"four times the latency", func(e *endpoint) { e.relativeLatency = 4 }, 8},
		{"latency above the outlier bound", func(e *endpoint) { e.relativeLatency = 7 }, 8},
		{"latency below the lower bound", func(e *endpoint) { e.relativeLatency = 0.25 }, math.Pow(0.5, 1.5)},
		{"another zone", func(e *endpoint) { e.Zone = 2 }, 4},
		{"halfway through slow start", func(e *endpoint) { e.slowStartUntil = 4 * time.Second }, 1 / 0.65},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.CrossZoneCost = 0.02
			b, _ := start(t, cfg, ready(1))
			e := b.endpoints.find(1)
			c.edit(e)
			if got := b.stride(0, e); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("stride = %v, want %v", got, c.want)
			}
		})
	}
}
