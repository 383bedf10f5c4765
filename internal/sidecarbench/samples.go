package sidecarbench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// samples are repeated measurements of a figure.
type samples []float64

func (s samples) mean() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum / float64(len(s))
}

// deviation is the sample standard deviation, and 0 for less than two samples.
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

// String returns the mean, the standard deviation, the minimum and the maximum.
func (s samples) String() string {
	if len(s) == 0 {
		return "none"
	}
	return fmt.Sprintf("%.3g (sd %.2g; %.3g to %.3g)", s.mean(), s.deviation(), slices.Min(s), slices.Max(s))
}

// blockFigure is a figure of a block.
type blockFigure func(Block) float64

// latencyQuantile is a quantile of the latency, in milliseconds.
func latencyQuantile(percent float64) blockFigure {
	return func(b Block) float64 {
		return float64(hdrhistogram.Import(b.Result.Latency).ValueAtPercentile(percent)) / 1e6
	}
}

// meanLatency is the mean latency, in milliseconds.
func meanLatency(b Block) float64 { return hdrhistogram.Import(b.Result.Latency).Mean() / 1e6 }

// perRequest is a processor time per request, in microseconds.
func perRequest(cpu func(Block) time.Duration) blockFigure {
	return func(b Block) float64 { return cpu(b).Seconds() * 1e6 / float64(b.Result.Requests) }
}

// sampleBlocks returns a figure of each block.
func sampleBlocks(blocks []Block, figure blockFigure) samples {
	var s samples
	for _, b := range blocks {
		s = append(s, figure(b))
	}
	return s
}

// added is what the sidecar adds to a figure: the difference within each pair of blocks.
func (c RequestCost) added(figure blockFigure) samples {
	var s samples
	for i := range min(len(c.Direct), len(c.Proxied)) {
		s = append(s, figure(c.Proxied[i])-figure(c.Direct[i]))
	}
	return s
}

// mergeLatencies merges a histogram of all blocks.
func mergeLatencies(blocks []Block, histogram func(LoadResult) *hdrhistogram.Snapshot) *hdrhistogram.Histogram {
	all := newHistogram()
	for _, b := range blocks {
		all.Merge(hdrhistogram.Import(histogram(b.Result)))
	}
	return all
}

// cpuPerDatagram is the processor time per datagram that was not dropped, in microseconds, by pairs of intervals: what
// the sidecar used beyond that of a silent interval of the same length.
func (c GossipCost) cpuPerDatagram() samples {
	var s samples
	for i := range min(len(c.Receiving), len(c.Silent)) {
		receiving, silent := c.Receiving[i], c.Silent[i]
		added := receiving.CPU.Seconds() - silent.CPU.Seconds()*receiving.Duration.Seconds()/silent.Duration.Seconds()
		s = append(s, added*1e6/float64(receiving.Datagrams-receiving.Dropped))
	}
	return s
}

// cpuPerSecond is the processor time of each interval, in milliseconds per second.
func cpuPerSecond(intervals []Interval) samples {
	var s samples
	for _, i := range intervals {
		s = append(s, i.CPU.Seconds()*1e3/i.Duration.Seconds())
	}
	return s
}

// addedPer is the processor time that each interval has used beyond the idle one of its round, in microseconds per
// request or datagram.
func (c CPUBreakdown) addedPer(intervals []Interval, count func(Interval) int) samples {
	s := samples{}
	idle, loaded := cpuPerSecond(c.Idle), cpuPerSecond(intervals)
	for i, interval := range intervals {
		s = append(s, (loaded[i]-idle[i])*1e3*interval.Duration.Seconds()/float64(count(interval)))
	}
	return s
}
