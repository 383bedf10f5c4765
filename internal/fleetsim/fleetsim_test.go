package fleetsim

import (
	"slices"
	"testing"
	"time"

	"cranehatch/policy"
)

// The same seed brings the same play, whether processor time is taken or not; another seed another one.
func TestSameSeedSameRun(t *testing.T) {
	play := func(seed uint64, measure bool) (uint64, Counts) {
		cfg := testConfig(seed, 30, 5)
		cfg.MeasureCPU = measure
		sim := newSimulation(t, cfg)
		failLastZone(sim, 10*time.Second, 20*time.Second, 30*time.Second)
		checkInvariants(t, sim)
		return sim.Digest(), sim.Counts().WithoutCPUTime()
	}
	digest, counts := play(1, false)
	if again, same := play(1, true); again != digest || same != counts {
		t.Errorf("digest %x and %+v, then %x and %+v", digest, counts, again, same)
	}
	if other, _ := play(2, false); other == digest {
		t.Error("seeds 1 and 2 bring the same play")
	}
}

// What one side sends, the other gets or the network loses: nothing is counted twice or left out.
func TestMessageCountsAddUp(t *testing.T) {
	cfg := testConfig(1, 100, 2)
	sim := newSimulation(t, cfg)
	sim.Run(20 * time.Second)
	for _, s := range sim.sidecars { // until nothing is under way
		s.requestRate = 1e-9
	}
	c := sim.Counts()
	flying := int64(0)
	for _, e := range sim.clock.heap {
		flying += int64(len(e.recipients))
	}
	if got, want := c.Gossip.Received.Messages+c.DatagramsLost+flying, c.Gossip.Sent.Messages*99; got != want {
		t.Errorf("%d datagrams heard, lost or under way, want %d of 99 for each of %d told", got, want, c.Gossip.Sent.Messages)
	}
	if c.Gossip.Received.Bytes != 52*c.Gossip.Received.Messages || c.Gossip.Sent.Bytes != 52*c.Gossip.Sent.Messages {
		t.Errorf("datagrams %+v, want 52 bytes each", c.Gossip)
	}
	sim.Run(30 * time.Second)
	c = sim.Counts()
	if c.Attempts.Sent != c.ServerAttempts.Received || c.ServerAttempts.Sent.Messages < c.Attempts.Received.Messages || c.Attempts.Received.Messages == 0 {
		t.Errorf("sidecars %+v, servers %+v", c.Attempts, c.ServerAttempts)
	}
	if c.Requests != c.WithinObjective+c.ObjectiveMissed+c.Rejected+c.Failed {
		t.Errorf("asked %d, answered %d + %d + %d + %d", c.Requests, c.WithinObjective, c.ObjectiveMissed, c.Rejected, c.Failed)
	}
	var byClass ClassCounts
	for i := range cfg.ClassMix {
		byClass.Requests += sim.Class(i).Requests
		byClass.WithinObjective += sim.Class(i).WithinObjective
	}
	if int64(byClass.Requests) != c.Requests || int64(byClass.WithinObjective) != c.WithinObjective {
		t.Errorf("by class %+v, together %+v", byClass, c)
	}
	checkInvariants(t, sim)
}

// One change costs each sidecar one line, one answer and one more watch, and discovery two turns for each.
func TestEndpointChangeCostsOneEntryPerSidecar(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		cfg := testConfig(1, n, 0)
		cfg.RequestRate = 0
		sim := newSimulation(t, cfg)
		sim.Run(5 * time.Second)
		sim.ResetCounts()
		sim.announceState(n/2, policy.Draining)
		sim.Run(2 * time.Second)
		c, all := sim.Counts(), int64(n)
		if c.EntriesRead != all || c.EndpointLists.Received.Messages != all || c.EndpointLists.Sent.Messages != all {
			t.Errorf("%d sidecars read %d lines in %d answers and called %d times", n, c.EntriesRead, c.EndpointLists.Received.Messages, c.EndpointLists.Sent.Messages)
		}
		if d := c.Discovery; d.Processed != 2*all || d.EntriesWritten != all || d.Changes != 1 || d.Received != c.EndpointLists.Sent || d.Sent != c.EndpointLists.Received {
			t.Errorf("%d sidecars: discovery %+v", n, d)
		}
		if want := time.Duration(n) * (2*cfg.Discovery.CallTime + cfg.Discovery.EntryTime); c.Discovery.ProcessingTime != want {
			t.Errorf("%d sidecars: discovery worked %v, want %v", n, c.Discovery.ProcessingTime, want)
		}
		if len(sim.PropagationTimes()) != 1 || sim.PendingChanges() != 0 {
			t.Errorf("%d sidecars: known after %v, %d unknown", n, sim.PropagationTimes(), sim.PendingChanges())
		}
	}
}

// A zone is lost and back: who comes back reads a line for each server, everyone is told of the change, no rule
// is broken, and all know within 5 s.
func TestZoneOutage(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 100, 5))
	failLastZone(sim, 10*time.Second, 20*time.Second, 30*time.Second)
	checkInvariants(t, sim)
	c := sim.Counts()
	const zone, stay = 16, 84 // of 100 in 6 zones
	if c.Discovery.Changes != 2*zone {
		t.Errorf("%d changes, want %d to be gone and as many to be back", c.Discovery.Changes, zone)
	}
	// Those that stay read all of the changes; those that come back, whole lists of those ready so far and the rest.
	if least := int64(stay * 2 * zone); c.EntriesRead < least+zone*stay || c.EntriesRead > least+zone*(100+2*zone) {
		t.Errorf("%d lines read, want at least %d", c.EntriesRead, least+zone*stay)
	}
	if known := sim.PropagationTimes(); len(known) != 2*zone || maxDuration(known) > 5*time.Second {
		t.Errorf("all knew of %d changes, the last after %v", len(known), maxDuration(known))
	}
}

// Regions are apart and servers replaced on both sides meanwhile: no rule is broken, and 15 s after they can all
// be told, all know.
func TestRegionPartition(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 100, 5))
	partitionRegions(sim, 10, time.Minute)
	checkInvariants(t, sim)
	if known := sim.PropagationTimes(); sim.PendingChanges() > 0 || len(known) < 20 || maxDuration(known) > 15*time.Second {
		t.Errorf("all know %d changes, the last after %v, and not %d", len(known), maxDuration(known), sim.PendingChanges())
	}
}

// A tenth of the fleet is replaced, one after the other: no rule is broken, and all know of each change in 5 s.
func TestRollingReplacement(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 100, 5))
	sim.Run(2 * time.Second)
	replaceServers(sim, 11, 30*time.Second)
	sim.Run(time.Minute)
	checkInvariants(t, sim)
	if known := sim.PropagationTimes(); len(known) != 3*11 || sim.PendingChanges() > 0 || maxDuration(known) > 5*time.Second {
		t.Errorf("all know %d changes, want %d, the last after %v, and not %d", len(known), 3*11, maxDuration(known), sim.PendingChanges())
	}
}

// Servers crash with what they hold, again and again: what may have run and is unsafe is not sent again, and every
// request gets its answer in time.
func TestServerCrashes(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 60, 30))
	sim.Run(2 * time.Second)
	for k := range 40 {
		sim.clock.after(time.Duration(k)*500*ms, func() { sim.Crash(k*7%60, 2*time.Second) })
	}
	sim.Run(25 * time.Second)
	checkInvariants(t, sim)
	if c := sim.Class(unsafeClass); c.Failed == 0 || c.WithinObjective < c.Requests*9/10 {
		t.Errorf("of the unsafe %+v, want some to fail and most to be answered", c)
	}
}

// Servers that are slow at first and bear little then are spared by many sidecars, each of which could send them
// no more than a request at a time.
func TestSlowStartLimitsNewServers(t *testing.T) {
	cfg := testConfig(0, 300, 2)
	cfg.Servers, cfg.Policy.SlowStartFraction, cfg.Policy.OverloadFactor = 12, 0.1, 1.2
	sim := newSimulation(t, cfg)
	sim.Run(2 * time.Second)
	for k := range 6 {
		sim.clock.after(time.Duration(k)*time.Second, func() { sim.Crash(2*k, 2*time.Second) })
	}
	sim.Run(20 * time.Second)
	checkInvariants(t, sim)
}

// Discovery is down while servers leave, and back: no rule is broken, and within 15 s all know.
func TestDiscoveryOutage(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 60, 5))
	sim.Run(5 * time.Second)
	sim.StartDiscoveryOutage()
	sim.Run(3 * time.Second)
	replaceServers(sim, 6, 5*time.Second)
	sim.Run(20 * time.Second)
	sim.EndDiscoveryOutage()
	sim.Run(30 * time.Second)
	checkInvariants(t, sim)
	if known := sim.PropagationTimes(); sim.PendingChanges() > 0 || len(known) == 0 || maxDuration(known) > 15*time.Second {
		t.Errorf("all know %d changes, the last after %v, and not %d", len(known), maxDuration(known), sim.PendingChanges())
	}
}

// Calls that wait too long for their turn fail; discovery works on no more than one at a time.
func TestDiscoveryOverload(t *testing.T) {
	cfg := testConfig(1, 60, 0)
	cfg.RequestRate, cfg.Discovery.CallTime, cfg.Discovery.QueueTimeout = 0, 100*ms, time.Second
	sim := newSimulation(t, cfg)
	sim.Run(1500 * ms)
	c := sim.Counts().Discovery
	if c.Processed > 15 || c.Processed < 10 || c.MaxQueueWait > time.Second {
		t.Errorf("in 1.5 s %d turns of 100 ms, the longest wait %v", c.Processed, c.MaxQueueWait)
	}
	if c.TimedOut == 0 {
		t.Errorf("60 calls at once, %d failed", c.TimedOut)
	}
}

// Each rule is found broken where it is.
func TestInvariantViolationsAreDetected(t *testing.T) {
	one := func(r Invariant, what string, act func(sim *Simulation, s *simSidecar)) {
		t.Helper()
		cfg := testConfig(0, 6, 0)
		cfg.RequestRate = 0
		sim := newSimulation(t, cfg)
		sim.Run(time.Second)
		act(sim, sim.sidecars[0])
		if b := sim.Violations(); b.Counts[r] != 1 || b.Total() != 1 {
			t.Errorf("%s: %v, want one break of %v: %q", what, b.Counts, r, b.Details)
		}
	}
	hold := func(s *simSidecar, class int) *request {
		r := &request{call: &clientCall{class: class}, id: 1 << 40, sidecar: s, incarnation: s.incarnation}
		s.requests[r.id] = r
		return r
	}
	one(SingleResponse, "answered twice", func(sim *Simulation, s *simSidecar) {
		r := hold(s, safeClass)
		r.inFlight = 1
		s.Fail(r.id)
		s.Fail(r.id)
	})
	one(SingleResponse, "unheard of", func(sim *Simulation, s *simSidecar) { s.Fail(1 << 50) })
	one(AtMostOnce, "runs twice", func(sim *Simulation, s *simSidecar) {
		r := hold(s, unsafeClass)
		sim.executionStarted(&attempt{request: r})
		sim.executionStarted(&attempt{request: r})
	})
	one(AtMostOnce, "refused after it ran", func(sim *Simulation, s *simSidecar) {
		r := hold(s, unsafeClass)
		sim.executionStarted(&attempt{request: r})
		s.Reject(r.id, 0)
	})
	one(NoSendWhileDraining, "sent 1 s after it was written", func(sim *Simulation, s *simSidecar) {
		s.drainNotices[sim.servers[1].id] = sim.clock.now - time.Second - 1
		sim.checkSend(s, sim.servers[1])
		sim.checkSend(s, sim.servers[2])
	})
	one(NoSendWhileDraining, "sent 7 s after discovery had it", func(sim *Simulation, s *simSidecar) {
		sim.Run(10 * time.Second)
		sim.servers[1].drainingSince = sim.clock.now - 7*time.Second - 1
		sim.servers[2].drainingSince = sim.clock.now - 7*time.Second
		sim.checkSend(s, sim.servers[1])
		sim.checkSend(s, sim.servers[2])
	})
	one(SlowStartBudget, "one more than it can bear", func(sim *Simulation, s *simSidecar) {
		m := sim.servers[1]
		m.start()
		for range int(m.slowStartBudget(0)) + 1 {
			m.countSlowStartRequest()
		}
	})
	late := func(sim *Simulation, s *simSidecar) {
		s.submit(&clientCall{class: safeClass, startedAt: sim.clock.now}, 0)
		// Its Balancer hears nothing more: of what is to happen only the client's look at its watch is left.
		sim.clock.heap = slices.DeleteFunc(sim.clock.heap, func(e event) bool { return e.at != sim.clock.now+clientTimeout+responseSlack })
		sim.Run(2 * time.Second)
	}
	one(SingleResponse, "no answer", late)
}

// What can't be reached counts as told by nobody's clock: it begins once it can be.
func TestDrainNoticeNeedsReachableDiscovery(t *testing.T) {
	cfg := testConfig(0, 6, 0)
	cfg.RequestRate = 0
	sim := newSimulation(t, cfg)
	sim.PartitionRegions()
	sim.servers[1].drainingSince = sim.clock.now
	sim.Run(time.Minute)
	far, near := sim.sidecars[5], sim.sidecars[0]
	if _, told := sim.drainNoticeAt(far, sim.servers[1]); told {
		t.Error("told, though discovery could not be reached")
	}
	if at, told := sim.drainNoticeAt(near, sim.servers[1]); !told || at != sim.servers[1].drainingSince+maxNoticeDelay {
		t.Errorf("the near one is told %v at %v", told, at)
	}
	sim.HealPartition()
	if at, told := sim.drainNoticeAt(far, sim.servers[1]); !told || at != sim.clock.now+maxNoticeDelay {
		t.Errorf("told %v at %v, want 6 s after %v", told, at, sim.clock.now)
	}
}

// A cut swallows datagrams and requests; what goes by a connection arrives once it is healed, at the resend.
func TestNetworkPartition(t *testing.T) {
	cfg := testConfig(0, 6, 0)
	cfg.RequestRate = 0
	sim := newSimulation(t, cfg)
	n := sim.network
	if n.delay(0, 0) != cfg.Network.SameZoneDelay || n.delay(0, 2) != cfg.Network.CrossZoneDelay || n.delay(0, 3) != cfg.Network.CrossRegionDelay {
		t.Errorf("delays %v %v %v", n.delay(0, 0), n.delay(0, 2), n.delay(0, 3))
	}
	sim.PartitionRegions()
	if _, arrives := n.datagramArrives(0, 3); arrives {
		t.Error("a datagram crossed the cut")
	}
	n.sendOnce(0, 3, func() { t.Error("a request crossed the cut") })
	from, arrived := sim.clock.now, time.Duration(0)
	n.sendReliable(3, 0, func() { arrived = sim.clock.now })
	sim.Run(1500 * ms)
	sim.HealPartition()
	sim.Run(5 * time.Second)
	if want := from + 3*time.Second + cfg.Network.CrossRegionDelay; arrived != want { // sent again after 1 s, and 2 s more
		t.Errorf("arrived at %v, want %v", arrived, want)
	}
	lost := 0
	for range 10000 {
		if _, arrives := n.datagramArrives(0, 1); !arrives {
			lost++
		}
	}
	if lost < 50 || lost > 150 {
		t.Errorf("%d of 10,000 datagrams lost, want about 100", lost)
	}
}

// Services are dealt out as assumed: 670 of 16.4 on average, the largest over 1,500, none below two.
func TestSizes(t *testing.T) {
	for _, n := range []int{100, 300, 1000, 3000, 11000} {
		services := max(1, n*670/11000)
		for _, sizes := range [][]int{Sizes(n, services), EvenSizes(n, 1100)} {
			sum := 0
			for _, size := range sizes {
				sum += size
			}
			if sum != n || slices.Min(sizes) < 2 || slices.Max(sizes) != sizes[0] {
				t.Errorf("%d sidecars are dealt out as %v", n, sizes)
			}
		}
	}
	if sizes := Sizes(11000, 670); len(sizes) != 670 || sizes[0] < 1500 || sizes[335] > 5 {
		t.Errorf("%d services, the largest %d, the middle one %d", len(sizes), sizes[0], sizes[335])
	}
	if sizes := EvenSizes(11000, 1100); len(sizes) != 10 || sizes[9] != 1100 {
		t.Errorf("%v", sizes)
	}
}

// Settings that can't be played are errors that say why.
func TestInvalidConfig(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no sidecar":     func(c *Config) { c.Sidecars = 0 },
		"no core":        func(c *Config) { c.Server.Cores = 0 },
		"another mix":    func(c *Config) { c.ClassMix = nil },
		"more regions":   func(c *Config) { c.Regions = c.Zones + 1 },
		"named by two":   func(c *Config) { c.EndpointID = func(int) policy.EndpointID { return 0 } },
		"no aim":         func(c *Config) { c.Policy.Classes[0].LatencyObjective = 0 },
		"before a first": func(c *Config) { c.FirstZone = -1 },
	} {
		cfg := testConfig(0, 6, 1)
		change(&cfg)
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: it was played", name)
		}
	}
}
