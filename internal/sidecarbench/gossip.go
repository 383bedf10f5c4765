package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Bytes of a gossip datagram, and of its UDP and IP headers.
const (
	datagramBytes       = 24
	datagramHeaderBytes = 28
)

// GossipCost is what it costs a sidecar to receive gossip.
type GossipCost struct {
	FleetSize
	Senders           int        // peers with a socket, which send for all
	Rate              float64    // datagrams per second
	Silent, Receiving []Interval // in pairs: without and with gossip
	Received          int64      // datagrams by the sidecar's last log line about them (every 10 s)
}

// gossipRate is the rate of datagrams at a sidecar, per second, if each of its peers sends one per latency objective.
func (b *Bench) gossipRate(size FleetSize) float64 {
	return float64(size.Peers-1) / b.LatencyObjective.Seconds()
}

// datagramsIn is how many datagrams come at a rate in d, at least one.
func datagramsIn(d time.Duration, rate float64) int { return max(1, int(rate*d.Seconds())) }

// MeasureGossip measures pairs of intervals of length d, one silent and one with the gossip of all peers, without any
// requests.
func (b *Bench) MeasureGossip(ctx context.Context, size FleetSize, d time.Duration, pairs int) (cost GossipCost, err error) {
	tb, err := b.newTestbed(ctx, size, maxSenders, 0)
	if err != nil {
		return GossipCost{}, err
	}
	defer func() { err = errors.Join(err, tb.close()) }()
	cost = GossipCost{FleetSize: size, Senders: tb.senders, Rate: b.gossipRate(size)}
	for pair := range pairs {
		receivingFirst := pair%2 == 0
		for _, receiving := range []bool{receivingFirst, !receivingFirst} {
			if err := cost.measure(ctx, tb, d, uint64(pair), receiving); err != nil {
				return cost, fmt.Errorf("gossip: %w", err)
			}
		}
	}
	cost.Received = tb.sidecar.gossipReceived.Load()
	return cost, nil
}

// measure adds one interval.
func (c *GossipCost) measure(ctx context.Context, tb *testbed, d time.Duration, seed uint64, receiving bool) error {
	gossip := gossipLoad{Target: tb.gossipAddress, Rate: c.Rate, Seed: seed}
	if receiving {
		gossip.Count = datagramsIn(d, c.Rate)
	}
	interval, err := tb.measureInterval(ctx, traffic{gossip: gossip}, d)
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
