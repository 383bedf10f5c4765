package fleetsim

import (
	"testing"
	"time"

	"cranehatch/policy"
)

// A failed simulation has to be repeatable from its seed, and measuring processor time must not change it.
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
		t.Errorf("digest %x and %+v, then %x and %+v", digest, counts, digest2, counts2)
	}
	if other, _ := run(2, false); other == digest {
		t.Error("seeds 1 and 2 give the same run")
	}
}

// Each message is counted once: what one side sends, the other receives or the network loses.
func TestMessageCountsAddUp(t *testing.T) {
	cfg := testConfig(1, 100, 2)
	sim := newSimulation(t, cfg)
	sim.Run(20 * time.Second)
	checkGossipCounts(t, sim)
	stopClients(sim)
	sim.Run(30 * time.Second)
	c := sim.Counts()
	if c.Attempts.Sent != c.ServerAttempts.Received || c.ServerAttempts.Sent.Messages < c.Attempts.Received.Messages || c.Attempts.Received.Messages == 0 {
		t.Errorf("sidecars %+v, servers %+v", c.Attempts, c.ServerAttempts)
	}
	if c.Requests != c.WithinObjective+c.ObjectiveMissed+c.Rejected+c.Failed {
		t.Errorf("%d requests, of which ended %d + %d + %d + %d", c.Requests, c.WithinObjective, c.ObjectiveMissed, c.Rejected, c.Failed)
	}
	var byClass ClassCounts
	for i := range cfg.ClassMix {
		byClass.Requests += sim.Class(i).Requests
		byClass.WithinObjective += sim.Class(i).WithinObjective
	}
	if int64(byClass.Requests) != c.Requests || int64(byClass.WithinObjective) != c.WithinObjective {
		t.Errorf("sum of classes %+v, total %+v", byClass, c)
	}
	checkInvariants(t, sim)
}

// checkGossipCounts checks the datagrams of 100 sidecars, of which some may not have arrived yet.
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
		t.Errorf("%d datagrams received, lost or scheduled, want %d: %d for each of %d sent", got, want, recipients, c.Gossip.Sent.Messages)
	}
	if c.Gossip.Received.Bytes != datagramBytes*c.Gossip.Received.Messages || c.Gossip.Sent.Bytes != datagramBytes*c.Gossip.Sent.Messages {
		t.Errorf("datagrams %+v, want %d bytes each", c.Gossip, datagramBytes)
	}
}

// stopClients makes new client calls so rare that there is practically none.
func stopClients(sim *Simulation) {
	for _, s := range sim.sidecars {
		s.requestRate = 1e-9
	}
}

// Settings that cannot be simulated give an error.
func TestInvalidConfig(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Config)
	}{
		{"no sidecar", func(c *Config) { c.Sidecars = 0 }},
		{"no core", func(c *Config) { c.Server.Cores = 0 }},
		{"class mix of no class", func(c *Config) { c.ClassMix = nil }},
		{"more regions than zones", func(c *Config) { c.Regions = c.Zones + 1 }},
		{"endpoint ids and discovery", func(c *Config) { c.EndpointID = func(int) policy.EndpointID { return 0 } }},
		{"no latency objective", func(c *Config) { c.Policy.Classes[0].LatencyObjective = 0 }},
		{"negative first zone", func(c *Config) { c.FirstZone = -1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig(0, 6, 1)
			test.change(&cfg)
			if _, err := New(cfg); err == nil {
				t.Error("there is no error")
			}
		})
	}
}
