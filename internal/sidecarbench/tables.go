package sidecarbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RequestTable returns three tables: latencies in milliseconds, what the sidecar adds to them, and processor times in
// microseconds per request.
func RequestTable(costs []RequestCost) string {
	latency, added, cpu := new(table), new(table), new(table)
	for _, c := range costs {
		prefix := append(c.cells(), cell{"requests/s", decimal(0, c.Rate)})
		latency.row(append(slices.Clone(prefix), pathCells("direct", c.Direct)...)...)
		latency.row(append(slices.Clone(prefix), pathCells("sidecar", c.Proxied)...)...)
		added.row(append(slices.Clone(prefix), c.addedCells()...)...)
		cpu.row(append(slices.Clone(prefix), c.cpuCells()...)...)
	}
	return latency.String() + "\n" + added.String() + "\n" + cpu.String()
}

// pathCells are the latencies over all blocks of a path.
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
		{"p50 ms", milliseconds(latency.ValueAtPercentile(50))},
		{"p99 ms", milliseconds(latency.ValueAtPercentile(99))},
		{"max ms", milliseconds(latency.Max())},
		{"schedule delay p99 ms", milliseconds(delay.ValueAtPercentile(99))},
	}
}

// addedCells are the latencies that the sidecar adds.
func (c RequestCost) addedCells() []cell {
	return []cell{
		{"pairs", fmt.Sprint(len(c.Proxied))},
		{"added p50 ms", c.added(latencyQuantile(50)).String()},
		{"added p99 ms", c.added(latencyQuantile(99)).String()},
		{"added mean ms", c.added(meanLatency).String()},
	}
}

// cpuCells are the processor times and the memory.
func (c RequestCost) cpuCells() []cell {
	sidecar := perRequest(func(b Block) time.Duration { return b.SidecarCPU })
	others := perRequest(func(b Block) time.Duration { return b.ServerCPU + b.Result.CPU })
	connections := func(b Block) float64 { return float64(b.Connections) / float64(b.Result.Requests) }
	systemPercent := 100 * c.SystemCPU.Seconds() / (c.UserCPU + c.SystemCPU).Seconds()
	return []cell{
		{"sidecar us/request", sampleBlocks(c.Proxied, sidecar).String()},
		{"of it without requests", significant(3, sampleBlocks(c.Direct, sidecar).mean())},
		{"its system time", decimal(0, systemPercent) + "%"},
		{"server and load us/request, direct", sampleBlocks(c.Direct, others).String()},
		{"added there", c.added(others).String()},
		{"connections to servers/request", decimal(3, sampleBlocks(c.Proxied, connections).mean())},
		{"sidecar's memory MB", megabytes(c.Memory.Resident)},
		{"peak", megabytes(c.Memory.Peak)},
		{"warnings", fmt.Sprint(c.Warnings)},
	}
}

// StartTable returns a table of what starts cost.
func StartTable(costs []StartCost) string {
	t := new(table)
	for _, c := range costs {
		source := "discovery"
		if c.ListInConfig {
			source = "configuration"
		}
		t.row(append(c.cells(),
			cell{"list from", source},
			cell{"configuration KB", decimal(1, float64(c.ConfigBytes)/1e3)},
			cell{"processor ms until ready", decimal(1, c.ReadyCPU.Seconds()*1e3)},
			cell{"until the list is watched", decimal(1, c.WatchCPU.Seconds()*1e3)},
			cell{"list KB", decimal(1, float64(c.ListBytes)/1e3)},
			cell{"memory MB when ready", megabytes(c.ReadyMemory.Resident)},
			cell{"peak", megabytes(c.ReadyMemory.Peak)},
			cell{"memory MB when watching", megabytes(c.WatchMemory.Resident)},
			cell{"peak", megabytes(c.WatchMemory.Peak)},
		)...)
	}
	return t.String()
}

// IdleTable returns a table of what sidecars without requests cost. Bytes are without the headers of TCP, UDP and IP.
func IdleTable(costs []IdleCost) string {
	t := new(table)
	for _, c := range costs {
		perSecond := func(n int64) string { return decimal(1, float64(n)/c.Duration.Seconds()) }
		t.row(append(c.cells(),
			cell{"seconds", decimal(0, c.Duration.Seconds())},
			cell{"processor ms/s", decimal(3, c.CPU.Seconds()*1e3/c.Duration.Seconds())},
			cell{"memory MB", megabytes(c.Memory.Resident)},
			cell{"peak", megabytes(c.Memory.Peak)},
			cell{"calls of discovery", fmt.Sprint(c.Discovery.Requests)},
			cell{"to discovery B/s", perSecond(c.Discovery.BytesReceived)},
			cell{"from discovery B/s", perSecond(c.Discovery.BytesSent)},
			cell{"datagrams sent", fmt.Sprint(c.Gossip.Datagrams)},
			cell{"gossip sent B/s", perSecond(c.Gossip.BytesReceived)},
		)...)
	}
	return t.String()
}

// GossipTable returns a table of what receiving gossip costs.
func GossipTable(costs []GossipCost) string {
	t := new(table)
	for _, c := range costs {
		sent, dropped := 0, 0
		for _, interval := range c.Receiving {
			sent += interval.Datagrams
			dropped += interval.Dropped
		}
		t.row(append(c.cells(),
			cell{"senders", fmt.Sprint(c.Senders)},
			cell{"datagrams/s", decimal(1, c.Rate)},
			cell{"sent", fmt.Sprint(sent)},
			cell{"received (last log line)", fmt.Sprint(c.Received)},
			cell{"dropped", fmt.Sprint(dropped)},
			cell{"silent: processor ms/s", significant(3, cpuPerSecond(c.Silent).mean())},
			cell{"receiving: processor ms/s", significant(3, cpuPerSecond(c.Receiving).mean())},
			cell{"us/datagram", c.cpuPerDatagram().String()},
			cell{"KB/s received (with headers)", fmt.Sprintf("%.1f (%.1f)", c.Rate*datagramBytes/1e3, c.Rate*(datagramBytes+datagramHeaderBytes)/1e3)},
		)...)
	}
	return t.String()
}

// CPUBreakdownTable returns a table of processor times by the traffic of the sidecar, in milliseconds per second.
func CPUBreakdownTable(breakdowns []CPUBreakdown) string {
	t := new(table)
	for _, b := range breakdowns {
		notOK, dropped := 0, 0
		for _, interval := range slices.Concat(b.Requests, b.Gossip, b.Both) {
			notOK += interval.Requests - interval.OK
			dropped += interval.Dropped
		}
		addedPerRequest := b.addedPer(b.Requests, func(i Interval) int { return i.Requests })
		addedPerDatagram := b.addedPer(b.Gossip, func(i Interval) int { return i.Datagrams - i.Dropped })
		t.row(append(b.cells(),
			cell{"service ms", decimal(0, b.ServiceTime.Seconds()*1e3)},
			cell{"requests/s", decimal(1, b.RequestRate)},
			cell{"datagrams/s", decimal(1, b.GossipRate)},
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
