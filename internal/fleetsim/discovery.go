package fleetsim

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"cranehatch/policy"
)

// noVersion is the version of a caller that has no endpoint list. A call with it gets the full list.
const noVersion = int64(-1)

// cellCount is the number of cells, to which servers are assigned round robin.
const cellCount = 4

// serversPerSubnet is the number of servers that share the first three bytes of their IP addresses.
const serversPerSubnet = 250

// errUnavailable is the result of a call that discovery fails.
var errUnavailable = errors.New("discovery unavailable")

// simDiscovery is the simulated discovery service, in zone 0. It keeps the endpoint list of the service with
// a log of all changes, and processes one call at a time.
type simDiscovery struct {
	sim    *Simulation
	config DiscoveryConfig
	down   bool

	entries   []string               // JSON entry of each server
	states    []policy.EndpointState // state of each server
	changeLog []int                  // server index of each change; the change at v-1 created version v
	responses map[int64]listResponse // cached responses with the current list, by the version that the caller has

	queue      []*listCall // calls to be processed
	processing bool        // whether a call is being processed
	watches    []*listCall // calls that are kept open until the list changes
}

// listCall is a call of a sidecar to discovery. It requests the changes since a version, or the full
// list, and waits up to maxWait for a change.
type listCall struct {
	zone         int   // of the sidecar
	sinceVersion int64 // noVersion requests the full list
	maxWait      time.Duration
	queuedAt     time.Duration // when the call was last added to the queue
	done         bool          // whether it was answered, timed out or was cancelled
	respond      func(response listResponse, err error)
}

// listResponse is an encoded response.
type listResponse struct {
	body    []byte
	entries int // number of endpoint list entries in body
}

// newDiscovery creates a discovery service that lists all servers as ready.
func newDiscovery(sim *Simulation, config DiscoveryConfig) *simDiscovery {
	d := &simDiscovery{sim: sim, config: config, responses: make(map[int64]listResponse)}
	for i := range sim.servers {
		d.entries = append(d.entries, "")
		d.states = append(d.states, policy.Ready)
		d.changeLog = append(d.changeLog, i)
		d.updateEntry(i)
	}
	return d
}

// zoneName returns the name of a zone in an endpoint list.
func zoneName(zone int) string { return "z" + strconv.Itoa(zone) }

// lifecycle returns the name of a state in an endpoint list.
func lifecycle(state policy.EndpointState) string {
	switch state {
	case policy.Draining:
		return "draining"
	case policy.Removed:
		return "gone"
	}
	return "ready"
}

// updateEntry encodes the current entry of a server.
func (d *simDiscovery) updateEntry(serverIndex int) {
	server := d.sim.servers[serverIndex]
	d.entries[serverIndex] = fmt.Sprintf(`{"instanceId":%q,"hostPort":"10.%d.%d.%d:8080","zone":%q,"machineType":"m1","cell":%d,`+
		`"lifecycle":%q,"weight":1,"startedAtMs":%.3f}`,
		server.name, server.zone, serverIndex/serversPerSubnet, 1+serverIndex%serversPerSubnet, zoneName(server.zone), serverIndex%cellCount,
		lifecycle(d.states[serverIndex]), float64(server.startedAt.Microseconds())/1000)
}

// version returns the current version of the list.
func (d *simDiscovery) version() int64 { return int64(len(d.changeLog)) }

// setState changes the state of a server and queues all watches to be answered.
func (d *simDiscovery) setState(serverIndex int, state policy.EndpointState) {
	server := d.sim.servers[serverIndex]
	d.states[serverIndex] = state
	d.changeLog = append(d.changeLog, serverIndex)
	d.updateEntry(serverIndex)
	clear(d.responses)
	d.sim.counts.Discovery.Changes++
	if state == policy.Ready {
		server.drainingSince = 0
	} else if server.drainingSince == 0 {
		server.drainingSince = d.sim.clock.now
	}
	d.sim.propagation.add(d.version(), d.sim.clock.now)
	for _, call := range d.watches {
		d.enqueue(call)
	}
	d.watches = d.watches[:0]
}

// response returns the response to a caller that has the given version of the list.
func (d *simDiscovery) response(callerVersion int64) listResponse {
	if cached, ok := d.responses[callerVersion]; ok {
		return cached
	}
	full := callerVersion < 0 || callerVersion > d.version()
	var servers []int
	if full {
		servers = d.listedServers()
	} else {
		servers = d.changedSince(callerVersion)
	}
	body := fmt.Appendf(nil, `{"generation":%d,"reset":%v,"instances":[`, d.version(), full)
	for n, i := range servers {
		if n > 0 {
			body = append(body, ',')
		}
		body = append(body, d.entries[i]...)
	}
	response := listResponse{append(body, "]}"...), len(servers)}
	d.responses[callerVersion] = response
	return response
}

// listedServers returns the servers in the full list, which omits removed servers.
func (d *simDiscovery) listedServers() (servers []int) {
	for i, state := range d.states {
		if state != policy.Removed {
			servers = append(servers, i)
		}
	}
	return servers
}

// changedSince returns the servers that changed after the given version, each once.
func (d *simDiscovery) changedSince(version int64) []int {
	servers := slices.Clone(d.changeLog[version:])
	slices.Sort(servers)
	return slices.Compact(servers)
}

// receive handles a call that has arrived.
func (d *simDiscovery) receive(call *listCall) {
	d.sim.counts.Discovery.Received.add(wireBytes(listRequestBytes))
	if d.down {
		d.fail(call)
		return
	}
	d.enqueue(call)
}

// enqueue adds a call to the queue.
func (d *simDiscovery) enqueue(call *listCall) {
	call.queuedAt = d.sim.clock.now
	d.queue = append(d.queue, call)
	d.processNext()
}

// processNext starts to process the next queued call, unless a call is already being processed. It skips
// calls that have ended, and fails calls that have waited for longer than QueueTimeout.
func (d *simDiscovery) processNext() {
	for !d.processing && len(d.queue) > 0 {
		call := d.queue[0]
		d.queue = d.queue[1:]
		waited := d.sim.clock.now - call.queuedAt
		switch {
		case call.done:
		case waited > d.config.QueueTimeout:
			d.sim.counts.Discovery.TimedOut++
			d.fail(call)
		default:
			d.process(call, waited)
		}
	}
}

// process starts to process a call that has waited in the queue for the given time.
func (d *simDiscovery) process(call *listCall, waited time.Duration) {
	counts := &d.sim.counts.Discovery
	counts.Processed++
	counts.MaxQueueWait = max(counts.MaxQueueWait, waited)
	if call.sinceVersion == d.version() && call.maxWait > 0 { // no change to report yet
		d.finishAfter(call, d.config.CallTime, func() { d.addWatch(call) })
		return
	}
	response := d.response(call.sinceVersion)
	counts.EntriesWritten += int64(response.entries)
	processingTime := d.config.CallTime + time.Duration(response.entries)*d.config.EntryTime
	d.finishAfter(call, processingTime, func() { d.respond(call, response) })
}

// finishAfter calls finish after the processing time of a call, and then starts to process the next call. If
// an outage has started meanwhile, the call fails instead.
func (d *simDiscovery) finishAfter(call *listCall, processingTime time.Duration, finish func()) {
	d.processing = true
	d.sim.counts.Discovery.ProcessingTime += processingTime
	d.sim.clock.after(processingTime, func() {
		d.processing = false
		if d.down {
			d.fail(call)
			return
		}
		finish()
		d.processNext()
	})
}

// addWatch keeps a call open until the list changes or maxWait has passed.
func (d *simDiscovery) addWatch(call *listCall) {
	if call.sinceVersion < d.version() { // the list changed while the call was being processed
		d.enqueue(call)
		return
	}
	d.watches = append(d.watches, call)
	d.sim.clock.after(call.maxWait, func() {
		if i := slices.Index(d.watches, call); i >= 0 {
			d.watches = slices.Delete(d.watches, i, i+1)
			d.respond(call, d.response(call.sinceVersion))
		}
	})
}

// respond sends the response to a call, unless the call has ended.
func (d *simDiscovery) respond(call *listCall, response listResponse) {
	if call.done {
		return
	}
	d.sim.counts.Discovery.Sent.add(wireBytes(listResponseHeadBytes + len(response.body)))
	d.sim.network.sendReliable(0, call.zone, func() { call.respond(response, nil) })
}

// fail sends an error response to a call, unless the call has ended.
func (d *simDiscovery) fail(call *listCall) {
	if call.done {
		return
	}
	d.sim.counts.Discovery.Sent.add(wireBytes(listResponseHeadBytes))
	d.sim.network.sendReliable(0, call.zone, func() { call.respond(listResponse{}, errUnavailable) })
}

// startOutage fails all queued calls, all watches and all later calls.
func (d *simDiscovery) startOutage() {
	d.down = true
	for _, call := range slices.Concat(d.queue, d.watches) {
		d.fail(call)
	}
	d.queue, d.watches = nil, d.watches[:0]
}
