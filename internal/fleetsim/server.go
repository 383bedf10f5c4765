package fleetsim

import (
	"math"
	"slices"
	"time"

	"cranehatch/policy"
)

// ServerConfig sets what a model map server can do. It serves in turn, as many at once as it has cores; one that has
// far more waiting than it can work on for a while chokes: it takes 2.5 times as long, until it has been idle for a while.
// Cold, it is slower too, by policy.Config's Cold fields, and chokes when it is sent more than its budget.
type ServerConfig struct {
	Cores            int           // at least 1
	ServiceTime      time.Duration // of a request, on average
	OverloadQueue    int           // it chokes where more than this are there for each core,
	OverloadDelay    time.Duration // for so long
	RecoveryIdleTime time.Duration // until it has been idle for so long
}

// coldWindow is the time within which, again and again from its start on, a cold server counts what it gets.
const coldWindow = 1 * time.Second

type simServer struct {
	sim         *Simulation
	name        string // instanceId
	id          policy.EndpointID
	zone        int
	startedAt   time.Duration // 0: long ago
	incarnation int           // counts its starts and ends
	down        bool          // its process has ended
	lost        bool          // and its machine does not even say so

	busy               int        // cores at work: on the first so many of the queue
	queue              []*attempt // what it holds
	overThresholdSince time.Duration
	idle               time.Duration // since when
	choked             bool

	window        int // of its cold time: which one it counts
	got           int // and what it got in that
	drainingSince time.Duration
}

// attempt is one attempt of a request.
type attempt struct {
	to      *simServer
	request *request
	number  int
	ended   bool // for the sidecar
}

// warmth is the share of its capacity that the server has at an age.
func (m *simServer) warmth(age time.Duration) float64 {
	p := &m.sim.config.Policy
	if m.startedAt == 0 || age >= p.SlowStartDuration {
		return 1
	}
	return p.SlowStartFraction + (1-p.SlowStartFraction)*float64(age)/float64(p.SlowStartDuration)
}

// slowStartBudget is how many requests a cold server may get in a window: ColdMultiple of what it can do, and room for
// the chance of arrivals, two standard deviations and two.
func (m *simServer) slowStartBudget(window int) float64 {
	p := &m.sim.config.Policy
	middle := time.Duration(window)*coldWindow + coldWindow/2
	n := p.OverloadFactor * m.warmth(middle) * float64(m.sim.config.Server.Cores) * float64(coldWindow) / float64(m.sim.config.Server.ServiceTime)
	return n + 2*math.Sqrt(n) + 2
}

// countSlowStartRequest counts a request that a cold server got, against its budget.
func (m *simServer) countSlowStartRequest() {
	p, age := &m.sim.config.Policy, m.sim.clock.now-m.startedAt
	if m.startedAt == 0 || age >= p.SlowStartDuration || p.OverloadFactor == 0 {
		return
	}
	if window := int(age / coldWindow); window != m.window {
		m.window, m.got = window, 0
	}
	if m.got++; float64(m.got) > m.slowStartBudget(m.window) {
		m.sim.recordViolation(SlowStartBudget, "server %s got %d in second %d of its life", m.name, m.got, m.window)
		m.choked = true
	}
}

// take takes an attempt that has arrived.
func (m *simServer) take(a *attempt) {
	f := m.sim
	f.count.ServerAttempts.Received.add(requestBytes)
	switch {
	case m.lost: // nobody answers
		return
	case m.down:
		m.reject(a, policy.ConnectFailed)
		return
	}
	m.countSlowStartRequest()
	m.queue = append(m.queue, a)
	if len(m.queue) > f.config.Server.OverloadQueue*f.config.Server.Cores && m.overThresholdSince == 0 {
		m.overThresholdSince = f.clock.now
	}
	m.serve()
}

// serve sets a free core to work on the next in the queue.
func (m *simServer) serve() {
	f, set := m.sim, &m.sim.config.Server
	for !m.down && m.busy < min(set.Cores, len(m.queue)) {
		if f.clock.now-m.idle > set.RecoveryIdleTime && m.busy == 0 {
			m.choked = false
		}
		work := time.Duration((0.25 + 0.75*f.rng.ExpFloat64()) * float64(set.ServiceTime) / m.warmth(f.clock.now-m.startedAt))
		if m.choked {
			work = work * 5 / 2
		}
		a, life := m.queue[m.busy], m.incarnation
		m.busy++
		f.executionStarted(a)
		f.clock.after(work, func() {
			if m.incarnation == life {
				m.done(a)
			}
		})
	}
}

// done answers an attempt that a core has worked on.
func (m *simServer) done(a *attempt) {
	f, set := m.sim, &m.sim.config.Server
	m.busy--
	m.idle = f.clock.now
	i := slices.Index(m.queue, a)
	m.queue = slices.Delete(m.queue, i, i+1)
	if len(m.queue) <= set.OverloadQueue*set.Cores {
		m.overThresholdSince = 0
	} else if f.clock.now-m.overThresholdSince > set.OverloadDelay {
		m.choked = true
	}
	f.count.ServerAttempts.Sent.add(answerBytes)
	f.network.sendOnce(m.zone, a.request.sidecar.zone, func() { a.request.sidecar.end(a, policy.Succeeded) })
	m.serve()
}

// drop takes an attempt that was given up out of the queue; one that is worked on is so to its end.
func (m *simServer) drop(a *attempt) {
	if i := slices.Index(m.queue, a); i >= m.busy {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}

// stop ends the process. Those who wait learn that their connections broke, unless the machine is lost too.
func (m *simServer) stop(lost bool) {
	m.down, m.lost = true, lost
	m.incarnation++
	if !lost {
		for _, a := range m.queue {
			m.reject(a, policy.ConnectionLost)
		}
	}
	m.queue, m.busy, m.overThresholdSince = nil, 0, 0
}

// reject tells a sidecar that an attempt ended without an answer: as an event of its own, for a Balancer may be
// in the midst of sending.
func (m *simServer) reject(a *attempt, e policy.Result) {
	s := a.request.sidecar
	m.sim.clock.after(0, func() { m.sim.network.sendOnce(m.zone, s.zone, func() { s.end(a, e) }) })
}

// start begins a new process, which is cold.
func (m *simServer) start() {
	m.incarnation++
	m.down, m.lost, m.choked = false, false, false
	m.startedAt, m.idle, m.window, m.got = m.sim.clock.now, m.sim.clock.now, 0, 0
}
