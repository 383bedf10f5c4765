package fleetsim

import (
	"testing"
	"time"
)

// The delay between zones depends on whether they share a region.
func TestNetworkDelays(t *testing.T) {
	sim := idleSimulation(t)
	n, config := sim.network, sim.config.Network
	if n.delay(0, 0) != config.SameZoneDelay || n.delay(0, 2) != config.CrossZoneDelay || n.delay(0, 3) != config.CrossRegionDelay {
		t.Errorf("delays %v %v %v", n.delay(0, 0), n.delay(0, 2), n.delay(0, 3))
	}
}

// A partition drops datagrams and attempts. What is sent over a connection arrives after the partition has healed,
// at the next retransmission.
func TestNetworkPartition(t *testing.T) {
	sim := idleSimulation(t)
	n := sim.network
	sim.PartitionRegions()
	if _, arrives := n.datagramArrives(0, 3); arrives {
		t.Error("a datagram passed the partition")
	}
	n.sendOnce(0, 3, func() { t.Error("an attempt passed the partition") })
	sentAt, arrivedAt := sim.clock.now, time.Duration(0)
	n.sendReliable(3, 0, func() { arrivedAt = sim.clock.now })
	sim.Run(1500 * ms)
	sim.HealPartition()
	sim.Run(5 * time.Second)
	const secondRetransmit = 3 * time.Second // 1 s, and 2 s more
	if want := sentAt + secondRetransmit + sim.config.Network.CrossRegionDelay; arrivedAt != want {
		t.Errorf("it arrived at %v, want %v", arrivedAt, want)
	}
}

// One datagram in a hundred is lost, as configured.
func TestDatagramLoss(t *testing.T) {
	sim := idleSimulation(t)
	lost := 0
	for range 10000 {
		if _, arrives := sim.network.datagramArrives(0, 1); !arrives {
			lost++
		}
	}
	if lost < 50 || lost > 150 {
		t.Errorf("%d of 10,000 datagrams lost, want about 100", lost)
	}
}
