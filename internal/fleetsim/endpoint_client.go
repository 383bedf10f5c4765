package fleetsim

import (
	"slices"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// Times of discovery calls, the same as in the real sidecar's discovery client, except that the real client
// hedges polls of a pushed list at shorter intervals if the drain grace is below 4 s.
const (
	// maxWatchTime is the maximum time for which a watch is kept open.
	maxWatchTime = 20 * time.Second

	// pollWait is the maximum wait that a poll for changes requests. It is short, so that discovery answers
	// practically at once.
	pollWait = time.Millisecond

	// pollTimeout is the timeout of a poll.
	pollTimeout = 6 * time.Second

	// pollHedgeInterval is the time after which an unanswered poll is sent again.
	pollHedgeInterval = 2 * time.Second

	// watchGracePeriod is the time after the wait of a watch within which the watch has to be answered.
	watchGracePeriod = 500 * time.Millisecond
)

// endpointClient follows the endpoint list for a sidecar. It polls discovery once and then watches for
// changes until a call fails.
type endpointClient struct {
	sidecar       *simSidecar
	version       int64 // of the list that the Balancer has, or noVersion
	requested     bool  // the Balancer has requested to follow the list
	following     bool  // the client is calling discovery
	synced        bool  // a call has succeeded since following started
	watchTimedOut bool  // the last watch got no response

	// round is incremented when a round of calls starts and when it ends, so that responses to calls of
	// earlier rounds are ignored. A round consists of one call and its hedges.
	round int

	openCalls []*listCall // of the current round
}

// listQuery describes a call to discovery, either a poll or a watch.
type listQuery struct {
	sinceVersion int64 // noVersion requests the full list
	maxWait      time.Duration
	timeout      time.Duration
	watch        bool // whether the call waits for a change
}

// reset prepares the client for the start of its sidecar.
func (c *endpointClient) reset() {
	c.version = noVersion
	c.requested, c.following, c.synced, c.watchTimedOut = false, false, false, false
}

// start starts following the list, if the Balancer has requested it and the client is not following it yet.
func (c *endpointClient) start() {
	if c.sidecar.balancer == nil || c.following || !c.requested {
		return
	}
	c.requested, c.following, c.synced, c.watchTimedOut = false, true, false, false
	c.call()
}

// call starts a new round with a call to discovery.
func (c *endpointClient) call() {
	query := c.nextQuery()
	c.round++
	c.send(query, c.round)
}

// nextQuery returns the next call to make: a poll for the full list, a poll for the changes since the
// Balancer's version, or a watch for changes after that version.
func (c *endpointClient) nextQuery() listQuery {
	switch {
	case c.version < 0:
		return listQuery{sinceVersion: noVersion, timeout: pollTimeout}
	case !c.synced || c.watchTimedOut:
		return listQuery{sinceVersion: c.version, maxWait: pollWait, timeout: pollTimeout}
	}
	maxWait := maxWatchTime/2 + time.Duration(c.sidecar.sim.rng.Int64N(int64(maxWatchTime/2)))
	return listQuery{sinceVersion: c.version, maxWait: maxWait, timeout: maxWait + watchGracePeriod, watch: true}
}

// send sends one call of a round. A poll is hedged: it is sent again at intervals until the round ends.
func (c *endpointClient) send(query listQuery, round int) {
	sim, zone := c.sidecar.sim, c.sidecar.zone
	call := &listCall{zone: zone, sinceVersion: query.sinceVersion, maxWait: query.maxWait}
	c.openCalls = append(c.openCalls, call)
	call.respond = func(response listResponse, err error) {
		if c.round == round && !call.done {
			c.handleResponse(call, response, err)
		}
	}
	sim.counts.EndpointLists.Sent.add(wireBytes(listRequestBytes))
	sim.network.sendReliable(zone, 0, func() { sim.discovery.receive(call) })
	sim.clock.after(query.timeout, func() {
		if c.round == round && !call.done {
			c.handleTimeout(call, query.watch)
		}
	})
	if query.watch {
		return
	}
	sim.clock.after(pollHedgeInterval, func() {
		if c.round == round {
			c.send(query, round)
		}
	})
}

// handleResponse handles the response to a call. An error ends the round only if no other call of the round
// is open.
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
	c.update(call.sinceVersion, response)
}

// handleTimeout handles the timeout of a call. It ends the round if no other call of the round is open. After
// a watch that timed out, the client polls at once.
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

// closeCall marks a call as done.
func (c *endpointClient) closeCall(call *listCall) {
	call.done = true
	c.openCalls = slices.DeleteFunc(c.openCalls, func(open *listCall) bool { return open == call })
}

// cancelCalls ends the round and cancels all its open calls.
func (c *endpointClient) cancelCalls() {
	c.round++
	for _, call := range c.openCalls {
		call.done = true
	}
	c.openCalls = nil
}

// update passes a list to the Balancer and calls discovery again. An invalid list, or a delta whose version
// is older than the Balancer's, counts as a failed call, and the next call requests the full list.
func (c *endpointClient) update(sinceVersion int64, response listResponse) {
	s, sim := c.sidecar, c.sidecar.sim
	started := s.startCPUTimer()
	list, err := endpointlist.Parse(response.body, sim.zones)
	s.addControlCPU(started)
	if err != nil || !list.Full && sinceVersion >= 0 && list.Version < c.version {
		c.version = noVersion
		c.fail()
		return
	}
	sim.counts.EntriesRead += int64(len(list.Endpoints))
	sim.addToDigest(digestList, s.index, uint64(list.Version))
	kind := policy.DeltaUpdate
	if list.Full || sinceVersion < 0 {
		kind = policy.FullUpdate
	}
	s.recordDrainNotices(list.Endpoints, kind)
	c.synced, c.watchTimedOut, c.version = true, false, list.Version
	started = s.startCPUTimer()
	s.balancer.UpdateEndpoints(sim.clock.now, kind, list.Endpoints)
	s.addControlCPU(started)
	c.call()
}

// fail reports a failed call to the Balancer, which decides when to call discovery again.
func (c *endpointClient) fail() {
	c.following = false
	s := c.sidecar
	started := s.startCPUTimer()
	s.balancer.UpdateEndpoints(s.sim.clock.now, policy.UpdateFailed, nil)
	s.addControlCPU(started)
	c.start()
}

// recordDrainNotices records which servers an update reports as draining or removed, for NoSendWhileDraining.
// A full update reports a server as removed by omitting it.
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

// recordDrainNotice records when the sidecar was first notified that a server is draining or removed.
func (s *simSidecar) recordDrainNotice(id policy.EndpointID) {
	if _, notified := s.drainNotices[id]; !notified {
		s.drainNotices[id] = s.sim.clock.now
	}
}
