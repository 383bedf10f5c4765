package fleetsim

import (
	"testing"
	"time"

	"cranehatch/policy"
)

// A failed simulation must be repeatable from its seed, and measuring CPU time must not change the
// simulation.
func TestSameSeedSameRun(t *testing.T) {
	run := func(seed uint64, measure bool) (uint64, Counts) {
		cfg := testConfig(seed, 30, 5)
		cfg.MeasureCPU = measure
		sim := newSimulation(t, cfg)
		failLastZone(sim, 10*time.Second, 20*time.Second, 30*time.Second)
		checkInvariants(t, sim)
		return sim.Digest(), sim.Counts().WithoutCPUTime()
	}
	digest, counts := run(1, false)
	if digest2, counts2 := run(1, true); digest2 != digest || counts2 != counts {
		t.Errorf("first run: digest %x, counts %+v; second run with the same seed: digest %x, counts %+v; want no difference",
			digest, counts, digest2, counts2)
	}
	if other, _ := run(2, false); other == digest {
		t.Error("seeds 1 and 2 produce the same digest")
	}
}

// Each message must be counted once by its sender and, unless the network loses it, once by its recipient.
func TestMessageCountsAddUp(t *testing.T) {
	cfg := testConfig(1, 100, 2)
	sim := newSimulation(t, cfg)
	sim.Run(20 * time.Second)
	checkGossipCounts(t, sim)
	stopClients(sim)
	sim.Run(30 * time.Second)
	c := sim.Counts()
	if c.Attempts.Sent != c.ServerAttempts.Received || c.ServerAttempts.Sent.Messages < c.Attempts.Received.Messages || c.Attempts.Received.Messages == 0 {
		t.Errorf("sidecars: %+v; servers: %+v; want each attempt received by a server, and no more responses received than sent",
			c.Attempts, c.ServerAttempts)
	}
	if c.Requests != c.WithinObjective+c.ObjectiveMissed+c.Rejected+c.Failed {
		t.Errorf("%d requests, want the sum of %d within objective, %d after it, %d rejected and %d failed",
			c.Requests, c.WithinObjective, c.ObjectiveMissed, c.Rejected, c.Failed)
	}
	var byClass ClassCounts
	for i := range cfg.ClassMix {
		byClass.Requests += sim.Class(i).Requests
		byClass.WithinObjective += sim.Class(i).WithinObjective
	}
	if int64(byClass.Requests) != c.Requests || int64(byClass.WithinObjective) != c.WithinObjective {
		t.Errorf("sum of class counts = %+v, want the total %+v", byClass, c)
	}
	checkInvariants(t, sim)
}

// checkGossipCounts checks the counts of datagrams between 100 sidecars, some of which may not have arrived
// yet.
func checkGossipCounts(t *testing.T, sim *Simulation) {
	t.Helper()
	const (
		recipients    = 99
		datagramBytes = 52
	)
	scheduled := int64(0)
	for _, e := range sim.clock.heap {
		scheduled += int64(len(e.recipients))
	}
	c := sim.Counts()
	if got, want := c.Gossip.Received.Messages+c.DatagramsLost+scheduled, c.Gossip.Sent.Messages*recipients; got != want {
		t.Errorf("%d datagrams received, lost or scheduled, want %d: %d recipients for each of %d sent",
			got, want, recipients, c.Gossip.Sent.Messages)
	}
	if c.Gossip.Received.Bytes != datagramBytes*c.Gossip.Received.Messages || c.Gossip.Sent.Bytes != datagramBytes*c.Gossip.Sent.Messages {
		t.Errorf("datagram counts = %+v, want %d bytes each", c.Gossip, datagramBytes)
	}
}

// stopClients lowers the rate of client calls so far that practically none are made.
func stopClients(sim *Simulation) {
	for _, s := range sim.sidecars {
		s.requestRate = 1e-9
	}
}

// New must return an error for settings that cannot be simulated.
func TestInvalidConfig(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Config)
	}{
		{"no sidecar", func(c *Config) { c.Sidecars = 0 }},
		{"no core", func(c *Config) { c.Server.Cores = 0 }},
		{"empty class mix", func(c *Config) { c.ClassMix = nil }},
		{"more regions than zones", func(c *Config) { c.Regions = c.Zones + 1 }},
		{"endpoint ids and discovery", func(c *Config) { c.EndpointID = func(int) policy.EndpointID { return 0 } }},
		{"no latency objective", func(c *Config) { c.Policy.Classes[0].LatencyObjective = 0 }},
		{"negative first zone", func(c *Config) { c.FirstZone = -1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig(0, 6, 1)
			test.change(&cfg)
			if _, err := New(cfg); err == nil {
				t.Error("New() error = nil, want an error")
			}
		})
	}
}
