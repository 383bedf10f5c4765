package fleetsim

import (
	"time"

	"cranehatch/policy"
)

// attempt is one attempt of a request at a server.
type attempt struct {
	server  *simServer
	request *request
	index   int  // in the request's attempts
	ended   bool // for the sidecar
}

// Send starts an attempt.
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

// Cancel cancels an attempt. If it is executing at the server, it is executed to its end.
func (s *simSidecar) Cancel(id policy.RequestID, n int) {
	if r := s.lookup(id); r != nil {
		s.sim.clock.after(0, func() { s.endAttempt(r.attempts[n], policy.Cancelled) })
	}
}

// endAttempt reports to the Balancer how an attempt ended, once.
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
	started := s.startCPU()
	s.balancer.Outcome(sim.clock.now, policy.Outcome{RequestID: r.id, Attempt: a.index, Result: result, Answered: answered})
	s.chargeRequest(started)
	s.removeIfEnded(r)
}

// answerClient passes the response of a server to the client, unless the request has ended.
func (s *simSidecar) answerClient(r *request) {
	if r.done {
		return
	}
	r.done = true
	s.sim.countAnswered(r.call.class, s.sim.clock.now-r.call.startedAt)
}
