package fleetsim

import (
	"testing"
	"time"
)

// The delay between two zones must depend on whether they are in the same region.
func TestNetworkDelays(t *testing.T) {
	sim := idleSimulation(t)
	n, config := sim.network, sim.config.Network
	if n.delay(0, 0) != config.SameZoneDelay || n.delay(0, 2) != config.CrossZoneDelay || n.delay(0, 3) != config.CrossRegionDelay {
		t.Errorf("delays = %v, %v, %v; want the delays within a zone, between zones and between regions",
			n.delay(0, 0), n.delay(0, 2), n.delay(0, 3))
	}
}

// A partition must drop datagrams and attempts. A message over a connection must arrive after the partition
// has healed, with the next retransmission.
func TestNetworkPartition(t *testing.T) {
	sim := idleSimulation(t)
	n := sim.network
	sim.PartitionRegions()
	if _, arrives := n.datagramArrives(0, 3); arrives {
		t.Error("datagram was delivered across the partition")
	}
	n.sendOnce(0, 3, func() { t.Error("attempt was delivered across the partition") })
	sentAt, arrivedAt := sim.clock.now, time.Duration(0)
	n.sendReliable(3, 0, func() { arrivedAt = sim.clock.now })
	sim.Run(1500 * ms)
	sim.HealPartition()
	sim.Run(5 * time.Second)
	const secondRetransmit = 3 * time.Second // 1 s, then 2 s more
	if want := sentAt + secondRetransmit + sim.config.Network.CrossRegionDelay; arrivedAt != want {
		t.Errorf("message over a connection arrived at %v, want %v", arrivedAt, want)
	}
}

// The network must lose one datagram in a hundred, as configured.
func TestDatagramLoss(t *testing.T) {
	sim := idleSimulation(t)
	lost := 0
	for range 10000 {
		if _, arrives := sim.network.datagramArrives(0, 1); !arrives {
			lost++
		}
	}
	if lost < 50 || lost > 150 {
		t.Errorf("%d of 10,000 datagrams were lost, want about 100", lost)
	}
}
