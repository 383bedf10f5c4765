package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartFleet describes a fleet of balancers that send to the same endpoints, some of which are in slow start.
type slowStartFleet struct {
	balancers          int
	established        int     // endpoints that started long ago
	starting           int     // endpoints in slow start
	load               float64 // request rate, as a fraction of the quotas
	trafficSpread      float64 // standard deviation of the logarithm of the balancers' request rates; 0: equal rates
	rejectedFraction   float64 // fraction of the attempts at established endpoints that are rejected, and then retried
	unknownQuota       bool    // no tenants, so the capacity of the endpoints cannot be derived from quotas
	balancersRestarted bool    // all balancers start after the endpoints, with a list that has the starting endpoints
}

const (
	slowStartStep    = 5 * ms           // time step of the simulation
	slowStartLatency = 30 * ms          // latency of a successful attempt
	overloadWindow   = 2 * time.Second  // an endpoint fails if it is overloaded over this time
	endpointCapacity = 9.0              // requests per second after slow start
	quotaFraction    = 0.95             // quotas of all tenants, as a fraction of the capacity of all endpoints
	endpointsStartAt = 10 * time.Second // when the starting endpoints start
)

// fleetBalancer is one balancer of a slowStartRun.
type fleetBalancer struct {
	*Balancer
	host           *fakeHost
	processedSends int     // number of host.sends whose outcomes are scheduled
	requestRate    float64 // fraction of the sum of all balancers' rates
}

// fleetOutcome is the outcome of an attempt, passed to its balancer when it is due.
type fleetOutcome struct {
	at       time.Duration
	balancer *fleetBalancer
	id       RequestID
	attempt  int
	result   Result
}

// slowStartRun simulates a slowStartFleet, and records the attempts of all balancers at each starting endpoint.
type slowStartRun struct {
	fleet     slowStartFleet
	cfg       Config
	rng       *rand.Rand
	balancers []*fleetBalancer
	quota     float64 // requests per second over all tenants

	established, starting []Endpoint
	startingIndex         map[EndpointID]int // index in starting
	notified              bool               // the balancers have been notified of the starting endpoints

	nextID   RequestID
	attempts map[RequestID]int // attempts sent so far for each request
	outcomes []fleetOutcome    // ordered by time
	arrivals [][]time.Duration // times of the attempts at each starting endpoint
	retries  int               // number of retries among these attempts
}

// newSlowStartRun makes a simulation of a fleet with its balancers and endpoints.
func newSlowStartRun(t *testing.T, fleet slowStartFleet, seed uint64) *slowStartRun {
	t.Helper()
	r := &slowStartRun{
		fleet:         fleet,
		cfg:           largeFleetConfig(fleet.balancers),
		rng:           rand.New(rand.NewPCG(seed, 9)),
		quota:         quotaFraction * endpointCapacity * float64(fleet.established+fleet.starting),
		startingIndex: map[EndpointID]int{},
		attempts:      map[RequestID]int{},
		arrivals:      make([][]time.Duration, fleet.starting),
	}
	r.cfg.PollsEndpoints, r.cfg.CrossZoneCost = false, 0
	for i := range r.cfg.Tenants {
		r.cfg.Tenants[i].Quota = r.cfg.Tenants[i].Weight * r.quota
	}
	if fleet.unknownQuota {
		r.cfg.Tenants = nil
	}
	r.addEndpoints()
	r.addBalancers(t, seed)
	return r
}

func (r *slowStartRun) addEndpoints() {
	for i := range r.fleet.starting + r.fleet.established {
		e := Endpoint{ID: EndpointID(0x9e3779b97f4a7c15 * uint64(i+1)), State: Ready, Weight: 1}
		if i >= r.fleet.starting {
			r.established = append(r.established, e)
			continue
		}
		e.StartedAt = endpointsStartAt
		r.startingIndex[e.ID] = i
		r.starting = append(r.starting, e)
	}
}

// startTime returns when the balancers start.
func (r *slowStartRun) startTime() time.Duration {
	if r.fleet.balancersRestarted {
		return endpointsStartAt + 200*ms
	}
	return endpointsStartAt - 4*time.Second
}

func (r *slowStartRun) addBalancers(t *testing.T, seed uint64) {
	t.Helper()
	rates, sum := make([]float64, r.fleet.balancers), 0.0
	for i := range rates {
		rates[i] = math.Exp(r.fleet.trafficSpread * r.rng.NormFloat64())
		sum += rates[i]
	}
	list := r.established
	if r.fleet.balancersRestarted {
		list = slices.Concat(r.starting, r.established)
		r.notified = true
	}
	for i, rate := range rates {
		r.cfg.Index = i
		h := newFakeHost()
		b, err := New(r.cfg, seed<<20+uint64(i), h)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(r.startTime())
		b.UpdateEndpoints(r.startTime(), CachedUpdate, list)
		r.balancers = append(r.balancers, &fleetBalancer{Balancer: b, host: h, requestRate: rate / sum})
	}
}

// run simulates until the slow start is over.
func (r *slowStartRun) run() {
	for now := r.startTime(); now < endpointsStartAt+r.cfg.SlowStartDuration; now += slowStartStep {
		r.notify(now)
		r.passOutcomes(now)
		for i, b := range r.balancers {
			r.submitRequests(now, b)
			if (now/slowStartStep+time.Duration(i))%4 == 0 {
				b.TimerFired(now)
			}
		}
		for _, b := range r.balancers {
			r.scheduleOutcomes(now, b)
		}
	}
}

// notify notifies all balancers of the starting endpoints at the same time, 300 ms after these have started.
func (r *slowStartRun) notify(now time.Duration) {
	if r.notified || now < endpointsStartAt+300*ms {
		return
	}
	r.notified = true
	for _, b := range r.balancers {
		b.UpdateEndpoints(now, DeltaUpdate, r.starting)
	}
}

// passOutcomes passes the outcomes that are due to their balancers.
func (r *slowStartRun) passOutcomes(now time.Duration) {
	for len(r.outcomes) > 0 && r.outcomes[0].at <= now {
		o := r.outcomes[0]
		r.outcomes = r.outcomes[1:]
		finish(o.balancer.Balancer, now, o.id, o.attempt, o.result)
	}
}

// submitRequests passes a balancer its random number of requests of one step.
func (r *slowStartRun) submitRequests(now time.Duration, b *fleetBalancer) {
	expected := r.quota * r.fleet.load * b.requestRate * slowStartStep.Seconds()
	for expected > 0 && r.rng.Float64() < expected {
		expected--
		b.Request(now, Request{ID: r.nextID, Class: r.rng.IntN(2), Tenant: r.rng.IntN(3), Timeout: 2 * time.Second})
		r.nextID++
	}
}

// scheduleOutcomes schedules the outcomes of the attempts that a balancer has sent since the last call, and records the
// attempts at starting endpoints.
func (r *slowStartRun) scheduleOutcomes(now time.Duration, b *fleetBalancer) {
	for ; b.processedSends < len(b.host.sends); b.processedSends++ {
		s := b.host.sends[b.processedSends]
		o := fleetOutcome{now + slowStartLatency, b, s.id, r.attempts[s.id], Succeeded}
		r.attempts[s.id]++
		if i, starting := r.startingIndex[s.to]; starting {
			r.arrivals[i] = append(r.arrivals[i], now)
			if o.attempt > 0 {
				r.retries++
			}
		} else if r.rng.Float64() < r.fleet.rejectedFraction {
			o.at, o.result = now+slowStartStep, Rejected
		}
		r.insertOutcome(o)
	}
}

// insertOutcome inserts an outcome behind those that are due at the same time.
func (r *slowStartRun) insertOutcome(o fleetOutcome) {
	byTime := func(other fleetOutcome, at time.Duration) int { return int(other.at - at) }
	at, _ := slices.BinarySearchFunc(r.outcomes, o.at+1, byTime)
	r.outcomes = slices.Insert(r.outcomes, at, o)
}

// maxOverload returns the highest number of attempts that any starting endpoint got in any window, as a fraction of the
// number above which the endpoint fails: its capacity at the beginning of the window times the overload factor, plus a
// margin for random variation.
func (r *slowStartRun) maxOverload() (highest float64) {
	for _, times := range r.arrivals {
		for first, last := 0, 0; first < len(times); first++ {
			for last < len(times) && times[last] < times[first]+overloadWindow {
				last++
			}
			age := float64(times[first]-endpointsStartAt) / float64(r.cfg.SlowStartDuration)
			capacityFraction := r.cfg.SlowStartFraction + (1-r.cfg.SlowStartFraction)*age
			limit := r.cfg.OverloadFactor * endpointCapacity * overloadWindow.Seconds() * capacityFraction
			highest = max(highest, float64(last-first)/(limit+2*math.Sqrt(limit)+2))
		}
	}
	return highest
}

// The attempts of all balancers together must not overload an endpoint in slow start, so each balancer has to send slowly
// enough: with few and with many balancers, with even and uneven traffic, in a fleet that has just been restarted and has
// received no gossip yet, and for retries as well as first attempts.
func TestSlowStartOverFleet(t *testing.T) {
	for _, balancers := range []int{2, 20, 30, 300} {
		for _, c := range []struct {
			name  string
			fleet slowStartFleet
		}{
			{"even traffic", slowStartFleet{established: 26, starting: 4, load: 1.2}},
			{"uneven traffic", slowStartFleet{established: 26, starting: 4, load: 1.5, trafficSpread: 1.5}},
			{"half of the endpoints", slowStartFleet{established: 15, starting: 15, load: 1, trafficSpread: 1}},
			{"balancers restarted",
				slowStartFleet{established: 26, starting: 4, load: 1, trafficSpread: 1, balancersRestarted: true}},
			{"balancers and most endpoints restarted",
				slowStartFleet{established: 10, starting: 20, load: 1.2, trafficSpread: 1, balancersRestarted: true}},
			{"retries", slowStartFleet{established: 20, starting: 10, load: 1, trafficSpread: 1, rejectedFraction: 0.3}},
			{"many endpoints", slowStartFleet{established: 180, starting: 20, load: 1.2, trafficSpread: 1}},
			{"many retries", slowStartFleet{established: 27, starting: 3, load: 2, trafficSpread: 1.5, rejectedFraction: 0.9}},
			{"many retries, balancers restarted", slowStartFleet{established: 27, starting: 3, load: 2, trafficSpread: 1.5,
				rejectedFraction: 0.9, balancersRestarted: true}},
			{"many retries, even traffic", slowStartFleet{established: 27, starting: 3, load: 2, rejectedFraction: 0.9}},
			{"unknown quota", slowStartFleet{established: 26, starting: 4, load: 1, trafficSpread: 1, unknownQuota: true}},
			{"unknown quota, retries", slowStartFleet{established: 27, starting: 3, load: 1, trafficSpread: 1,
				rejectedFraction: 0.3, unknownQuota: true}},
			{"unknown quota, retries, all restarted", slowStartFleet{established: 10, starting: 20, load: 1, trafficSpread: 1,
				rejectedFraction: 0.3, unknownQuota: true, balancersRestarted: true}},
		} {
			c.fleet.balancers = balancers
			t.Run(fmt.Sprintf("balancers=%d/%s", balancers, c.name), func(t *testing.T) {
				highest, retries := math.Inf(-1), 0
				// Large fleets need fewer runs, because each run averages over many balancers.
				for seed := range uint64(1 + 60/(balancers+20)) {
					run := newSlowStartRun(t, c.fleet, seed)
					run.run()
					highest, retries = max(highest, run.maxOverload()), retries+run.retries
				}
				t.Logf("highest load %.2f, %d retries", highest, retries)
				if highest > 1 {
					t.Errorf("load of an endpoint in slow start = %.2f of what makes it fail, want at most 1", highest)
				}
			})
		}
	}
}
