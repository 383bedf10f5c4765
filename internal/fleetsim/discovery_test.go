package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"cranehatch/policy"
)

// The cost of one endpoint change must not grow with the size of the list: each sidecar reads one entry in
// one response and opens one new watch, and discovery processes two calls per sidecar.
func TestEndpointChangeCostsOneEntryPerSidecar(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		t.Run(fmt.Sprintf("%d sidecars", n), func(t *testing.T) {
			cfg := testConfig(1, n, 0)
			cfg.RequestRate = 0
			sim := newSimulation(t, cfg)
			sim.Run(5 * time.Second)
			sim.ResetCounts()
			sim.announceState(n/2, policy.Draining)
			sim.Run(2 * time.Second)
			c, all := sim.Counts(), int64(n)
			if c.EntriesRead != all || c.EndpointLists.Received.Messages != all || c.EndpointLists.Sent.Messages != all {
				t.Errorf("sidecars read %d entries in %d responses and made %d calls, want one of each per sidecar",
					c.EntriesRead, c.EndpointLists.Received.Messages, c.EndpointLists.Sent.Messages)
			}
			if d := c.Discovery; d.Processed != 2*all || d.EntriesWritten != all || d.Changes != 1 ||
				d.Received != c.EndpointLists.Sent || d.Sent != c.EndpointLists.Received {
				t.Errorf("discovery counts = %+v, want two calls, one entry and one response per sidecar, and one change",
					d)
			}
			if want := time.Duration(n) * (2*cfg.Discovery.CallTime + cfg.Discovery.EntryTime); c.Discovery.ProcessingTime != want {
				t.Errorf("discovery processing time = %v, want %v", c.Discovery.ProcessingTime, want)
			}
			if len(sim.PropagationTimes()) != 1 || sim.PendingChanges() != 0 {
				t.Errorf("propagation times = %v with %d pending changes, want one time and no pending change",
					sim.PropagationTimes(), sim.PendingChanges())
			}
		})
	}
}

// All sidecars call discovery at once, and each call takes 100 ms. Discovery must process one call at a time
// and fail the calls that wait in its queue for longer than QueueTimeout.
func TestDiscoveryOverload(t *testing.T) {
	cfg := testConfig(1, 60, 0)
	cfg.RequestRate, cfg.Discovery.CallTime, cfg.Discovery.QueueTimeout = 0, 100*ms, time.Second
	sim := newSimulation(t, cfg)
	sim.Run(1500 * ms)
	c := sim.Counts().Discovery
	if c.Processed > 15 || c.Processed < 10 || c.MaxQueueWait > time.Second {
		t.Errorf("discovery processed %d calls of 100 ms in 1.5 s, with a queue wait of up to %v; want 10 to 15 calls and at most 1 s",
			c.Processed, c.MaxQueueWait)
	}
	if c.TimedOut == 0 {
		t.Error("none of 60 concurrent calls timed out")
	}
}
