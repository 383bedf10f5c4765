package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Block is a series of requests, all direct or all through the sidecar.
type Block struct {
	Result                LoadResult    // with the processor time of the load generator
	SidecarCPU, ServerCPU time.Duration // processor time during the block
	Connections           int64         // that the servers accepted during the block
}

// RequestCost is what requests cost, direct and through a sidecar, in pairs of blocks with the same schedule.
type RequestCost struct {
	FleetSize
	Rate               float64 // requests per second
	Direct, Proxied    []Block
	UserCPU, SystemCPU time.Duration // of the sidecar process, from its start to its end (rusage)
	Served             int64         // requests that the servers have counted since their start
	Sent               int64         // requests that were sent in the same time
	Warnings           int64         // in the sidecar's log
	Memory             Memory        // of the sidecar, after all blocks
}

// requestMeasurement is a running measurement of RequestCost.
type requestMeasurement struct {
	testbed   *testbed
	generator *standIn
	timeout   time.Duration
	cost      RequestCost
}

// MeasureRequests measures pairs of blocks of requests, at rate requests per second, after a shorter pair that is not
// counted. Each pair has the other order than the one before. It returns an error if a process fails, not for requests
// that fail.
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
		cost: RequestCost{FleetSize: size, Rate: rate, Sent: 1}, // the first request of the testbed
	}
	err = m.run(ctx, requests, pairs)
	m.cost.Warnings = tb.sidecar.warnings.Load()
	err = errors.Join(err, generator.stop()) // first, as the sidecar waits until its connections are closed
	err = errors.Join(err, tb.close())
	if err != nil {
		return m.cost, fmt.Errorf("requests: %w", err)
	}
	state := tb.sidecar.cmd.ProcessState
	m.cost.UserCPU, m.cost.SystemCPU = state.UserTime(), state.SystemTime()
	return m.cost, nil
}

// run measures all blocks.
func (m *requestMeasurement) run(ctx context.Context, requests, pairs int) error {
	for _, proxied := range []bool{true, false} {
		if _, err := m.block(ctx, proxied, max(1, requests/4)); err != nil {
			return err
		}
	}
	for pair := range pairs {
		proxiedFirst := pair%2 == 0
		for _, proxied := range []bool{proxiedFirst, !proxiedFirst} {
			block, err := m.block(ctx, proxied, requests)
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
	seen, err := m.testbed.server.counts(ctx)
	if err != nil {
		return err
	}
	m.cost.Served = seen.Requests
	m.cost.Memory, err = readMemory(m.testbed.sidecar.pid())
	return err
}

// block measures one block.
func (m *requestMeasurement) block(ctx context.Context, proxied bool, requests int) (Block, error) {
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

// measureBlock sends a load, and measures the processor times right before and after it.
func (tb *testbed) measureBlock(ctx context.Context, generator *standIn, load Load) (block Block, err error) {
	seenBefore, err := tb.server.counts(ctx)
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
	seenAfter, err := tb.server.counts(ctx)
	block.Connections = seenAfter.Connections - seenBefore.Connections
	return block, err
}

// blockCPU is the processor time of the sidecar and of the servers since their start.
type blockCPU struct{ sidecar, server time.Duration }

func (tb *testbed) blockCPU() (cpu blockCPU, err error) {
	if cpu.sidecar, err = cpuTime(tb.sidecar.pid()); err != nil {
		return cpu, err
	}
	cpu.server, err = cpuTime(tb.server.pid())
	return cpu, err
}
