package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// CPUBreakdown is the CPU time of a sidecar in intervals with and without requests and gossip.
type CPUBreakdown struct {
	FleetSize
	ServiceTime                  time.Duration // time in which a server processes a request
	RequestRate, GossipRate      float64       // requests per second, datagrams per second
	Idle, Requests, Gossip, Both []Interval    // intervals by the kind of traffic
}

// trafficKind is one of the four kinds of traffic in a CPUBreakdown.
type trafficKind struct {
	requests, gossip bool
	intervals        *[]Interval // the field of the CPUBreakdown for intervals of this kind
}

// breakdownMeasurement is a measurement of a CPUBreakdown in progress.
type breakdownMeasurement struct {
	testbed   *testbed
	generator *standIn
	timeout   time.Duration // timeout of a request
	duration  time.Duration // length of an interval
	result    CPUBreakdown
}

// MeasureCPUBreakdown measures a number of rounds. A round has one interval of each kind of traffic; the kind
// that comes first rotates from round to round. requestRate is in requests per second.
func (b *Bench) MeasureCPUBreakdown(ctx context.Context, size FleetSize, requestRate float64, serviceTime, intervalLength time.Duration, rounds int) (CPUBreakdown, error) {
	tb, err := b.newTestbed(ctx, size, maxSenders, serviceTime)
	if err != nil {
		return CPUBreakdown{}, err
	}
	generator, err := startStandIn(ctx, b.StandIn, roleLoad, standInConfig{MaxConnections: maxInFlight})
	if err != nil {
		return CPUBreakdown{}, errors.Join(err, tb.close())
	}
	m := breakdownMeasurement{
		testbed: tb, generator: generator, timeout: 2 * b.LatencyObjective, duration: intervalLength,
		result: CPUBreakdown{FleetSize: size, ServiceTime: serviceTime, RequestRate: requestRate, GossipRate: b.gossipRate(size)},
	}
	err = m.run(ctx, rounds)
	// Stop the generator first: the sidecar exits only when all connections to it are closed.
	err = errors.Join(err, generator.stop(), tb.close())
	return m.result, err
}

// run measures the intervals of all rounds.
func (m *breakdownMeasurement) run(ctx context.Context, rounds int) error {
	kinds := []trafficKind{
		{false, false, &m.result.Idle},
		{true, false, &m.result.Requests},
		{false, true, &m.result.Gossip},
		{true, true, &m.result.Both},
	}
	for round := range rounds {
		for i := range kinds {
			kind := kinds[(round+i)%len(kinds)]
			interval, err := m.testbed.measureInterval(ctx, m.traffic(kind, round, i), m.duration)
			if err != nil {
				return fmt.Errorf("measure CPU breakdown: %w", err)
			}
			*kind.intervals = append(*kind.intervals, interval)
		}
	}
	return nil
}

// traffic returns the traffic of interval i of a round.
func (m *breakdownMeasurement) traffic(kind trafficKind, round, i int) traffic {
	t := traffic{gossip: gossipLoad{Target: m.testbed.gossipAddress, Rate: m.result.GossipRate, Seed: uint64(round)}}
	if kind.gossip {
		t.gossip.Count = datagramCount(m.duration, m.result.GossipRate)
	}
	if kind.requests {
		t.generator = m.generator
		t.requests = Load{
			Targets: []string{m.testbed.sidecar.address}, Rate: m.result.RequestRate,
			Requests:    max(1, int(m.result.RequestRate*m.duration.Seconds())),
			MaxInFlight: maxInFlight, Timeout: m.timeout, IDPrefix: fmt.Sprintf("r%d-%d", round, i),
		}
	}
	return t
}
