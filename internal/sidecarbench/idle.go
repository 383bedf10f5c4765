package sidecarbench

import (
	"context"
	"errors"
	"time"
)

// IdleCost is the cost of a sidecar without requests.
type IdleCost struct {
	StartCost
	Duration  time.Duration // length of the measurement
	CPU       time.Duration // CPU time used during the measurement
	Memory    Memory        // memory at the end of the measurement
	Discovery Counts        // calls to discovery, counted by discovery
	Gossip    Counts        // gossip that the sidecar sent, counted by its peers
}

// MeasureIdle starts a sidecar for each fleet size, one after the other, and then measures all of them for
// the given duration. They are measured at the same time because an idle sidecar uses too little CPU time to
// affect the others.
func (b *Bench) MeasureIdle(ctx context.Context, sizes []FleetSize, duration time.Duration) (costs []IdleCost, err error) {
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
	usages, err := measureIdleUsage(ctx, testbeds, duration)
	if err != nil {
		return nil, err
	}
	for i, tb := range testbeds {
		before, after := usages[i].before, usages[i].after
		costs = append(costs, IdleCost{
			StartCost: tb.startCost,
			Duration:  duration,
			CPU:       after.cpu - before.cpu,
			Memory:    after.memory,
			Discovery: after.discovery.sub(before.discovery),
			Gossip:    after.gossip.sub(before.gossip),
		})
	}
	return costs, nil
}

// idleUsage is the CPU time and the traffic of a sidecar since its start, and its current memory.
type idleUsage struct {
	cpu               time.Duration
	memory            Memory
	discovery, gossip Counts
}

// idleInterval is the usage of a sidecar at the start and at the end of an interval.
type idleInterval struct{ before, after idleUsage }

// measureIdleUsage reads the usage of all sidecars, waits for the given duration and reads it again.
func measureIdleUsage(ctx context.Context, testbeds []*testbed, duration time.Duration) ([]idleInterval, error) {
	intervals := make([]idleInterval, len(testbeds))
	var err error
	for i, tb := range testbeds {
		if intervals[i].before, err = tb.idleUsage(ctx); err != nil {
			return nil, err
		}
	}
	if err := wait(ctx, duration); err != nil {
		return nil, err
	}
	for i, tb := range testbeds {
		if intervals[i].after, err = tb.idleUsage(ctx); err != nil {
			return nil, err
		}
	}
	return intervals, nil
}

// idleUsage returns the current usage of the sidecar.
func (tb *testbed) idleUsage(ctx context.Context) (usage idleUsage, err error) {
	if usage.cpu, usage.memory, err = tb.sidecarUsage(); err != nil {
		return usage, err
	}
	if usage.discovery, err = tb.discovery.counts(ctx); err != nil {
		return usage, err
	}
	usage.gossip, err = tb.peers.counts(ctx)
	return usage, err
}
