package fleetsim

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"cranehatch/policy"
)

// noVersion is the version of an endpoint list that is not there. A call with it gets the complete list.
const noVersion = int64(-1)

// cells is the number of cells that servers are assigned to, round robin.
const cells = 4

// serversPerSubnet is how many servers share the first three bytes of their IP address.
const serversPerSubnet = 250

// errUnavailable is the result of a call that discovery fails.
var errUnavailable = errors.New("discovery is unavailable")

// simDiscovery is the simulated discovery service, in zone 0. It has the endpoint list of the service, with all
// changes, and processes calls one at a time.
type simDiscovery struct {
	sim    *Simulation
	config DiscoveryConfig
	down   bool

	entries   []string // JSON, by server
	states    []policy.EndpointState
	changeLog []int                  // servers in the order of their changes: change v-1 makes version v
	responses map[int64]listResponse // to the current list, by the version that the caller has

	queue      []*listCall
	processing bool        // a call is being processed
	watches    []*listCall // calls that wait for a change
}

// listCall is a call of a sidecar. It asks for what changed since a version, or for the complete list, and waits up
// to maxWait for a change.
type listCall struct {
	zone     int
	since    int64 // noVersion: the complete list
	maxWait  time.Duration
	queuedAt time.Duration
	done     bool // answered or cancelled
	respond  func(response listResponse, err error)
}

// listResponse is a response as it is sent.
type listResponse struct {
	body    []byte
	entries int
}

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

func zoneName(zone int) string { return "z" + strconv.Itoa(zone) }

// lifecycle is the name of a state in an endpoint list.
func lifecycle(state policy.EndpointState) string {
	switch state {
	case policy.Draining:
		return "draining"
	case policy.Removed:
		return "gone"
	}
	return "ready"
}

// updateEntry encodes the entry of a server anew.
func (d *simDiscovery) updateEntry(i int) {
	server := d.sim.servers[i]
	d.entries[i] = fmt.Sprintf(`{"instanceId":%q,"hostPort":"10.%d.%d.%d:8080","zone":%q,"machineType":"m1","cell":%d,`+
		`"lifecycle":%q,"weight":1,"startedAtMs":%.3f}`,
		server.name, server.zone, i/serversPerSubnet, 1+i%serversPerSubnet, zoneName(server.zone), i%cells,
		lifecycle(d.states[i]), float64(server.startedAt.Microseconds())/1000)
}

// version is the current version of the list.
func (d *simDiscovery) version() int64 { return int64(len(d.changeLog)) }

// setState changes the state of a server, and answers all watches.
func (d *simDiscovery) setState(i int, state policy.EndpointState) {
	server := d.sim.servers[i]
	d.states[i] = state
	d.changeLog = append(d.changeLog, i)
	d.updateEntry(i)
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

// response returns the response for a caller that has a version of the list.
func (d *simDiscovery) response(since int64) listResponse {
	if cached, ok := d.responses[since]; ok {
		return cached
	}
	complete := since < 0 || since > d.version()
	var servers []int
	if complete {
		servers = d.present()
	} else {
		servers = d.changedSince(since)
	}
	body := fmt.Appendf(nil, `{"generation":%d,"reset":%v,"instances":[`, d.version(), complete)
	for n, i := range servers {
		if n > 0 {
			body = append(body, ',')
		}
		body = append(body, d.entries[i]...)
	}
	response := listResponse{append(body, "]}"...), len(servers)}
	d.responses[since] = response
	return response
}

// present returns the servers of the complete list, which omits those that are gone.
func (d *simDiscovery) present() (servers []int) {
	for i, state := range d.states {
		if state != policy.Removed {
			servers = append(servers, i)
		}
	}
	return servers
}

// changedSince returns the servers that changed after a version, each once.
func (d *simDiscovery) changedSince(version int64) []int {
	servers := slices.Clone(d.changeLog[version:])
	slices.Sort(servers)
	return slices.Compact(servers)
}

// receive takes a call that has arrived.
func (d *simDiscovery) receive(call *listCall) {
	d.sim.counts.Discovery.Received.add(wireBytes(listRequestBytes))
	if d.down {
		d.fail(call)
		return
	}
	d.enqueue(call)
}

func (d *simDiscovery) enqueue(call *listCall) {
	call.queuedAt = d.sim.clock.now
	d.queue = append(d.queue, call)
	d.processNext()
}

// processNext begins to process the next call, unless another one is being processed.
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

// process begins to process a call that has waited in the queue.
func (d *simDiscovery) process(call *listCall, waited time.Duration) {
	counts := &d.sim.counts.Discovery
	counts.Processed++
	counts.MaxQueueWait = max(counts.MaxQueueWait, waited)
	if call.since == d.version() && call.maxWait > 0 { // nothing has changed yet
		d.finishAfter(call, d.config.CallTime, func() { d.addWatch(call) })
		return
	}
	response := d.response(call.since)
	counts.EntriesWritten += int64(response.entries)
	processingTime := d.config.CallTime + time.Duration(response.entries)*d.config.EntryTime
	d.finishAfter(call, processingTime, func() { d.respond(call, response) })
}

// finishAfter finishes a call after its processing time, and begins with the next one.
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

// addWatch keeps a call open until the list changes or its time is over.
func (d *simDiscovery) addWatch(call *listCall) {
	if call.since < d.version() { // the list changed while the call was processed
		d.enqueue(call)
		return
	}
	d.watches = append(d.watches, call)
	d.sim.clock.after(call.maxWait, func() {
		if i := slices.Index(d.watches, call); i >= 0 {
			d.watches = slices.Delete(d.watches, i, i+1)
			d.respond(call, d.response(call.since))
		}
	})
}

// respond sends a response, unless the call has ended.
func (d *simDiscovery) respond(call *listCall, response listResponse) {
	if call.done {
		return
	}
	d.sim.counts.Discovery.Sent.add(wireBytes(listResponseHeadBytes + len(response.body)))
	d.sim.network.sendReliable(0, call.zone, func() { call.respond(response, nil) })
}

// fail sends an error, unless the call has ended.
func (d *simDiscovery) fail(call *listCall) {
	if call.done {
		return
	}
	d.sim.counts.Discovery.Sent.add(wireBytes(listResponseHeadBytes))
	d.sim.network.sendReliable(0, call.zone, func() { call.respond(listResponse{}, errUnavailable) })
}

// startOutage fails all calls in the queue, all watches and all calls to come.
func (d *simDiscovery) startOutage() {
	d.down = true
	for _, call := range slices.Concat(d.queue, d.watches) {
		d.fail(call)
	}
	d.queue, d.watches = nil, d.watches[:0]
}
