package sidecarbench

import (
	"context"
	"errors"
	"time"
)

// IdleCost is what a sidecar without requests costs.
type IdleCost struct {
	StartCost
	Duration  time.Duration // of the measurement
	CPU       time.Duration // processor time
	Memory    Memory        // at the end
	Discovery Counts        // of its calls of discovery
	Gossip    Counts        // of its datagrams, as its peers see them
}

// MeasureIdle measures sidecars for fleets of these sizes for d, after starting one after the other. All are measured
// at the same time, as each uses next to nothing.
func (b *Bench) MeasureIdle(ctx context.Context, sizes []FleetSize, d time.Duration) (costs []IdleCost, err error) {
	var testbeds []*testbed
	defer func() {
		for _, tb := range testbeds {
			err = errors.Join(err, tb.close())
		}
	}()
	for _, size := range sizes {
		tb, err := b.newTestbed(ctx, size, 0, 0)
		if err != nil {
			return nil, err
		}
		testbeds = append(testbeds, tb)
	}
	usages, err := measureIdleUsage(ctx, testbeds, d)
	if err != nil {
		return nil, err
	}
	for i, tb := range testbeds {
		before, after := usages[i].before, usages[i].after
		costs = append(costs, IdleCost{
			StartCost: tb.startCost,
			Duration:  d,
			CPU:       after.cpu - before.cpu,
			Memory:    after.memory,
			Discovery: after.discovery.minus(before.discovery),
			Gossip:    after.gossip.minus(before.gossip),
		})
	}
	return costs, nil
}

// idleUsage is what a sidecar has used since its start.
type idleUsage struct {
	cpu               time.Duration
	memory            Memory
	discovery, gossip Counts
}

// idleInterval is the usage of a sidecar before and after an interval.
type idleInterval struct{ before, after idleUsage }

// measureIdleUsage measures all sidecars before and after d.
func measureIdleUsage(ctx context.Context, testbeds []*testbed, d time.Duration) ([]idleInterval, error) {
	intervals := make([]idleInterval, len(testbeds))
	var err error
	for i, tb := range testbeds {
		if intervals[i].before, err = tb.idleUsage(ctx); err != nil {
			return nil, err
		}
	}
	if err := wait(ctx, d); err != nil {
		return nil, err
	}
	for i, tb := range testbeds {
		if intervals[i].after, err = tb.idleUsage(ctx); err != nil {
			return nil, err
		}
	}
	return intervals, nil
}

func (tb *testbed) idleUsage(ctx context.Context) (u idleUsage, err error) {
	if u.cpu, u.memory, err = tb.sidecarUsage(); err != nil {
		return u, err
	}
	if u.discovery, err = tb.discovery.counts(ctx); err != nil {
		return u, err
	}
	u.gossip, err = tb.peers.counts(ctx)
	return u, err
}
