package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// CPUBreakdown is the processor time of a sidecar in intervals with and without requests and gossip.
type CPUBreakdown struct {
	FleetSize
	ServiceTime                  time.Duration // of the servers, for a request
	RequestRate, GossipRate      float64       // requests and datagrams per second
	Idle, Requests, Gossip, Both []Interval    // by the traffic of the sidecar
}

// trafficKind is one of the kinds of intervals in a CPUBreakdown.
type trafficKind struct {
	requests, gossip bool
	intervals        *[]Interval
}

// breakdownMeasurement is a running measurement of a CPUBreakdown.
type breakdownMeasurement struct {
	testbed   *testbed
	generator *standIn
	timeout   time.Duration // of a request
	duration  time.Duration // of an interval
	result    CPUBreakdown
}

// MeasureCPUBreakdown measures rounds of one interval of each kind, of length d each and with requestRate requests per
// second. Each round begins with the next kind.
func (b *Bench) MeasureCPUBreakdown(ctx context.Context, size FleetSize, requestRate float64, serviceTime, d time.Duration, rounds int) (CPUBreakdown, error) {
	tb, err := b.newTestbed(ctx, size, maxSenders, serviceTime)
	if err != nil {
		return CPUBreakdown{}, err
	}
	generator, err := startStandIn(ctx, b.StandIn, roleLoad, standInConfig{MaxConnections: maxInFlight})
	if err != nil {
		return CPUBreakdown{}, errors.Join(err, tb.close())
	}
	m := breakdownMeasurement{
		testbed: tb, generator: generator, timeout: 2 * b.LatencyObjective, duration: d,
		result: CPUBreakdown{FleetSize: size, ServiceTime: serviceTime, RequestRate: requestRate, GossipRate: b.gossipRate(size)},
	}
	err = m.run(ctx, rounds)
	err = errors.Join(err, generator.stop(), tb.close()) // in this order, as the sidecar waits for its connections
	return m.result, err
}

// run measures all rounds.
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
				return fmt.Errorf("breakdown of processor time: %w", err)
			}
			*kind.intervals = append(*kind.intervals, interval)
		}
	}
	return nil
}

// traffic returns the traffic of the i-th interval of a round.
func (m *breakdownMeasurement) traffic(kind trafficKind, round, i int) traffic {
	t := traffic{gossip: gossipLoad{Target: m.testbed.gossipAddress, Rate: m.result.GossipRate, Seed: uint64(round)}}
	if kind.gossip {
		t.gossip.Count = datagramsIn(m.duration, m.result.GossipRate)
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
