package sidecarbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RequestTable returns three tables: latencies in milliseconds, the latencies that the sidecar adds, and CPU
// times in microseconds per request.
func RequestTable(costs []RequestCost) string {
	latency, added, cpu := new(table), new(table), new(table)
	for _, c := range costs {
		prefix := append(c.sizeCells(), cell{"requests/s", formatDecimal(0, c.Rate)})
		latency.addRow(append(slices.Clone(prefix), pathCells("direct", c.Direct)...)...)
		latency.addRow(append(slices.Clone(prefix), pathCells("sidecar", c.Proxied)...)...)
		added.addRow(append(slices.Clone(prefix), c.overheadCells()...)...)
		cpu.addRow(append(slices.Clone(prefix), c.cpuCells()...)...)
	}
	return latency.String() + "\n" + added.String() + "\n" + cpu.String()
}

// pathCells returns the cells with the results and latencies of all blocks of a path (direct or sidecar).
func pathCells(path string, blocks []Block) []cell {
	latency := mergeLatencies(blocks, func(r LoadResult) *hdrhistogram.Snapshot { return r.Latency })
	delay := mergeLatencies(blocks, func(r LoadResult) *hdrhistogram.Snapshot { return r.ScheduleDelay })
	requests, notOK := 0, 0
	for _, b := range blocks {
		requests += b.Result.Requests
		notOK += b.Result.Requests - b.Result.OK
	}
	return []cell{
		{"path", path},
		{"requests", fmt.Sprint(requests)},
		{"not 200", fmt.Sprint(notOK)},
		{"p50 ms", formatMilliseconds(latency.ValueAtPercentile(50))},
		{"p99 ms", formatMilliseconds(latency.ValueAtPercentile(99))},
		{"max ms", formatMilliseconds(latency.Max())},
		{"schedule delay p99 ms", formatMilliseconds(delay.ValueAtPercentile(99))},
	}
}

// overheadCells returns the cells with the latencies that the sidecar adds.
func (c RequestCost) overheadCells() []cell {
	return []cell{
		{"pairs", fmt.Sprint(len(c.Proxied))},
		{"added p50 ms", c.overhead(latencyPercentile(50)).String()},
		{"added p99 ms", c.overhead(latencyPercentile(99)).String()},
		{"added mean ms", c.overhead(meanLatency).String()},
	}
}

// cpuCells returns the cells with CPU times, connections, memory and warnings.
func (c RequestCost) cpuCells() []cell {
	sidecar := cpuPerRequest(func(b Block) time.Duration { return b.SidecarCPU })
	others := cpuPerRequest(func(b Block) time.Duration { return b.ServerCPU + b.Result.CPU })
	connections := func(b Block) float64 { return float64(b.Connections) / float64(b.Result.Requests) }
	systemPercent := 100 * c.SystemCPU.Seconds() / (c.UserCPU + c.SystemCPU).Seconds()
	return []cell{
		{"sidecar us/request", sampleBlocks(c.Proxied, sidecar).String()},
		{"of it without requests", formatSignificant(3, sampleBlocks(c.Direct, sidecar).mean())},
		{"its system time", formatDecimal(0, systemPercent) + "%"},
		{"server and load us/request, direct", sampleBlocks(c.Direct, others).String()},
		{"added there", c.overhead(others).String()},
		{"connections to servers/request", formatDecimal(3, sampleBlocks(c.Proxied, connections).mean())},
		{"sidecar's memory MB", formatMegabytes(c.Memory.Resident)},
		{"peak", formatMegabytes(c.Memory.Peak)},
		{"warnings", fmt.Sprint(c.Warnings)},
	}
}

// StartTable returns a table of the costs of starts.
func StartTable(costs []StartCost) string {
	t := new(table)
	for _, c := range costs {
		source := "discovery"
		if c.ListInConfig {
			source = "configuration"
		}
		t.addRow(append(c.sizeCells(),
			cell{"list from", source},
			cell{"configuration KB", formatDecimal(1, float64(c.ConfigBytes)/1e3)},
			cell{"processor ms until ready", formatDecimal(1, c.ReadyCPU.Seconds()*1e3)},
			cell{"until the list is watched", formatDecimal(1, c.WatchCPU.Seconds()*1e3)},
			cell{"list KB", formatDecimal(1, float64(c.ListBytes)/1e3)},
			cell{"memory MB when ready", formatMegabytes(c.ReadyMemory.Resident)},
			cell{"peak", formatMegabytes(c.ReadyMemory.Peak)},
			cell{"memory MB when watching", formatMegabytes(c.WatchMemory.Resident)},
			cell{"peak", formatMegabytes(c.WatchMemory.Peak)},
		)...)
	}
	return t.String()
}

// IdleTable returns a table of the costs of sidecars without requests. Traffic excludes TCP, UDP and IP
// headers.
func IdleTable(costs []IdleCost) string {
	t := new(table)
	for _, c := range costs {
		perSecond := func(n int64) string { return formatDecimal(1, float64(n)/c.Duration.Seconds()) }
		t.addRow(append(c.sizeCells(),
			cell{"seconds", formatDecimal(0, c.Duration.Seconds())},
			cell{"processor ms/s", formatDecimal(3, c.CPU.Seconds()*1e3/c.Duration.Seconds())},
			cell{"memory MB", formatMegabytes(c.Memory.Resident)},
			cell{"peak", formatMegabytes(c.Memory.Peak)},
			cell{"calls of discovery", fmt.Sprint(c.Discovery.Requests)},
			cell{"to discovery B/s", perSecond(c.Discovery.BytesReceived)},
			cell{"from discovery B/s", perSecond(c.Discovery.BytesSent)},
			cell{"datagrams sent", fmt.Sprint(c.Gossip.Datagrams)},
			cell{"gossip sent B/s", perSecond(c.Gossip.BytesReceived)},
		)...)
	}
	return t.String()
}

// GossipTable returns a table of the costs of receiving gossip.
func GossipTable(costs []GossipCost) string {
	t := new(table)
	for _, c := range costs {
		sent, dropped := 0, 0
		for _, interval := range c.Receiving {
			sent += interval.Datagrams
			dropped += interval.Dropped
		}
		t.addRow(append(c.sizeCells(),
			cell{"senders", fmt.Sprint(c.Senders)},
			cell{"datagrams/s", formatDecimal(1, c.Rate)},
			cell{"sent", fmt.Sprint(sent)},
			cell{"received (last log line)", fmt.Sprint(c.Received)},
			cell{"dropped", fmt.Sprint(dropped)},
			cell{"silent: processor ms/s", formatSignificant(3, cpuPerSecond(c.Silent).mean())},
			cell{"receiving: processor ms/s", formatSignificant(3, cpuPerSecond(c.Receiving).mean())},
			cell{"us/datagram", c.cpuPerDatagram().String()},
			cell{"KB/s received (with headers)", fmt.Sprintf("%.1f (%.1f)", c.Rate*datagramBytes/1e3, c.Rate*(datagramBytes+datagramHeaderBytes)/1e3)},
		)...)
	}
	return t.String()
}

// CPUBreakdownTable returns a table of CPU times by the kind of traffic, in milliseconds per second.
func CPUBreakdownTable(breakdowns []CPUBreakdown) string {
	t := new(table)
	for _, b := range breakdowns {
		notOK, dropped := 0, 0
		for _, interval := range slices.Concat(b.Requests, b.Gossip, b.Both) {
			notOK += interval.Requests - interval.OK
			dropped += interval.Dropped
		}
		addedPerRequest := b.addedCPUPer(b.Requests, func(i Interval) int { return i.Requests })
		addedPerDatagram := b.addedCPUPer(b.Gossip, func(i Interval) int { return i.Datagrams - i.Dropped })
		t.addRow(append(b.sizeCells(),
			cell{"service ms", formatDecimal(0, b.ServiceTime.Seconds()*1e3)},
			cell{"requests/s", formatDecimal(1, b.RequestRate)},
			cell{"datagrams/s", formatDecimal(1, b.GossipRate)},
			cell{"neither", cpuPerSecond(b.Idle).String()},
			cell{"requests only", cpuPerSecond(b.Requests).String()},
			cell{"datagrams only", cpuPerSecond(b.Gossip).String()},
			cell{"both", cpuPerSecond(b.Both).String()},
			cell{"us/request", addedPerRequest.String()},
			cell{"us/datagram", addedPerDatagram.String()},
			cell{"not 200", fmt.Sprint(notOK)},
			cell{"dropped", fmt.Sprint(dropped)},
		)...)
	}
	return t.String()
}
