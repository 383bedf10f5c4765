package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	datagramBytes       = 24 // payload of a gossip datagram
	datagramHeaderBytes = 28 // UDP and IP headers of a datagram
)

// GossipCost is the cost of receiving gossip for a sidecar.
type GossipCost struct {
	FleetSize
	Senders           int        // peers with a socket; they send the gossip of all peers
	Rate              float64    // datagrams per second
	Silent, Receiving []Interval // pairs of intervals without gossip and with gossip
	Received          int64      // datagrams, as of the last counters line in the log; there is one every 10 s
}

// gossipRate returns the number of datagrams per second that a sidecar receives if each of its peers sends
// one per latency objective.
func (b *Bench) gossipRate(size FleetSize) float64 {
	return float64(size.Peers-1) / b.LatencyObjective.Seconds()
}

// datagramCount returns the number of datagrams during d at a rate per second, at least one.
func datagramCount(d time.Duration, rate float64) int { return max(1, int(rate*d.Seconds())) }

// MeasureGossip measures pairs of intervals without requests: one without gossip and one with the gossip of
// all peers.
func (b *Bench) MeasureGossip(ctx context.Context, size FleetSize, intervalLength time.Duration, pairs int) (cost GossipCost, err error) {
	tb, err := b.newTestbed(ctx, size, maxSenders, 0)
	if err != nil {
		return GossipCost{}, err
	}
	defer func() { err = errors.Join(err, tb.close()) }()
	cost = GossipCost{FleetSize: size, Senders: tb.senders, Rate: b.gossipRate(size)}
	for pair := range pairs {
		receivingFirst := pair%2 == 0
		for _, receiving := range []bool{receivingFirst, !receivingFirst} {
			if err := cost.measure(ctx, tb, intervalLength, uint64(pair), receiving); err != nil {
				return cost, fmt.Errorf("measure gossip: %w", err)
			}
		}
	}
	cost.Received = tb.sidecar.gossipReceived.Load()
	return cost, nil
}

// measure measures one interval and adds it to the cost.
func (c *GossipCost) measure(ctx context.Context, tb *testbed, intervalLength time.Duration, seed uint64, receiving bool) error {
	gossip := gossipLoad{Target: tb.gossipAddress, Rate: c.Rate, Seed: seed}
	if receiving {
		gossip.Count = datagramCount(intervalLength, c.Rate)
	}
	interval, err := tb.measureInterval(ctx, traffic{gossip: gossip}, intervalLength)
	if err != nil {
		return err
	}
	if receiving {
		c.Receiving = append(c.Receiving, interval)
	} else {
		c.Silent = append(c.Silent, interval)
	}
	return nil
}
