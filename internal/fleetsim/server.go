package fleetsim

import (
	"math"
	"slices"
	"time"

	"cranehatch/policy"
)

const (
	// slowStartWindow is the time for which a server in slow start has one budget of requests.
	slowStartWindow = 1 * time.Second

	// A service time has a constant part and an exponentially distributed one, as fractions of the mean.
	constantServiceFraction    = 0.25
	exponentialServiceFraction = 0.75

	// An overloaded server takes overloadFactorTenths/10 of the usual time.
	overloadFactorTenths = 25
)

// simServer is a simulated server.
type simServer struct {
	sim         *Simulation
	name        string // its instanceId
	id          policy.EndpointID
	zone        int
	startedAt   time.Duration // 0 for servers that were up before the simulation
	incarnation int           // incremented at each start and stop
	down        bool          // the process has stopped
	hostFailed  bool          // the host too, so that it does not even reset connections

	queue              []*attempt // in flight, in the order of arrival
	executing          int        // the first so many of the queue are executing, each on a core
	overThresholdSince time.Duration
	lastCompletion     time.Duration
	overloaded         bool

	slowStart     slowStartCounter
	drainingSince time.Duration // when discovery knew that it drains or is gone; 0 if it is ready
}

// slowStartCounter counts the requests of a server in the current window of its slow start.
type slowStartCounter struct{ window, requests int }

// capacity is the fraction of its full capacity that the server has at an age.
func (server *simServer) capacity(age time.Duration) float64 {
	p := &server.sim.config.Policy
	if server.startedAt == 0 || age >= p.SlowStartDuration {
		return 1
	}
	return p.SlowStartFraction + (1-p.SlowStartFraction)*float64(age)/float64(p.SlowStartDuration)
}

// slowStartBudget is how many requests a server in slow start may get in a window: OverloadFactor times what it can
// execute, and an allowance of two standard deviations and two for random arrivals.
func (server *simServer) slowStartBudget(window int) float64 {
	config := &server.sim.config
	middle := time.Duration(window)*slowStartWindow + slowStartWindow/2
	n := config.Policy.OverloadFactor * server.capacity(middle) *
		float64(config.Server.Cores) * float64(slowStartWindow) / float64(config.Server.ServiceTime)
	return n + 2*math.Sqrt(n) + 2
}

// countSlowStartRequest counts a request during the slow start, and checks SlowStartBudget.
func (server *simServer) countSlowStartRequest() {
	p, age := &server.sim.config.Policy, server.sim.clock.now-server.startedAt
	if server.startedAt == 0 || age >= p.SlowStartDuration || p.OverloadFactor == 0 {
		return
	}
	counter := &server.slowStart
	if window := int(age / slowStartWindow); window != counter.window {
		*counter = slowStartCounter{window: window}
	}
	counter.requests++
	if float64(counter.requests) > server.slowStartBudget(counter.window) {
		server.sim.recordViolation(SlowStartBudget, "server %s got %d requests in second %d after its start",
			server.name, counter.requests, counter.window)
		server.overloaded = true
	}
}

// receive takes an attempt that has arrived.
func (server *simServer) receive(a *attempt) {
	server.sim.counts.ServerAttempts.Received.add(requestBytes)
	switch {
	case server.hostFailed: // no response, not even a reset
		return
	case server.down:
		server.reportFailure(a, policy.ConnectFailed)
		return
	}
	server.countSlowStartRequest()
	server.queue = append(server.queue, a)
	if server.aboveThreshold() && server.overThresholdSince == 0 {
		server.overThresholdSince = server.sim.clock.now
	}
	server.startExecutions()
}

// aboveThreshold reports whether the queue is long enough to cause an overload.
func (server *simServer) aboveThreshold() bool {
	config := &server.sim.config.Server
	return len(server.queue) > config.OverloadQueue*config.Cores
}

// startExecutions begins to execute queued attempts as long as a core is idle.
func (server *simServer) startExecutions() {
	sim := server.sim
	for !server.down && server.executing < min(sim.config.Server.Cores, len(server.queue)) {
		if sim.clock.now-server.lastCompletion > sim.config.Server.RecoveryIdleTime && server.executing == 0 {
			server.overloaded = false
		}
		serviceTime := server.drawServiceTime()
		a, incarnation := server.queue[server.executing], server.incarnation
		server.executing++
		sim.executionStarted(a)
		sim.clock.after(serviceTime, func() {
			if server.incarnation == incarnation {
				server.complete(a)
			}
		})
	}
}

// drawServiceTime draws how long the next request takes.
func (server *simServer) drawServiceTime() time.Duration {
	sim := server.sim
	factor := constantServiceFraction + exponentialServiceFraction*sim.rng.ExpFloat64()
	age := sim.clock.now - server.startedAt
	serviceTime := time.Duration(factor * float64(sim.config.Server.ServiceTime) / server.capacity(age))
	if server.overloaded {
		return serviceTime * overloadFactorTenths / 10
	}
	return serviceTime
}

// complete responds to an attempt that was executed.
func (server *simServer) complete(a *attempt) {
	sim := server.sim
	server.executing--
	server.lastCompletion = sim.clock.now
	i := slices.Index(server.queue, a)
	server.queue = slices.Delete(server.queue, i, i+1)
	if !server.aboveThreshold() {
		server.overThresholdSince = 0
	} else if sim.clock.now-server.overThresholdSince > sim.config.Server.OverloadDelay {
		server.overloaded = true
	}
	sim.counts.ServerAttempts.Sent.add(responseBytes)
	s := a.request.sidecar
	sim.network.sendOnce(server.zone, s.zone, func() { s.endAttempt(a, policy.Succeeded) })
	server.startExecutions()
}

// cancel removes an attempt from the queue, unless it is executing: then it is executed to its end.
func (server *simServer) cancel(a *attempt) {
	if i := slices.Index(server.queue, a); i >= server.executing {
		server.queue = slices.Delete(server.queue, i, i+1)
	}
}

// stop ends the process. Its connections are reset, unless the host has failed too.
func (server *simServer) stop(hostFailed bool) {
	server.down, server.hostFailed = true, hostFailed
	server.incarnation++
	if !hostFailed {
		for _, a := range server.queue {
			server.reportFailure(a, policy.ConnectionLost)
		}
	}
	server.queue, server.executing, server.overThresholdSince = nil, 0, 0
}

// reportFailure reports to a sidecar that an attempt ended without a response. It is an event of its own, as the
// Balancer may be in a call of Send.
func (server *simServer) reportFailure(a *attempt, result policy.Result) {
	s := a.request.sidecar
	server.sim.clock.after(0, func() {
		server.sim.network.sendOnce(server.zone, s.zone, func() { s.endAttempt(a, result) })
	})
}

// start begins a new process, in slow start.
func (server *simServer) start() {
	server.incarnation++
	server.down, server.hostFailed, server.overloaded = false, false, false
	server.startedAt, server.lastCompletion = server.sim.clock.now, server.sim.clock.now
	server.slowStart = slowStartCounter{}
}
