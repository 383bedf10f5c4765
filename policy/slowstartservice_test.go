package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const (
	serviceTime        = 30 * ms          // latency of a request at any endpoint of a slowStartService
	serviceStep        = 5 * ms           // time step of the simulation
	serviceRequestRate = 75               // per second
	serviceWindow      = 10 * time.Second // over which the served requests are counted
	minServedInWindow  = 250              // of 750 requests; slow start allows more than twice as many
	serviceStartsAt    = 1000 * time.Second
)

// slowStartService simulates a single balancer and its endpoints, most or all of which have just started.
type slowStartService struct {
	t              *testing.T
	balancer       *Balancer
	host           *fakeHost
	now            time.Duration
	requests       RequestID      // number of requests so far, and ID of the next one
	processedSends int            // number of host.sends whose outcomes are scheduled
	outcomes       []fleetOutcome // ordered by time
	served         []sentAttempt
	servedAt       []time.Duration
}

// slowStartServiceConfig returns the configuration of a single balancer whose endpoints have a long slow start.
func slowStartServiceConfig() Config {
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

func newSlowStartService(t *testing.T, cfg Config) *slowStartService {
	t.Helper()
	h := newFakeHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(serviceStartsAt)
	return &slowStartService{t: t, balancer: b, host: h, now: serviceStartsAt}
}

// update passes an update with six endpoints in the given state. The first established ones started long ago, the others
// start now.
func (s *slowStartService) update(kind UpdateKind, state EndpointState, established int) {
	list := ready(1, 2, 3, 4, 5, 6)
	for i := range list {
		list[i].State = state
		if i >= established {
			list[i].StartedAt = s.now
		}
	}
	s.balancer.UpdateEndpoints(s.now, kind, list)
}

// run passes requests and outcomes for a duration, and returns the number of requests served in it.
func (s *slowStartService) run(d time.Duration) int {
	before := len(s.served)
	for end := s.now + d; s.now < end; s.now += serviceStep {
		s.passOutcomes()
		s.balancer.TimerFired(s.now)
		for range int(serviceRequestRate*(s.now-serviceStartsAt+serviceStep)/time.Second) - int(s.requests) {
			s.balancer.Request(s.now, Request{ID: s.requests, Timeout: 3 * time.Second})
			s.requests++
		}
		for _, sent := range s.host.sends[s.processedSends:] {
			s.outcomes = append(s.outcomes, fleetOutcome{at: s.now + serviceTime, id: sent.id})
		}
		s.processedSends = len(s.host.sends)
	}
	return len(s.served) - before
}

// passOutcomes passes the outcomes that are due. Each request has only one attempt, as all attempts succeed.
func (s *slowStartService) passOutcomes() {
	for len(s.outcomes) > 0 && s.outcomes[0].at <= s.now {
		o := s.outcomes[0]
		s.outcomes = s.outcomes[1:]
		sent := slices.IndexFunc(s.host.sends, func(a sentAttempt) bool { return a.id == o.id })
		s.served = append(s.served, s.host.sends[sent])
		s.servedAt = append(s.servedAt, s.now)
		finish(s.balancer, s.now, o.id, 0, Succeeded)
	}
}

// When all endpoints of a service started at once, they got almost no requests: the time of the first send to each was
// drawn with the ready weight from before the list, which was 0, and so was up to 100 s ahead. Whatever updates come
// first, the endpoints must get the requests that slow start allows.
func TestServiceServesWhenAllEndpointsStartAtOnce(t *testing.T) {
	for name, prepare := range map[string]func(s *slowStartService){
		"first list": func(s *slowStartService) { s.update(FullUpdate, Ready, 0) },
		"cached list, then the same list": func(s *slowStartService) {
			s.update(CachedUpdate, Ready, 0)
			s.update(FullUpdate, Ready, 0)
		},
		"empty cached list, then all endpoints": func(s *slowStartService) {
			s.balancer.UpdateEndpoints(s.now, CachedUpdate, nil)
			s.run(time.Second)
			s.update(FullUpdate, Ready, 0)
		},
		"all removed, then restarted": func(s *slowStartService) {
			s.update(FullUpdate, Ready, 6)
			s.run(2 * time.Second)
			s.update(DeltaUpdate, Removed, 6)
			s.run(2 * time.Second)
			s.update(DeltaUpdate, Ready, 0)
		},
		"all draining, then restarted": func(s *slowStartService) {
			s.update(FullUpdate, Ready, 6)
			s.run(2 * time.Second)
			s.update(DeltaUpdate, Draining, 6)
			s.run(2 * time.Second)
			s.update(FullUpdate, Ready, 0)
		},
		"empty full update, then all endpoints": func(s *slowStartService) {
			s.update(FullUpdate, Ready, 6)
			s.run(2 * time.Second)
			s.balancer.UpdateEndpoints(s.now, FullUpdate, nil)
			s.run(2 * time.Second)
			s.update(FullUpdate, Ready, 0)
		},
		"half of them removed, then restarted": func(s *slowStartService) {
			s.update(FullUpdate, Ready, 6)
			s.run(2 * time.Second)
			list := ready(1, 2, 3)
			s.balancer.UpdateEndpoints(s.now, FullUpdate, list)
			s.run(2 * time.Second)
			s.update(FullUpdate, Ready, 3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSlowStartService(t, slowStartServiceConfig())
			prepare(s)
			n := s.run(serviceWindow)
			t.Logf("%d requests served", n)
			if n < minServedInWindow {
				t.Errorf("%d requests served in %v, want at least %d", n, serviceWindow, minServedInWindow)
			}
			for id := EndpointID(1); id <= 6; id++ {
				if !slices.ContainsFunc(s.served, func(a sentAttempt) bool { return a.to == id }) {
					t.Errorf("endpoint %d served no request, want at least one", id)
				}
			}
		})
	}
}

// All endpoints start at once, either while the balancers' lists are empty or before the balancers start. All balancers
// together must not overload any endpoint in slow start.
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
				// Large fleets need fewer runs, because each run averages over many balancers.
				for seed := range uint64(1 + 60/(balancers+20)) {
					run := newSlowStartRun(t, fleet, seed)
					run.run()
					highest = max(highest, run.maxOverload())
				}
				t.Logf("highest load %.2f", highest)
				if highest > 1 {
					t.Errorf("load of an endpoint in slow start = %.2f of what makes it fail, want at most 1", highest)
				}
			})
		}
	}
}

// All endpoints of a balancer's subset had just started. The only established endpoint was outside of the subset and got
// no requests until the traffic had been measured and the subset selected again. It must get requests from the beginning.
func TestEstablishedEndpointServesBesideThoseInSlowStart(t *testing.T) {
	for balancer := range 6 {
		for name, tenants := range map[string][]Tenant{
			"known quota":   {{Weight: 1, Quota: 20}},
			"unknown quota": nil,
		} {
			t.Run(fmt.Sprintf("balancer=%d/%s", balancer, name), func(t *testing.T) {
				cfg := slowStartServiceConfig()
				cfg.Tenants, cfg.Balancers, cfg.Index = tenants, 6, balancer
				s := newSlowStartService(t, cfg)
				s.update(FullUpdate, Ready, 1)
				const period, sequential = 300 * ms, int(300 * ms / serviceTime)
				if n := s.run(period); n < sequential/2 {
					t.Errorf("%d requests served in the first %v, want at least half of the %d that one endpoint can serve one at a time",
						n, period, sequential)
				}
			})
		}
	}
}
