package fleetsim

import (
	"math/rand/v2"
	"time"
)

const (
	// initialRetransmit is the time after which a lost segment is first retransmitted. The time doubles
	// with each further retransmission, as in TCP for the first segment of a connection.
	initialRetransmit = time.Second

	// maxRetransmit is the upper bound of the time between retransmissions.
	maxRetransmit = 2 * time.Minute

	// jitterSteps is the number of different values that the jitter of a datagram can have.
	jitterSteps = 20
)

// simNetwork is the network between zones. It delivers messages after a delay, unless a partition separates
// the zones.
type simNetwork struct {
	NetworkConfig
	clock       *clock
	rng         *rand.Rand
	regions     []int    // region of each zone
	partitioned [][]bool // by the zones of the sender and the recipient
}

// newNetwork creates a network without partitions, and assigns contiguous ranges of zones to regions.
func newNetwork(config NetworkConfig, c *clock, rng *rand.Rand, zones, regions int) *simNetwork {
	n := &simNetwork{NetworkConfig: config, clock: c, rng: rng}
	for zone := range zones {
		n.regions = append(n.regions, zone*regions/zones)
		n.partitioned = append(n.partitioned, make([]bool, zones))
	}
	return n
}

// region returns the region of a zone.
func (n *simNetwork) region(zone int) int { return n.regions[zone] }

// delay returns the one-way delay between two zones.
func (n *simNetwork) delay(from, to int) time.Duration {
	switch {
	case from == to:
		return n.SameZoneDelay
	case n.regions[from] == n.regions[to]:
		return n.CrossZoneDelay
	}
	return n.CrossRegionDelay
}

// sendOnce delivers a message of an attempt. If there is no delay, it calls deliver before it returns. A
// partition drops the message, because the attempt times out long before a retransmission.
func (n *simNetwork) sendOnce(from, to int, deliver func()) {
	switch delay := n.delay(from, to); {
	case n.partitioned[from][to]:
	case delay == 0:
		deliver()
	default:
		n.clock.after(delay, deliver)
	}
}

// sendReliable delivers a message over a connection that survives a partition: the message is retransmitted
// until it arrives.
func (n *simNetwork) sendReliable(from, to int, deliver func()) {
	n.sendWithRetransmit(from, to, initialRetransmit, deliver)
}

// sendWithRetransmit delivers a message, or schedules its retransmission during a partition.
func (n *simNetwork) sendWithRetransmit(from, to int, retransmit time.Duration, deliver func()) {
	if n.partitioned[from][to] {
		n.clock.after(retransmit, func() {
			n.sendWithRetransmit(from, to, min(2*retransmit, maxRetransmit), deliver)
		})
		return
	}
	n.clock.after(n.delay(from, to), deliver)
}

// datagramArrives draws whether a datagram arrives, and its jitter step if it does.
func (n *simNetwork) datagramArrives(from, to int) (step int, arrives bool) {
	if n.partitioned[from][to] || n.rng.Float64() >= 1-n.DatagramLoss {
		return 0, false
	}
	if n.DatagramJitter > 0 {
		step = n.rng.IntN(jitterSteps)
	}
	return step, true
}

// datagramDelay returns the delay of a datagram with the given jitter step.
func (n *simNetwork) datagramDelay(from, to, step int) time.Duration {
	return n.delay(from, to) + n.DatagramMinDelay + n.DatagramJitter*time.Duration(step)/jitterSteps
}

// setPartition starts or ends a partition between all zones of different groups.
func (n *simNetwork) setPartition(group func(zone int) int, partitioned bool) {
	for from := range n.partitioned {
		for to := range n.partitioned {
			if group(from) != group(to) {
				n.partitioned[from][to] = partitioned
			}
		}
	}
}
