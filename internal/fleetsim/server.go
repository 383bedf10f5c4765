package fleetsim

import (
	"math"
	"slices"
	"time"

	"cranehatch/policy"
)

const (
	// slowStartWindow is the length of the windows of a slow start. Each window has its own budget of
	// requests.
	slowStartWindow = 1 * time.Second

	// constantServiceFraction is the constant part of a service time, as a fraction of the mean.
	constantServiceFraction = 0.25

	// exponentialServiceFraction is the mean of the exponentially distributed part of a service time, as a
	// fraction of the mean.
	exponentialServiceFraction = 0.75

	// overloadSlowdownTenths is the factor, in tenths, by which an overload lengthens service times.
	overloadSlowdownTenths = 25
)

// simServer is a simulated server.
type simServer struct {
	sim         *Simulation
	name        string // instanceId in the endpoint list
	id          policy.EndpointID
	zone        int
	startedAt   time.Duration // 0 if the server was up before the simulation started
	incarnation int           // incremented at each start and stop
	down        bool          // the process is not running
	hostFailed  bool          // the host has failed too, so connections are not even reset

	queue              []*attempt    // attempts in flight, in the order of arrival
	executing          int           // number of attempts being executed, which are the first ones in queue
	overThresholdSince time.Duration // when the queue exceeded the overload threshold; 0 if it is not above
	lastCompletion     time.Duration
	overloaded         bool

	slowStart     slowStartCounter
	drainingSince time.Duration // when discovery listed the server as draining or removed; 0 if it is ready
}

// slowStartCounter counts the requests that a server receives in the current window of its slow start.
type slowStartCounter struct{ window, requests int }

// capacity returns the capacity of the server at the given age, as a fraction of its full capacity.
func (server *simServer) capacity(age time.Duration) float64 {
	policyConfig := &server.sim.config.Policy
	if server.startedAt == 0 || age >= policyConfig.SlowStartDuration {
		return 1
	}
	return policyConfig.SlowStartFraction + (1-policyConfig.SlowStartFraction)*float64(age)/float64(policyConfig.SlowStartDuration)
}

// slowStartBudget returns how many requests a server in slow start may receive in a window: OverloadFactor
// times the number that it can execute, plus two standard deviations and two requests to allow for random
// arrivals.
func (server *simServer) slowStartBudget(window int) float64 {
	config := &server.sim.config
	middle := time.Duration(window)*slowStartWindow + slowStartWindow/2
	expected := config.Policy.OverloadFactor * server.capacity(middle) *
		float64(config.Server.Cores) * float64(slowStartWindow) / float64(config.Server.ServiceTime)
	return expected + 2*math.Sqrt(expected) + 2
}

// countSlowStartRequest counts a request received during slow start and checks SlowStartBudget. A server that
// exceeds its budget becomes overloaded.
func (server *simServer) countSlowStartRequest() {
	policyConfig, age := &server.sim.config.Policy, server.sim.clock.now-server.startedAt
	if server.startedAt == 0 || age >= policyConfig.SlowStartDuration || policyConfig.OverloadFactor == 0 {
		return
	}
	counter := &server.slowStart
	if window := int(age / slowStartWindow); window != counter.window {
		*counter = slowStartCounter{window: window}
	}
	counter.requests++
	if float64(counter.requests) > server.slowStartBudget(counter.window) {
		server.sim.recordViolation(SlowStartBudget, "server %s received %d requests in window %d of its slow start",
			server.name, counter.requests, counter.window)
		server.overloaded = true
	}
}

// receive handles an attempt that has arrived.
func (server *simServer) receive(a *attempt) {
	server.sim.counts.ServerAttempts.Received.add(requestBytes)
	switch {
	case server.hostFailed: // no response, not even a connection reset
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

// startExecutions starts to execute queued attempts while a core is idle. It ends an overload if the server
// has been idle for long enough.
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

// drawServiceTime draws the service time of the next request.
func (server *simServer) drawServiceTime() time.Duration {
	sim := server.sim
	factor := constantServiceFraction + exponentialServiceFraction*sim.rng.ExpFloat64()
	age := sim.clock.now - server.startedAt
	serviceTime := time.Duration(factor * float64(sim.config.Server.ServiceTime) / server.capacity(age))
	if server.overloaded {
		return serviceTime * overloadSlowdownTenths / 10
	}
	return serviceTime
}

// complete ends the execution of an attempt and sends the response. It updates the overload state and starts
// the next execution.
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

// cancel removes an attempt from the queue. An attempt that is being executed runs to completion.
func (server *simServer) cancel(a *attempt) {
	if i := slices.Index(server.queue, a); i >= server.executing {
		server.queue = slices.Delete(server.queue, i, i+1)
	}
}

// stop stops the process. Its connections are reset, unless the host has failed too.
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

// reportFailure reports to a sidecar that an attempt ended without a response. It schedules an event for
// this, because the Balancer may be in the middle of a call to Send.
func (server *simServer) reportFailure(a *attempt, result policy.Result) {
	s := a.request.sidecar
	server.sim.clock.after(0, func() {
		server.sim.network.sendOnce(server.zone, s.zone, func() { s.endAttempt(a, result) })
	})
}

// start starts a new process, which is in slow start.
func (server *simServer) start() {
	server.incarnation++
	server.down, server.hostFailed, server.overloaded = false, false, false
	server.startedAt, server.lastCompletion = server.sim.clock.now, server.sim.clock.now
	server.slowStart = slowStartCounter{}
}
