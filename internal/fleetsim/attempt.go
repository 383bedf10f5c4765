package fleetsim

import (
	"time"

	"cranehatch/policy"
)

// attempt is an attempt of a request at a server.
type attempt struct {
	server  *simServer
	request *request
	index   int  // in request.attempts
	ended   bool // whether the sidecar has recorded its result
}

// Send starts an attempt of a request.
func (s *simSidecar) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	r, sim := s.lookup(id), s.sim
	if r == nil {
		return
	}
	server := sim.serverByID[to]
	a := &attempt{server: server, request: r, index: len(r.attempts)}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	sim.addToDigest(digestSend, s.index, uint64(to))
	sim.checkSend(s, server)
	sim.clock.after(timeout, func() { s.endAttempt(a, policy.TimedOut) })
	sim.counts.Attempts.Sent.add(requestBytes)
	sim.network.sendOnce(s.zone, server.zone, func() { server.receive(a) })
}

// Cancel cancels an attempt. If the server is already executing it, the execution runs to completion.
func (s *simSidecar) Cancel(id policy.RequestID, attempt int) {
	if r := s.lookup(id); r != nil {
		s.sim.clock.after(0, func() { s.endAttempt(r.attempts[attempt], policy.Cancelled) })
	}
}

// endAttempt records the result of an attempt and reports it to the Balancer. Further results of the same
// attempt are ignored.
func (s *simSidecar) endAttempt(a *attempt, result policy.Result) {
	sim, r := s.sim, a.request
	if a.ended || s.incarnation != r.incarnation {
		return
	}
	a.ended = true
	if result == policy.Succeeded {
		sim.counts.Attempts.Received.add(responseBytes)
		s.answerClient(r)
	} else {
		sim.network.sendOnce(s.zone, a.server.zone, func() { a.server.cancel(a) })
	}
	r.inFlight--
	sim.addToDigest(digestAttemptEnd+digestEvent(result), s.index, uint64(r.id))
	answered := r.done
	started := s.startCPUTimer()
	s.balancer.Outcome(sim.clock.now, policy.Outcome{RequestID: r.id, Attempt: a.index, Result: result, Answered: answered})
	s.addRequestCPU(started)
	s.removeIfEnded(r)
}

// answerClient passes the response of a server to the client, unless the request already has a response.
func (s *simSidecar) answerClient(r *request) {
	if r.done {
		return
	}
	r.done = true
	s.sim.countAnswered(r.call.class, s.sim.clock.now-r.call.startedAt)
}
