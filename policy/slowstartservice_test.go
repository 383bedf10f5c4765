package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const (
	serviceTime        = 30 * ms // of a request at any endpoint of a coldService
	serviceStep        = 5 * ms
	serviceRequestRate = 75 // per second
	serviceWindow      = 10 * time.Second
	minServedInWindow  = 250 // of 750 requests: the settings allow the endpoints together more than twice as much
	serviceBegins      = 1000 * time.Second
)

// coldService is one balancer before endpoints that are all told of as just started.
type coldService struct {
	t        *testing.T
	balancer *Balancer
	host     *fakeHost
	now      time.Duration
	requests RequestID
	seen     int            // sends whose outcomes are scheduled
	outcomes []fleetOutcome // in order of time
	served   []sentAttempt
	servedAt []time.Duration
}

// coldServiceConfig is that of a single balancer whose endpoints start slowly.
func coldServiceConfig() Config {
	return Config{
		Balancers:         1,
		Classes:           []Class{{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1}},
		Tenants:           []Tenant{{Weight: 1, Quota: 200}},
		MaxAttempts:       4,
		CanCancel:         true,
		MaxRetryAfter:     time.Second,
		EventInterval:     serviceStep,
		SlowStartFraction: 0.2,
		SlowStartDuration: 20 * time.Second,
		OverloadFactor:    1.5,
	}
}

func newColdService(t *testing.T, cfg Config) *coldService {
	t.Helper()
	h := newFakeHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(serviceBegins)
	return &coldService{t: t, balancer: b, host: h, now: serviceBegins}
}

// update passes a list of six endpoints in a state, with the first warm ones started long ago and the others now.
func (s *coldService) update(kind UpdateKind, state EndpointState, warm int) {
	list := ready(1, 2, 3, 4, 5, 6)
	for i := range list {
		list[i].State = state
		if i >= warm {
			list[i].StartedAt = s.now
		}
	}
	s.balancer.UpdateEndpoints(s.now, kind, list)
}

// run passes requests and outcomes for a time, and returns how many requests were served in it.
func (s *coldService) run(d time.Duration) int {
	before := len(s.served)
	for end := s.now + d; s.now < end; s.now += serviceStep {
		s.passOutcomes()
		s.balancer.TimerFired(s.now)
		for range int(serviceRequestRate*(s.now-serviceBegins+serviceStep)/time.Second) - int(s.requests) {
			s.balancer.Request(s.now, Request{ID: s.requests, Timeout: 3 * time.Second})
			s.requests++
		}
		for _, sent := range s.host.sends[s.seen:] {
			s.outcomes = append(s.outcomes, fleetOutcome{at: s.now + serviceTime, id: sent.id})
		}
		s.seen = len(s.host.sends)
	}
	return len(s.served) - before
}

// passOutcomes passes the outcomes that are due. Each request has one attempt, as all of them succeed.
func (s *coldService) passOutcomes() {
	for len(s.outcomes) > 0 && s.outcomes[0].at <= s.now {
		o := s.outcomes[0]
		s.outcomes = s.outcomes[1:]
		sent := slices.IndexFunc(s.host.sends, func(a sentAttempt) bool { return a.id == o.id })
		s.served = append(s.served, s.host.sends[sent])
		s.servedAt = append(s.servedAt, s.now)
		finish(s.balancer, s.now, o.id, 0, Succeeded)
	}
}

// A service whose endpoints all start at once was starved: each endpoint's first send was drawn with the ready weight
// from before the list, which was 0, so up to 100 s ahead. The same endpoints that come back later, without the empty
// list, are sent what slow start allows.
func TestServiceThatStartsAtOnceIsServed(t *testing.T) {
	for name, begin := range map[string]func(s *coldService){
		"first list": func(s *coldService) { s.update(FullUpdate, Ready, 0) },
		"cached list, then the same": func(s *coldService) {
			s.update(CachedUpdate, Ready, 0)
			s.update(FullUpdate, Ready, 0)
		},
		"empty cached list, then all": func(s *coldService) {
			s.balancer.UpdateEndpoints(s.now, CachedUpdate, nil)
			s.run(time.Second)
			s.update(FullUpdate, Ready, 0)
		},
		"all removed, then back": func(s *coldService) {
			s.update(FullUpdate, Ready, 6)
			s.run(2 * time.Second)
			s.update(DeltaUpdate, Removed, 6)
			s.run(2 * time.Second)
			s.update(DeltaUpdate, Ready, 0)
		},
		"all draining, then restarted": func(s *coldService) {
			s.update(FullUpdate, Ready, 6)
			s.run(2 * time.Second)
			s.update(DeltaUpdate, Draining, 6)
			s.run(2 * time.Second)
			s.update(FullUpdate, Ready, 0)
		},
		"an empty complete list, then all": func(s *coldService) {
			s.update(FullUpdate, Ready, 6)
			s.run(2 * time.Second)
			s.balancer.UpdateEndpoints(s.now, FullUpdate, nil)
			s.run(2 * time.Second)
			s.update(FullUpdate, Ready, 0)
		},
		"half of them removed, then back": func(s *coldService) {
			s.update(FullUpdate, Ready, 6)
			s.run(2 * time.Second)
			list := ready(1, 2, 3)
			s.balancer.UpdateEndpoints(s.now, FullUpdate, list)
			s.run(2 * time.Second)
			s.update(FullUpdate, Ready, 3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newColdService(t, coldServiceConfig())
			begin(s)
			n := s.run(serviceWindow)
			t.Logf("%d requests served", n)
			if n < minServedInWindow {
				t.Errorf("%d requests served in %v, want at least %d", n, serviceWindow, minServedInWindow)
			}
			for id := EndpointID(1); id <= 6; id++ {
				if !slices.ContainsFunc(s.served, func(a sentAttempt) bool { return a.to == id }) {
					t.Errorf("endpoint %d got no request", id)
				}
			}
		})
	}
}

// All endpoints start at once, and the balancers' lists were empty until then, or the balancers start after them. Each
// endpoint must get no more from all balancers together than it bears in slow start.
func TestSlowStartOfAllEndpointsOverFleet(t *testing.T) {
	for _, balancers := range []int{2, 20, 30, 300} {
		for name, fleet := range map[string]slowStartFleet{
			"after an empty list":                {starting: 30, load: 1, trafficSpread: 1},
			"after an empty list, overload":      {starting: 30, load: 2, trafficSpread: 1.5},
			"first list":                         {starting: 30, load: 1, trafficSpread: 1, balancersRestarted: true},
			"first list, overload":               {starting: 30, load: 2, trafficSpread: 1.5, balancersRestarted: true},
			"few endpoints, after an empty list": {starting: 6, load: 1.5, trafficSpread: 1},
			"unknown quota, after an empty list": {starting: 30, load: 1, trafficSpread: 1, unknownQuota: true},
			"unknown quota, first list":          {starting: 30, load: 1, trafficSpread: 1, unknownQuota: true, balancersRestarted: true},
		} {
			fleet.balancers = balancers
			t.Run(fmt.Sprintf("balancers=%d/%s", balancers, name), func(t *testing.T) {
				highest := math.Inf(-1)
				for seed := range uint64(1 + 60/(balancers+20)) { // fewer for large fleets: each is a mean already
					run := newSlowStartRun(t, fleet, seed)
					run.run()
					highest = max(highest, run.maxOverload())
				}
				t.Logf("highest load %.2f", highest)
				if highest > 1 {
					t.Errorf("an endpoint in slow start got %.2f times what it bears", highest)
				}
			})
		}
	}
}

// All endpoints of a balancer's subset had just started, and the one that had not was left idle outside of it, until
// the traffic had been measured and the subset selected anew. It has to take requests from the first moment.
func TestWarmEndpointServesBesideThoseInSlowStart(t *testing.T) {
	for balancer := range 6 {
		for name, tenants := range map[string][]Tenant{
			"known quota":   {{Weight: 1, Quota: 20}},
			"unknown quota": nil,
		} {
			t.Run(fmt.Sprintf("balancer=%d/%s", balancer, name), func(t *testing.T) {
				cfg := coldServiceConfig()
				cfg.Tenants, cfg.Balancers, cfg.Index = tenants, 6, balancer
				s := newColdService(t, cfg)
				s.update(FullUpdate, Ready, 1)
				const first, oneAtATime = 300 * ms, int(300 * ms / serviceTime)
				if n := s.run(first); n < oneAtATime/2 {
					t.Errorf("%d requests served in the first %v, want at least half of %d", n, first, oneAtATime)
				}
			})
		}
	}
}
