package fleetsim

import (
	"time"

	"cranehatch/policy"
)

const (
	// clientTimeout is how long a client waits for the response to each of its requests.
	clientTimeout = 1 * time.Second

	// clientRetries is how often a client retries a rejected request.
	clientRetries = 2

	// clientRetryDelay is the time from a rejection to the client retry.
	clientRetryDelay = time.Millisecond

	// maxKey is the upper bound of request keys, of which small ones are more frequent.
	maxKey = 200
)

// clientCall is a call that a client makes. The client sends it as a request, and as a new request for each
// client retry.
type clientCall struct {
	class, tenant int
	key           uint64
	startedAt     time.Duration
	executions    int // number of executions that servers have started
}

// request is a request of a clientCall, as passed to the Balancer: the first one or a client retry.
type request struct {
	call             *clientCall
	id               policy.RequestID
	sidecar          *simSidecar
	incarnation      int // of the sidecar when it received the request
	remainingRetries int // client retries
	attempts         []*attempt
	inFlight         int  // number of attempts in flight
	done             bool // whether the request has its response
}

// scheduleClientCall schedules the next client call. The calls of a sidecar's clients are a Poisson process.
func (s *simSidecar) scheduleClientCall() {
	if s.requestRate == 0 {
		return
	}
	sim, incarnation := s.sim, s.incarnation
	interval := time.Duration(sim.rng.ExpFloat64() / s.requestRate * float64(time.Second))
	sim.clock.after(interval, func() {
		if s.incarnation != incarnation {
			return
		}
		call := sim.drawClientCall()
		sim.countRequest(call.class)
		s.submit(call, clientRetries)
		s.scheduleClientCall()
	})
}

// drawClientCall draws the class, the tenant and the key of a client call.
func (sim *Simulation) drawClientCall() *clientCall {
	call := &clientCall{class: sim.drawClass(), startedAt: sim.clock.now}
	call.tenant = sim.rng.IntN(max(1, len(sim.config.Policy.Tenants)))
	call.key = 1 + uint64(maxKey*sim.rng.Float64()*sim.rng.Float64())
	return call
}

// drawClass draws a class with the probabilities of Config.ClassMix.
func (sim *Simulation) drawClass() int {
	draw, sum := sim.rng.Float64(), 0.0
	for class := len(sim.config.ClassMix) - 1; class > 0; class-- {
		if sum += sim.config.ClassMix[class]; draw < sum {
			return class
		}
	}
	return 0
}

// submit passes a client call to the Balancer as a new request.
func (s *simSidecar) submit(call *clientCall, remainingRetries int) {
	sim := s.sim
	sim.lastRequestID++
	sim.counts.BalancerRequests++
	if s.highRate {
		sim.counts.HighRateBalancerRequests++
	}
	r := &request{call: call, id: sim.lastRequestID, sidecar: s, incarnation: s.incarnation, remainingRetries: remainingRetries}
	s.requests[r.id] = r
	sim.addToDigest(digestRequest, s.index, uint64(r.id))
	s.checkResponseInTime(r)
	started := s.startCPUTimer()
	s.balancer.Request(sim.clock.now, policy.Request{
		ID: r.id, Class: call.class, Tenant: call.tenant, Timeout: clientTimeout,
		ClientRetry: remainingRetries < clientRetries, Key: call.key,
	})
	s.addRequestCPU(started)
}

// checkResponseInTime schedules the check of SingleResponse after the client's timeout.
func (s *simSidecar) checkResponseInTime(r *request) {
	s.sim.clock.after(clientTimeout+responseSlack, func() {
		if !r.done && s.incarnation == r.incarnation {
			s.sim.recordViolation(SingleResponse, "request %d of sidecar %d got no response", r.id, s.index)
		}
	})
}

// finish ends a request with a response of the Balancer. It records a violation and returns false if the
// request already has a response.
func (s *simSidecar) finish(r *request) bool {
	if r.done {
		s.sim.recordViolation(SingleResponse, "request %d of sidecar %d got a second response", r.id, s.index)
		return false
	}
	r.done = true
	s.removeIfEnded(r)
	return true
}

// removeIfEnded removes a request that has its response and no attempt in flight.
func (s *simSidecar) removeIfEnded(r *request) {
	if r.done && r.inFlight == 0 {
		delete(s.requests, r.id)
	}
}

// lookup returns the request in progress with the given ID. If there is none, it records a violation and
// returns nil.
func (s *simSidecar) lookup(id policy.RequestID) *request {
	r := s.requests[id]
	if r == nil {
		s.sim.recordViolation(SingleResponse, "sidecar %d used request %d, which is not in progress", s.index, id)
	}
	return r
}

// Reject ends a request that was shed. The client ignores the retry delay of the response: it retries up to
// clientRetries times, each time after clientRetryDelay.
func (s *simSidecar) Reject(id policy.RequestID, _ time.Duration) {
	r := s.lookup(id)
	if r == nil || !s.finish(r) {
		return
	}
	sim, call := s.sim, r.call
	sim.addToDigest(digestReject, s.index, uint64(id))
	if call.executions > 0 && sim.nonIdempotent(call.class) {
		sim.recordViolation(AtMostOnce, "request %d was rejected after an execution", id)
	}
	if r.remainingRetries == 0 || sim.clock.now-call.startedAt > clientTimeout {
		sim.countRejected(call.class)
		return
	}
	sim.clock.after(clientRetryDelay, func() {
		if s.incarnation == r.incarnation {
			s.submit(call, r.remainingRetries-1)
		}
	})
}

// Fail ends a request with an error, which the client does not retry.
func (s *simSidecar) Fail(id policy.RequestID) {
	r := s.lookup(id)
	if r == nil || !s.finish(r) {
		return
	}
	s.sim.addToDigest(digestFail, s.index, uint64(id))
	s.sim.countFailed(r.call.class)
}
