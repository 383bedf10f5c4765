package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Block is a series of requests, either all direct or all through the sidecar.
type Block struct {
	Result                LoadResult    // includes the CPU time of the load generator
	SidecarCPU, ServerCPU time.Duration // CPU time of the sidecar and of the servers during the block
	Connections           int64         // connections that the servers accepted during the block
}

// RequestCost is the cost of requests, measured in pairs of a direct and a proxied block with the same
// schedule.
type RequestCost struct {
	FleetSize
	Rate               float64       // requests per second
	Direct, Proxied    []Block       // blocks sent directly and through the sidecar; equal indexes form a pair
	UserCPU, SystemCPU time.Duration // CPU time of the sidecar process from its start to its end (rusage)
	Served             int64         // requests that the servers have received since their start
	Sent               int64         // requests that were sent since the start of the servers
	Warnings           int64         // lines of level WARN or ERROR in the sidecar's log
	Memory             Memory        // memory of the sidecar after all blocks
}

// requestMeasurement is a measurement of a RequestCost in progress.
type requestMeasurement struct {
	testbed   *testbed
	generator *standIn
	timeout   time.Duration // timeout of a request
	cost      RequestCost
}

// MeasureRequests measures pairs of blocks at rate requests per second, after a shorter warm-up pair that is
// not in the result. The order of the two blocks alternates from pair to pair. It returns an error if a
// process fails, but not for failed requests.
func (b *Bench) MeasureRequests(ctx context.Context, size FleetSize, rate float64, requests, pairs int) (RequestCost, error) {
	tb, err := b.newTestbed(ctx, size, 0, 0)
	if err != nil {
		return RequestCost{}, err
	}
	generator, err := startStandIn(ctx, b.StandIn, roleLoad, standInConfig{MaxConnections: maxInFlight})
	if err != nil {
		return RequestCost{}, errors.Join(err, tb.close())
	}
	m := requestMeasurement{
		testbed: tb, generator: generator, timeout: 2 * b.LatencyObjective,
		// Sent starts at 1 for the first request, which the testbed has sent already.
		cost: RequestCost{FleetSize: size, Rate: rate, Sent: 1},
	}
	err = m.run(ctx, requests, pairs)
	m.cost.Warnings = tb.sidecar.warnings.Load()
	// Stop the generator first: the sidecar exits only when all connections to it are closed.
	err = errors.Join(err, generator.stop())
	err = errors.Join(err, tb.close())
	if err != nil {
		return m.cost, fmt.Errorf("measure requests: %w", err)
	}
	state := tb.sidecar.cmd.ProcessState
	m.cost.UserCPU, m.cost.SystemCPU = state.UserTime(), state.SystemTime()
	return m.cost, nil
}

// run measures the warm-up pair and all pairs of blocks.
func (m *requestMeasurement) run(ctx context.Context, requests, pairs int) error {
	for _, proxied := range []bool{true, false} {
		if _, err := m.runBlock(ctx, proxied, max(1, requests/4)); err != nil {
			return err
		}
	}
	for pair := range pairs {
		proxiedFirst := pair%2 == 0
		for _, proxied := range []bool{proxiedFirst, !proxiedFirst} {
			block, err := m.runBlock(ctx, proxied, requests)
			if err != nil {
				return err
			}
			if proxied {
				m.cost.Proxied = append(m.cost.Proxied, block)
			} else {
				m.cost.Direct = append(m.cost.Direct, block)
			}
		}
	}
	serverCounts, err := m.testbed.server.counts(ctx)
	if err != nil {
		return err
	}
	m.cost.Served = serverCounts.Requests
	m.cost.Memory, err = readMemory(m.testbed.sidecar.pid())
	return err
}

// runBlock sends a number of requests as one block and measures it.
func (m *requestMeasurement) runBlock(ctx context.Context, proxied bool, requests int) (Block, error) {
	load := Load{
		Targets: m.testbed.server.addresses.Service, Rate: m.cost.Rate, Requests: requests, MaxInFlight: maxInFlight,
		Timeout: m.timeout, IDPrefix: fmt.Sprintf("b%d", m.cost.Sent),
	}
	if proxied {
		load.Targets = []string{m.testbed.sidecar.address}
	}
	m.cost.Sent += int64(requests)
	return m.testbed.measureBlock(ctx, m.generator, load)
}

// measureBlock sends a load as one block. CPU times are read right before and after the load.
func (tb *testbed) measureBlock(ctx context.Context, generator *standIn, load Load) (block Block, err error) {
	countsBefore, err := tb.server.counts(ctx)
	if err != nil {
		return block, err
	}
	cpuBefore, err := tb.blockCPU()
	if err != nil {
		return block, err
	}
	if err := generator.call(ctx, "/load", load, &block.Result); err != nil {
		return block, err
	}
	cpuAfter, err := tb.blockCPU()
	if err != nil {
		return block, err
	}
	block.SidecarCPU = cpuAfter.sidecar - cpuBefore.sidecar
	block.ServerCPU = cpuAfter.server - cpuBefore.server
	countsAfter, err := tb.server.counts(ctx)
	block.Connections = countsAfter.Connections - countsBefore.Connections
	return block, err
}

// blockCPU is the CPU time of the sidecar and of the servers since their start.
type blockCPU struct{ sidecar, server time.Duration }

// blockCPU reads the CPU times of the sidecar and of the servers.
func (tb *testbed) blockCPU() (cpu blockCPU, err error) {
	if cpu.sidecar, err = cpuTime(tb.sidecar.pid()); err != nil {
		return cpu, err
	}
	cpu.server, err = cpuTime(tb.server.pid())
	return cpu, err
}
