package sidecarbench

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// samples is a figure measured several times.
type samples []float64

func (s samples) mean() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum / float64(len(s))
}

// deviation is the standard deviation from one measurement to the next.
func (s samples) deviation() float64 {
	if len(s) < 2 {
		return 0
	}
	sum, mean := 0.0, s.mean()
	for _, v := range s {
		sum += (v - mean) * (v - mean)
	}
	return math.Sqrt(sum / float64(len(s)-1))
}

// String is the mean, the standard deviation, and the least and the most.
func (s samples) String() string {
	if len(s) == 0 {
		return "none"
	}
	return fmt.Sprintf("%.3g (sd %.2g; %.3g to %.3g)", s.mean(), s.deviation(), slices.Min(s), slices.Max(s))
}

// table is a table in Markdown.
type table struct{ out strings.Builder }

func newTable(columns ...string) *table {
	t := new(table)
	t.row(columns...)
	t.row(slices.Repeat([]string{"---"}, len(columns))...)
	return t
}

func (t *table) row(cells ...string) { t.out.WriteString("| " + strings.Join(cells, " | ") + " |\n") }

func (t *table) String() string { return t.out.String() }

func millis(ns int64) string { return fmt.Sprintf("%.3f", float64(ns)/1e6) }

// size is a size as it begins a row.
func (z FleetSize) cells() []string { return []string{fmt.Sprint(z.Peers), fmt.Sprint(z.Servers)} }

// added is what the sidecar adds to a figure of a block, by pairs.
func (c RequestCost) added(of func(Block) float64) samples {
	var s samples
	for i := range min(len(c.Direct), len(c.Proxied)) {
		s = append(s, of(c.Proxied[i])-of(c.Direct[i]))
	}
	return s
}

func quantile(q float64) func(Block) float64 {
	return func(b Block) float64 {
		return float64(hdrhistogram.Import(b.Result.Latency).ValueAtPercentile(q)) / 1e6
	}
}

// perRequest is a processor time as microseconds a call.
func perRequest(of func(Block) time.Duration) func(Block) float64 {
	return func(b Block) float64 { return of(b).Seconds() * 1e6 / float64(b.Result.Requests) }
}

func sampleBlocks(blocks []Block, of func(Block) float64) samples {
	var s samples
	for _, b := range blocks {
		s = append(s, of(b))
	}
	return s
}

// RequestTable tells what calls took, in milliseconds, and what processor time they cost, in microseconds a call.
func RequestTable(all []RequestCost) string {
	times := newTable("peers", "servers", "calls/s", "path", "calls", "not 200", "p50 ms", "p99 ms", "max ms", "begun late p99 ms")
	added := newTable("peers", "servers", "calls/s", "pairs", "added p50 ms", "added p99 ms", "added mean ms")
	cost := newTable("peers", "servers", "calls/s", "sidecar us a call", "of it with no calls", "its system time",
		"server and load us a call, direct", "added there", "connections to servers a call", "sidecar's memory MB", "peak", "warnings")
	for _, c := range all {
		head := append(c.cells(), fmt.Sprintf("%.0f", c.Rate))
		for _, path := range []struct {
			name   string
			blocks []Block
		}{{"direct", c.Direct}, {"sidecar", c.Proxied}} {
			h := latencies(path.blocks, func(r LoadResult) *hdrhistogram.Snapshot { return r.Latency })
			late := latencies(path.blocks, func(r LoadResult) *hdrhistogram.Snapshot { return r.ScheduleDelay })
			calls, not := 0, 0
			for _, b := range path.blocks {
				calls += b.Result.Requests
				not += b.Result.Requests - b.Result.OK
			}
			times.row(append(slices.Clone(head), path.name, fmt.Sprint(calls), fmt.Sprint(not), millis(h.ValueAtPercentile(50)),
				millis(h.ValueAtPercentile(99)), millis(h.Max()), millis(late.ValueAtPercentile(99)))...)
		}
		mean := func(b Block) float64 { return hdrhistogram.Import(b.Result.Latency).Mean() / 1e6 }
		added.row(append(slices.Clone(head), fmt.Sprint(len(c.Proxied)), c.added(quantile(50)).String(),
			c.added(quantile(99)).String(), c.added(mean).String())...)
		sidecar := perRequest(func(b Block) time.Duration { return b.SidecarCPU })
		others := perRequest(func(b Block) time.Duration { return b.ServerCPU + b.Result.CPU })
		connections := sampleBlocks(c.Proxied, func(b Block) float64 { return float64(b.Connections) / float64(b.Result.Requests) })
		cost.row(append(slices.Clone(head), sampleBlocks(c.Proxied, sidecar).String(), fmt.Sprintf("%.3g", sampleBlocks(c.Direct, sidecar).mean()),
			fmt.Sprintf("%.0f%%", 100*c.SystemCPU.Seconds()/(c.UserCPU+c.SystemCPU).Seconds()),
			sampleBlocks(c.Direct, others).String(), c.added(others).String(), fmt.Sprintf("%.3f", connections.mean()),
			megabytes(c.Memory.Resident), megabytes(c.Memory.Peak), fmt.Sprint(c.Warnings))...)
	}
	return times.String() + "\n" + added.String() + "\n" + cost.String()
}

// StartTable tells what a start cost.
func StartTable(all []StartCost) string {
	t := newTable("peers", "servers", "list from", "configuration KB", "processor ms until ready", "until the list is followed",
		"list KB", "memory MB when ready", "peak", "memory MB when followed", "peak")
	for _, s := range all {
		from := "discovery"
		if s.ListInConfig {
			from = "configuration"
		}
		t.row(append(s.cells(), from, fmt.Sprintf("%.1f", float64(s.ConfigBytes)/1e3), fmt.Sprintf("%.1f", s.ReadyCPU.Seconds()*1e3),
			fmt.Sprintf("%.1f", s.WatchCPU.Seconds()*1e3), fmt.Sprintf("%.1f", float64(s.ListBytes)/1e3),
			megabytes(s.ReadyMemory.Resident), megabytes(s.ReadyMemory.Peak), megabytes(s.WatchMemory.Resident), megabytes(s.WatchMemory.Peak))...)
	}
	return t.String()
}

func megabytes(n int64) string { return fmt.Sprintf("%.1f", float64(n)/(1<<20)) }

// IdleTable tells what sidecars without traffic took. Bytes are without the headers of TCP, UDP and IP.
func IdleTable(all []IdleCost) string {
	t := newTable("peers", "servers", "seconds", "processor ms a second", "memory MB", "peak", "calls to discovery",
		"to discovery B/s", "from discovery B/s", "datagrams told", "told B/s")
	for _, s := range all {
		second := func(n int64) string { return fmt.Sprintf("%.1f", float64(n)/s.Duration.Seconds()) }
		t.row(append(s.cells(), fmt.Sprintf("%.0f", s.Duration.Seconds()), fmt.Sprintf("%.3f", s.CPU.Seconds()*1e3/s.Duration.Seconds()),
			megabytes(s.Memory.Resident), megabytes(s.Memory.Peak), fmt.Sprint(s.Discovery.Requests), second(s.Discovery.BytesReceived), second(s.Discovery.BytesSent),
			fmt.Sprint(s.Gossip.Datagrams), second(s.Gossip.BytesReceived))...)
	}
	return t.String()
}

// cpuPerDatagram is what a datagram that was not dropped cost, in microseconds, by pairs: what the sidecar took beyond what it
// takes when all is silent.
func (t GossipCost) cpuPerDatagram() samples {
	var s samples
	for i := range min(len(t.Receiving), len(t.Silent)) {
		told, silent := t.Receiving[i], t.Silent[i]
		more := told.CPU.Seconds() - silent.CPU.Seconds()*told.Duration.Seconds()/silent.Duration.Seconds()
		s = append(s, more*1e6/float64(told.Datagrams-told.Dropped))
	}
	return s
}

// cpuPerSecond are processor times as milliseconds a second.
func cpuPerSecond(whiles []Interval) samples {
	var out samples
	for _, w := range whiles {
		out = append(out, w.CPU.Seconds()*1e3/w.Duration.Seconds())
	}
	return out
}

// CPUBreakdownTable tells what processor time goes to, in milliseconds a second.
func CPUBreakdownTable(all []CPUBreakdown) string {
	t := newTable("peers", "servers", "service ms", "calls/s", "datagrams/s", "neither", "calls alone", "datagrams alone", "both",
		"us a call", "us a datagram", "not 200", "dropped")
	for _, s := range all {
		neither, called, heard := cpuPerSecond(s.Idle), cpuPerSecond(s.Requests), cpuPerSecond(s.Gossip)
		calls, datagrams, not, dropped := samples{}, samples{}, 0, 0
		for i, w := range s.Requests {
			calls = append(calls, (called[i]-neither[i])*1e3*w.Duration.Seconds()/float64(w.Requests))
		}
		for i, w := range s.Gossip {
			datagrams = append(datagrams, (heard[i]-neither[i])*1e3*w.Duration.Seconds()/float64(w.Datagrams-w.Dropped))
		}
		for _, w := range slices.Concat(s.Requests, s.Gossip, s.Both) {
			not, dropped = not+w.Requests-w.OK, dropped+w.Dropped
		}
		t.row(append(s.cells(), fmt.Sprintf("%.0f", s.ServiceTime.Seconds()*1e3), fmt.Sprintf("%.1f", s.RequestRate), fmt.Sprintf("%.1f", s.GossipRate),
			neither.String(), called.String(), heard.String(), cpuPerSecond(s.Both).String(), calls.String(), datagrams.String(),
			fmt.Sprint(not), fmt.Sprint(dropped))...)
	}
	return t.String()
}

// GossipTable tells what hearing cost.
func GossipTable(all []GossipCost) string {
	t := newTable("peers", "servers", "senders", "datagrams/s", "sent", "heard (last said)", "dropped", "silent: processor ms a second",
		"told: processor ms a second", "us a datagram", "KB/s in (with headers)")
	for _, s := range all {
		sent, dropped := 0, 0
		for _, w := range s.Receiving {
			sent, dropped = sent+w.Datagrams, dropped+w.Dropped
		}
		t.row(append(s.cells(), fmt.Sprint(s.Senders), fmt.Sprintf("%.1f", s.Rate), fmt.Sprint(sent), fmt.Sprint(s.Received),
			fmt.Sprint(dropped), fmt.Sprintf("%.3g", cpuPerSecond(s.Silent).mean()), fmt.Sprintf("%.3g", cpuPerSecond(s.Receiving).mean()),
			s.cpuPerDatagram().String(), fmt.Sprintf("%.1f (%.1f)", s.Rate*datagramBytes/1e3, s.Rate*(datagramBytes+datagramHeaderBytes)/1e3))...)
	}
	return t.String()
}

// Bytes of a datagram, and of its headers of UDP and IP.
const (
	datagramBytes       = 24
	datagramHeaderBytes = 28
)
