package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"cranehatch/policy"
)

// A change of one endpoint costs each sidecar one entry, one response and one new watch, and discovery two calls for
// each sidecar, independent of the size of the list.
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
				t.Errorf("sidecars read %d entries in %d responses and made %d calls",
					c.EntriesRead, c.EndpointLists.Received.Messages, c.EndpointLists.Sent.Messages)
			}
			if d := c.Discovery; d.Processed != 2*all || d.EntriesWritten != all || d.Changes != 1 ||
				d.Received != c.EndpointLists.Sent || d.Sent != c.EndpointLists.Received {
				t.Errorf("discovery %+v", d)
			}
			if want := time.Duration(n) * (2*cfg.Discovery.CallTime + cfg.Discovery.EntryTime); c.Discovery.ProcessingTime != want {
				t.Errorf("discovery's processing time is %v, want %v", c.Discovery.ProcessingTime, want)
			}
			if len(sim.PropagationTimes()) != 1 || sim.PendingChanges() != 0 {
				t.Errorf("propagation times %v, %d changes pending", sim.PropagationTimes(), sim.PendingChanges())
			}
		})
	}
}

// All sidecars call discovery at once, and it takes 100 ms for each call. It processes one call at a time and fails
// those that wait in its queue for too long.
func TestDiscoveryOverload(t *testing.T) {
	cfg := testConfig(1, 60, 0)
	cfg.RequestRate, cfg.Discovery.CallTime, cfg.Discovery.QueueTimeout = 0, 100*ms, time.Second
	sim := newSimulation(t, cfg)
	sim.Run(1500 * ms)
	c := sim.Counts().Discovery
	if c.Processed > 15 || c.Processed < 10 || c.MaxQueueWait > time.Second {
		t.Errorf("%d calls of 100 ms were processed in 1.5 s, after up to %v in the queue", c.Processed, c.MaxQueueWait)
	}
	if c.TimedOut == 0 {
		t.Error("of 60 calls at once, none timed out")
	}
}
