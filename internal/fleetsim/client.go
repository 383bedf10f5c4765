package fleetsim

import (
	"time"

	"cranehatch/policy"
)

const (
	// clientTimeout is the time after which a client gives up, from each of its tries.
	clientTimeout = 1 * time.Second

	// clientRetries is how often a client sends a rejected request again, each time after clientRetryDelay.
	clientRetries    = 2
	clientRetryDelay = time.Millisecond

	// maxKey bounds the keys of requests. Small keys are more frequent.
	maxKey = 200
)

// clientCall is what a client wants. It sends it as a request, and again if that is rejected.
type clientCall struct {
	class, tenant int
	key           uint64
	startedAt     time.Duration
	executions    int // that servers have started
}

// request is one try of a clientCall, as the Balancer gets it.
type request struct {
	call             *clientCall
	id               policy.RequestID
	sidecar          *simSidecar
	incarnation      int // of the sidecar
	remainingRetries int
	attempts         []*attempt
	inFlight         int // attempts
	done             bool
}

// scheduleClientCall schedules the next call of a client: they are a Poisson process.
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

// drawClientCall draws the class, the tenant and the key of a call.
func (sim *Simulation) drawClientCall() *clientCall {
	call := &clientCall{class: sim.drawClass(), startedAt: sim.clock.now}
	call.tenant = sim.rng.IntN(max(1, len(sim.config.Policy.Tenants)))
	call.key = 1 + uint64(maxKey*sim.rng.Float64()*sim.rng.Float64())
	return call
}

// drawClass draws a class by Config.ClassMix.
func (sim *Simulation) drawClass() int {
	x, sum := sim.rng.Float64(), 0.0
	for class := len(sim.config.ClassMix) - 1; class > 0; class-- {
		if sum += sim.config.ClassMix[class]; x < sum {
			return class
		}
	}
	return 0
}

// submit hands a try of a call to the Balancer.
func (s *simSidecar) submit(call *clientCall, remainingRetries int) {
	sim := s.sim
	sim.lastRequest++
	sim.counts.BalancerRequests++
	if s.highRate {
		sim.counts.HighRateBalancerRequests++
	}
	r := &request{call: call, id: sim.lastRequest, sidecar: s, incarnation: s.incarnation, remainingRetries: remainingRetries}
	s.requests[r.id] = r
	sim.addToDigest(digestRequest, s.index, uint64(r.id))
	s.checkResponseInTime(r)
	started := s.startCPU()
	s.balancer.Request(sim.clock.now, policy.Request{
		ID: r.id, Class: call.class, Tenant: call.tenant, Timeout: clientTimeout,
		ClientRetry: remainingRetries < clientRetries, Key: call.key,
	})
	s.chargeRequest(started)
}

// checkResponseInTime checks SingleResponse after the client's timeout.
func (s *simSidecar) checkResponseInTime(r *request) {
	s.sim.clock.after(clientTimeout+responseSlack, func() {
		if !r.done && s.incarnation == r.incarnation {
			s.sim.recordViolation(SingleResponse, "request %d of sidecar %d has no response", r.id, s.index)
		}
	})
}

// finish ends a request with a response of the Balancer. It returns false, and records a violation, if the request
// has ended before.
func (s *simSidecar) finish(r *request) bool {
	if r.done {
		s.sim.recordViolation(SingleResponse, "request %d of sidecar %d has a second response", r.id, s.index)
		return false
	}
	r.done = true
	s.removeIfEnded(r)
	return true
}

// removeIfEnded removes a request that has ended and has no attempt in flight.
func (s *simSidecar) removeIfEnded(r *request) {
	if r.done && r.inFlight == 0 {
		delete(s.requests, r.id)
	}
}

// lookup returns the request with an id that the Balancer uses. It returns nil, and records a violation, if there is
// none in progress.
func (s *simSidecar) lookup(id policy.RequestID) *request {
	r := s.requests[id]
	if r == nil {
		s.sim.recordViolation(SingleResponse, "sidecar %d uses request %d, which has ended", s.index, id)
	}
	return r
}

// Reject ends a request that was shed. Its client ignores the retry delay, and retries as often as clientRetries.
func (s *simSidecar) Reject(id policy.RequestID, _ time.Duration) {
	r := s.lookup(id)
	if r == nil || !s.finish(r) {
		return
	}
	sim, call := s.sim, r.call
	sim.addToDigest(digestReject, s.index, uint64(id))
	if call.executions > 0 && sim.nonIdempotent(call.class) {
		sim.recordViolation(AtMostOnce, "request %d was executed and rejected", id)
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

// Fail ends a request with an error. Its client does not retry.
func (s *simSidecar) Fail(id policy.RequestID) {
	r := s.lookup(id)
	if r == nil || !s.finish(r) {
		return
	}
	s.sim.addToDigest(digestFail, s.index, uint64(id))
	s.sim.countFailed(r.call.class)
}
