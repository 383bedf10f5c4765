package fleetsim

import (
	"slices"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// The times of the real sidecar's client of discovery.
const (
	maxWatchTime      = 20 * time.Second       // that a watch may stay open
	firstPollWait     = time.Millisecond       // of a call that does not watch
	pollTimeout       = 6 * time.Second        // of a call that does not watch
	pollHedgeInterval = 2 * time.Second        // after which it is sent once more
	watchTimeoutSlack = 500 * time.Millisecond // how much longer than its time a watch may take
)

// endpointClient follows the endpoint list for a sidecar: it polls discovery once, and then watches for changes
// until a call fails.
type endpointClient struct {
	sidecar       *simSidecar
	version       int64 // of the list that the Balancer has, or noVersion
	requested     bool  // the Balancer wants the list to be followed
	following     bool
	synced        bool // a call has succeeded since following began
	watchTimedOut bool // the last watch had no response

	round     int // incremented for each new call and when it ends, to ignore responses of earlier ones
	openCalls []*listCall
}

// endpointPoll is what the client asks discovery for.
type endpointPoll struct {
	since   int64 // noVersion: the complete list
	maxWait time.Duration
	timeout time.Duration
	watch   bool // it waits for a change
}

// reset prepares the client of a sidecar that starts.
func (c *endpointClient) reset() {
	c.version = noVersion
	c.requested, c.following, c.synced, c.watchTimedOut = false, false, false, false
}

// start begins to follow the list, if the Balancer wants that.
func (c *endpointClient) start() {
	if c.sidecar.balancer == nil || c.following || !c.requested {
		return
	}
	c.requested, c.following, c.synced, c.watchTimedOut = false, true, false, false
	c.call()
}

// call calls discovery.
func (c *endpointClient) call() {
	poll := c.nextPoll()
	c.round++
	c.send(poll, c.round)
}

// nextPoll returns what to ask for: the complete list, the changes since the version that the Balancer has, or a
// watch of it.
func (c *endpointClient) nextPoll() endpointPoll {
	switch {
	case c.version < 0:
		return endpointPoll{since: noVersion, timeout: pollTimeout}
	case !c.synced || c.watchTimedOut:
		return endpointPoll{since: c.version, maxWait: firstPollWait, timeout: pollTimeout}
	}
	maxWait := maxWatchTime/2 + time.Duration(c.sidecar.sim.rng.Int64N(int64(maxWatchTime/2)))
	return endpointPoll{since: c.version, maxWait: maxWait, timeout: maxWait + watchTimeoutSlack, watch: true}
}

// send sends one call of a round. All but watches are sent again, as a hedge, until the round ends.
func (c *endpointClient) send(poll endpointPoll, round int) {
	sim, zone := c.sidecar.sim, c.sidecar.zone
	call := &listCall{zone: zone, since: poll.since, maxWait: poll.maxWait}
	c.openCalls = append(c.openCalls, call)
	call.respond = func(response listResponse, err error) {
		if c.round == round && !call.done {
			c.handleResponse(call, response, err)
		}
	}
	sim.counts.EndpointLists.Sent.add(wireBytes(listRequestBytes))
	sim.network.sendReliable(zone, 0, func() { sim.discovery.receive(call) })
	sim.clock.after(poll.timeout, func() {
		if c.round == round && !call.done {
			c.handleTimeout(call, poll.watch)
		}
	})
	if poll.watch {
		return
	}
	sim.clock.after(pollHedgeInterval, func() {
		if c.round == round {
			c.send(poll, round)
		}
	})
}

// handleResponse ends the round with a response, or with an error if no other call of it is open.
func (c *endpointClient) handleResponse(call *listCall, response listResponse, err error) {
	c.closeCall(call)
	if err != nil && len(c.openCalls) > 0 {
		return
	}
	c.cancelCalls()
	c.sidecar.sim.counts.EndpointLists.Received.add(wireBytes(listResponseHeadBytes + len(response.body)))
	if err != nil {
		c.fail()
		return
	}
	c.update(call.since, response)
}

// handleTimeout ends the round if no other call of it is open. After a watch it polls at once.
func (c *endpointClient) handleTimeout(call *listCall, watch bool) {
	c.closeCall(call)
	if len(c.openCalls) > 0 {
		return
	}
	c.cancelCalls()
	if watch {
		c.watchTimedOut = true
		c.call()
		return
	}
	c.fail()
}

// closeCall ends one call.
func (c *endpointClient) closeCall(call *listCall) {
	call.done = true
	c.openCalls = slices.DeleteFunc(c.openCalls, func(open *listCall) bool { return open == call })
}

// cancelCalls ends the round with all its calls.
func (c *endpointClient) cancelCalls() {
	c.round++
	for _, call := range c.openCalls {
		call.done = true
	}
	c.openCalls = nil
}

// update hands a list to the Balancer and calls discovery again.
func (c *endpointClient) update(since int64, response listResponse) {
	s, sim := c.sidecar, c.sidecar.sim
	started := s.startCPU()
	list, err := endpointlist.Parse(response.body, sim.zones)
	s.chargeControl(started)
	if err != nil || !list.Complete && since >= 0 && list.Version < c.version {
		c.version = noVersion
		c.fail()
		return
	}
	sim.counts.EntriesRead += int64(len(list.Endpoints))
	sim.addToDigest(digestList, s.index, uint64(list.Version))
	kind := policy.DeltaUpdate
	if list.Complete || since < 0 {
		kind = policy.FullUpdate
	}
	s.recordDrainNotices(list.Endpoints, kind)
	c.synced, c.watchTimedOut, c.version = true, false, list.Version
	started = s.startCPU()
	s.balancer.UpdateEndpoints(sim.clock.now, kind, list.Endpoints)
	s.chargeControl(started)
	c.call()
}

// fail reports a failed call to the Balancer, which decides when to call again.
func (c *endpointClient) fail() {
	c.following = false
	s := c.sidecar
	started := s.startCPU()
	s.balancer.UpdateEndpoints(s.sim.clock.now, policy.UpdateFailed, nil)
	s.chargeControl(started)
	c.start()
}

// recordDrainNotices records which servers drain or are gone by an update, for NoSendWhileDraining.
func (s *simSidecar) recordDrainNotices(endpoints []policy.Endpoint, kind policy.UpdateKind) {
	listed := make(map[policy.EndpointID]bool)
	for _, e := range endpoints {
		listed[e.ID] = true
		if e.State == policy.Ready {
			delete(s.drainNotices, e.ID)
			continue
		}
		s.recordDrainNotice(e.ID)
	}
	if kind != policy.FullUpdate {
		return
	}
	for _, server := range s.sim.servers {
		if !listed[server.id] {
			s.recordDrainNotice(server.id)
		}
	}
}

// recordDrainNotice records that a server drains or is gone, if the sidecar did not know that before.
func (s *simSidecar) recordDrainNotice(id policy.EndpointID) {
	if _, notified := s.drainNotices[id]; !notified {
		s.drainNotices[id] = s.sim.clock.now
	}
}
