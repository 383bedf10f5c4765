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
	before, err := idleUsages(ctx, testbeds)
	if err != nil {
		return nil, err
	}
	if err := wait(ctx, d); err != nil {
		return nil, err
	}
	after, err := idleUsages(ctx, testbeds)
	if err != nil {
		return nil, err
	}
	for i, tb := range testbeds {
		costs = append(costs, IdleCost{
			StartCost: tb.startCost,
			Duration:  d,
			CPU:       after[i].cpu - before[i].cpu,
			Memory:    after[i].memory,
			Discovery: after[i].discovery.minus(before[i].discovery),
			Gossip:    after[i].gossip.minus(before[i].gossip),
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

func idleUsages(ctx context.Context, testbeds []*testbed) (usages []idleUsage, err error) {
	for _, tb := range testbeds {
		u, err := tb.idleUsage(ctx)
		if err != nil {
			return nil, err
		}
		usages = append(usages, u)
	}
	return usages, nil
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

// wait waits for d, or returns the error of ctx if that ends before.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
