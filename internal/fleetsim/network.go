package fleetsim

import (
	"math/rand/v2"
	"time"
)

// NetworkConfig sets what the model network does. The zero value carries everything at once and loses nothing.
type NetworkConfig struct {
	SameZoneDelay    time.Duration // one way within a zone
	CrossZoneDelay   time.Duration // one way to another zone of the region
	CrossRegionDelay time.Duration // one way to another region

	DatagramMinDelay time.Duration // a datagram takes at least this more,
	DatagramJitter   time.Duration // and up to this more again, evenly spread in 20 steps
	DatagramLoss     float64       // share of datagrams that never arrive
}

const (
	// What is lost of a connection is sent again after this, then after twice as long each time, as TCP does
	// with the first segment of a connection. Whoever waits for it gives up by its own clock.
	firstResend = time.Second
	lastResend  = 2 * time.Minute

	datagramSteps = 20
)

// simNetwork carries messages between zones, each with its delay, or not at all where it is cut.
type simNetwork struct {
	NetworkConfig
	clock   *clock
	rng     *rand.Rand
	regions []int    // of each zone
	cut     [][]bool // by zone, both ways
}

func newNetwork(cfg NetworkConfig, c *clock, rng *rand.Rand, zones, regions int) *simNetwork {
	n := &simNetwork{NetworkConfig: cfg, clock: c, rng: rng}
	for z := range zones {
		n.regions = append(n.regions, z*regions/zones)
		n.cut = append(n.cut, make([]bool, zones))
	}
	return n
}

// delay is what one way between two zones takes.
func (n *simNetwork) delay(from, to int) time.Duration {
	switch {
	case from == to:
		return n.SameZoneDelay
	case n.regions[from] == n.regions[to]:
		return n.CrossZoneDelay
	}
	return n.CrossRegionDelay
}

// sendOnce carries part of a request or an answer to it. What a cut swallows is lost: attempts are given up
// long before it would be sent again.
func (n *simNetwork) sendOnce(from, to int, do func()) {
	switch d := n.delay(from, to); {
	case n.cut[from][to]:
	case d == 0:
		do()
	default:
		n.clock.after(d, do)
	}
}

// sendReliable carries something over a connection that outlasts a cut: it is sent again until it arrives.
func (n *simNetwork) sendReliable(from, to int, do func()) { n.resend(from, to, firstResend, do) }

func (n *simNetwork) resend(from, to int, pause time.Duration, do func()) {
	if n.cut[from][to] {
		n.clock.after(pause, func() { n.resend(from, to, min(2*pause, lastResend), do) })
		return
	}
	n.clock.after(n.delay(from, to), do)
}

// datagramArrives tells whether a datagram arrives, and in which step of its spread.
func (n *simNetwork) datagramArrives(from, to int) (step int, arrives bool) {
	if n.cut[from][to] || n.rng.Float64() >= 1-n.DatagramLoss {
		return 0, false
	}
	if n.DatagramJitter > 0 {
		step = n.rng.IntN(datagramSteps)
	}
	return step, true
}

// spread is how long a datagram takes of that step.
func (n *simNetwork) spread(from, to, step int) time.Duration {
	return n.delay(from, to) + n.DatagramMinDelay + n.DatagramJitter*time.Duration(step)/datagramSteps
}

// setPartition cuts or heals what connects different sides, named by a number for each zone.
func (n *simNetwork) setPartition(side func(zone int) int, cut bool) {
	for from := range n.cut {
		for to := range n.cut {
			if side(from) != side(to) {
				n.cut[from][to] = cut
			}
		}
	}
}
