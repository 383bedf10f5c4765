package fleetsim

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"cranehatch/policy"
)

// DiscoveryConfig sets what the model discovery can bear. It works on calls in turn.
type DiscoveryConfig struct {
	CallTime             time.Duration // that a call takes it,
	EntryTime            time.Duration // and each line of its answer
	QueueTimeout         time.Duration // a call that waited longer for its turn fails
	PropagationDelay     time.Duration // a change is in its list so long after it was told
	FailureDetectionTime time.Duration // and a machine that was lost this long after that
}

// errUnavailable is what a call that fails is answered with, instead of a list.
const errUnavailable = "unavailable"

// simDiscovery holds the list of one service: all servers, and the order of their changes. It is in zone 0.
type simDiscovery struct {
	sim     *Simulation
	cfg     DiscoveryConfig
	down    bool
	lines   []string // of the servers' entries
	ready   []policy.EndpointState
	log     []int // servers by the version that changed them: version v is log[v-1]
	turns   []*call
	working bool
	watches []*call
	answers map[int64]answer // by the version that they begin at, while the list stays as it is
}

// answer is one answer, as it goes over the wire.
type answer struct {
	body  []byte
	lines int
}

// call is one call of a sidecar: for the whole list (index below 0), or what changed since, held for up to wait.
type call struct {
	zone   int
	index  int64
	wait   time.Duration
	since  time.Duration // when it began to wait for its turn
	ended  bool          // it was answered or given up
	answer func(a answer, err string)
}

func newDiscovery(f *Simulation, cfg DiscoveryConfig) *simDiscovery {
	d := &simDiscovery{sim: f, cfg: cfg, answers: make(map[int64]answer)}
	for i, m := range f.servers {
		d.lines = append(d.lines, "")
		d.ready = append(d.ready, policy.Ready)
		d.log = append(d.log, i)
		d.write(m, i)
	}
	return d
}

// write renews a server's line.
func (d *simDiscovery) write(m *simServer, i int) {
	lifecycle := map[policy.EndpointState]string{policy.Ready: "ready", policy.Draining: "draining", policy.Removed: "gone"}[d.ready[i]]
	d.lines[i] = fmt.Sprintf(`{"instanceId":%q,"hostPort":"10.%d.%d.%d:8080","zone":%q,"machineType":"m1","cell":%d,`+
		`"lifecycle":%q,"weight":1,"startedAtMs":%.3f}`,
		m.name, m.zone, i/250, 1+i%250, zoneName(m.zone), i%4, lifecycle, float64(m.startedAt.Microseconds())/1000)
}

func zoneName(zone int) string { return "z" + strconv.Itoa(zone) }

// version is the list's as it is.
func (d *simDiscovery) version() int64 { return int64(len(d.log)) }

// change enters that a server's state has changed, and opens the watches.
func (d *simDiscovery) change(i int, state policy.EndpointState) {
	m := d.sim.servers[i]
	d.ready[i] = state
	d.log = append(d.log, i)
	d.write(m, i)
	clear(d.answers)
	d.sim.count.Discovery.Changes++
	if state == policy.Ready {
		m.drainingSince = 0
	} else if m.drainingSince == 0 {
		m.drainingSince = d.sim.clock.now
	}
	d.sim.pending = append(d.sim.pending, pending{d.version(), d.sim.clock.now})
	for _, c := range d.watches {
		d.queue(c)
	}
	d.watches = d.watches[:0]
}

// response is the answer to those who hold a version.
func (d *simDiscovery) response(index int64) answer {
	if a, ok := d.answers[index]; ok {
		return a
	}
	var named []int
	whole := index < 0 || index > d.version()
	if whole {
		for i := range d.lines {
			if d.ready[i] != policy.Removed { // the whole list leaves out those that have left
				named = append(named, i)
			}
		}
	} else {
		named = slices.Clone(d.log[index:])
		slices.Sort(named)
		named = slices.Compact(named)
	}
	body := fmt.Appendf(nil, `{"generation":%d,"reset":%v,"instances":[`, d.version(), whole)
	for n, i := range named {
		if n > 0 {
			body = append(body, ',')
		}
		body = append(body, d.lines[i]...)
	}
	a := answer{append(body, "]}"...), len(named)}
	d.answers[index] = a
	return a
}

// take takes a call that has arrived.
func (d *simDiscovery) take(c *call) {
	d.sim.count.Discovery.Received.add(onWire(callBytes))
	if d.down {
		d.fail(c)
		return
	}
	d.queue(c)
}

func (d *simDiscovery) queue(c *call) {
	c.since = d.sim.clock.now
	d.turns = append(d.turns, c)
	d.work()
}

// work gives the next call its turn, if none has it.
func (d *simDiscovery) work() {
	for !d.working && len(d.turns) > 0 {
		c := d.turns[0]
		d.turns = d.turns[1:]
		waited := d.sim.clock.now - c.since
		switch {
		case c.ended:
			continue
		case waited > d.cfg.QueueTimeout:
			d.sim.count.Discovery.TimedOut++
			d.fail(c)
			continue
		}
		n := &d.sim.count.Discovery
		n.Processed++
		n.MaxQueueWait = max(n.MaxQueueWait, waited)
		if c.index == d.version() && c.wait > 0 { // nothing to tell it yet
			d.busy(c, d.cfg.CallTime, func() { d.hold(c) })
			return
		}
		a := d.response(c.index)
		n.EntriesWritten += int64(a.lines)
		d.busy(c, d.cfg.CallTime+time.Duration(a.lines)*d.cfg.EntryTime, func() { d.reply(c, a) })
	}
}

// busy works on a call for a time, and then goes on with the next.
func (d *simDiscovery) busy(c *call, took time.Duration, done func()) {
	d.working = true
	d.sim.count.Discovery.ProcessingTime += took
	d.sim.clock.after(took, func() {
		d.working = false
		if d.down {
			d.fail(c)
			return
		}
		done()
		d.work()
	})
}

// hold keeps a watch open until the list changes or its time is over.
func (d *simDiscovery) hold(c *call) {
	if c.index < d.version() { // it changed while the call had its turn
		d.queue(c)
		return
	}
	d.watches = append(d.watches, c)
	d.sim.clock.after(c.wait, func() {
		if i := slices.Index(d.watches, c); i >= 0 {
			d.watches = slices.Delete(d.watches, i, i+1)
			d.reply(c, d.response(c.index))
		}
	})
}

func (d *simDiscovery) reply(c *call, a answer) {
	if c.ended {
		return
	}
	d.sim.count.Discovery.Sent.add(onWire(listHead + len(a.body)))
	d.sim.network.sendReliable(0, c.zone, func() { c.answer(a, "") })
}

// fail answers a call with no list.
func (d *simDiscovery) fail(c *call) {
	if c.ended {
		return
	}
	d.sim.count.Discovery.Sent.add(onWire(listHead))
	d.sim.network.sendReliable(0, c.zone, func() { c.answer(answer{}, errUnavailable) })
}

// stop has it fail whoever calls, and whoever waits.
func (d *simDiscovery) stop() {
	d.down = true
	for _, c := range slices.Concat(d.turns, d.watches) {
		d.fail(c)
	}
	d.turns, d.watches = nil, d.watches[:0]
}
