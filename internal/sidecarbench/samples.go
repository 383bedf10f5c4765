package sidecarbench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// samples are repeated measurements of one quantity.
type samples []float64

func (s samples) mean() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum / float64(len(s))
}

// standardDeviation returns the sample standard deviation, or 0 for fewer than two samples.
func (s samples) standardDeviation() float64 {
	if len(s) < 2 {
		return 0
	}
	sum, mean := 0.0, s.mean()
	for _, v := range s {
		sum += (v - mean) * (v - mean)
	}
	return math.Sqrt(sum / float64(len(s)-1))
}

// String returns the mean, the standard deviation, the minimum and the maximum, or "none" without samples.
func (s samples) String() string {
	if len(s) == 0 {
		return "none"
	}
	return fmt.Sprintf("%.3g (sd %.2g; %.3g to %.3g)", s.mean(), s.standardDeviation(), slices.Min(s), slices.Max(s))
}

// blockMetric returns a value measured in a block.
type blockMetric func(Block) float64

// latencyPercentile returns a metric for a percentile of the latency, in milliseconds.
func latencyPercentile(percent float64) blockMetric {
	return func(b Block) float64 {
		return float64(hdrhistogram.Import(b.Result.Latency).ValueAtPercentile(percent)) / 1e6
	}
}

// meanLatency is the metric for the mean latency, in milliseconds.
func meanLatency(b Block) float64 { return hdrhistogram.Import(b.Result.Latency).Mean() / 1e6 }

// cpuPerRequest returns a metric for a CPU time per request, in microseconds.
func cpuPerRequest(cpu func(Block) time.Duration) blockMetric {
	return func(b Block) float64 { return cpu(b).Seconds() * 1e6 / float64(b.Result.Requests) }
}

// sampleBlocks returns the metric's value for each block.
func sampleBlocks(blocks []Block, metric blockMetric) samples {
	var s samples
	for _, b := range blocks {
		s = append(s, metric(b))
	}
	return s
}

// overhead returns what the sidecar adds to a metric: the difference between the proxied and the direct block
// of each pair.
func (c RequestCost) overhead(metric blockMetric) samples {
	var s samples
	for i := range min(len(c.Direct), len(c.Proxied)) {
		s = append(s, metric(c.Proxied[i])-metric(c.Direct[i]))
	}
	return s
}

// mergeLatencies merges one of the histograms of all blocks.
func mergeLatencies(blocks []Block, histogram func(LoadResult) *hdrhistogram.Snapshot) *hdrhistogram.Histogram {
	all := newHistogram()
	for _, b := range blocks {
		all.Merge(hdrhistogram.Import(histogram(b.Result)))
	}
	return all
}

// cpuPerDatagram returns, for each pair of intervals, the CPU time per datagram that was not dropped, in
// microseconds. Only the CPU time beyond that of a silent interval of the same length counts.
func (c GossipCost) cpuPerDatagram() samples {
	var s samples
	for i := range min(len(c.Receiving), len(c.Silent)) {
		receiving, silent := c.Receiving[i], c.Silent[i]
		added := receiving.CPU.Seconds() - silent.CPU.Seconds()*receiving.Duration.Seconds()/silent.Duration.Seconds()
		s = append(s, added*1e6/float64(receiving.Datagrams-receiving.Dropped))
	}
	return s
}

// cpuPerSecond returns the CPU time of the sidecar in each interval, in milliseconds per second.
func cpuPerSecond(intervals []Interval) samples {
	var s samples
	for _, i := range intervals {
		s = append(s, i.CPU.Seconds()*1e3/i.Duration.Seconds())
	}
	return s
}

// addedCPUPer returns the CPU time that the sidecar used in each interval beyond the idle interval of the
// same round, in microseconds per request or datagram. count returns the number of requests or datagrams in
// an interval.
func (c CPUBreakdown) addedCPUPer(intervals []Interval, count func(Interval) int) samples {
	s := samples{}
	idle, loaded := cpuPerSecond(c.Idle), cpuPerSecond(intervals)
	for i, interval := range intervals {
		s = append(s, (loaded[i]-idle[i])*1e3*interval.Duration.Seconds()/float64(count(interval)))
	}
	return s
}
