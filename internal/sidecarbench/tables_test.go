package sidecarbench

import (
	"math"
	"strings"
	"testing"
	"time"
)

// newBlock returns a block of 100 requests with the same latency.
func newBlock(t *testing.T, latencyMicroseconds int64, sidecarCPU time.Duration) Block {
	t.Helper()
	h := newHistogram()
	for range 100 {
		if err := h.RecordValue(latencyMicroseconds * 1000); err != nil {
			t.Fatal(err)
		}
	}
	return Block{Result: LoadResult{Requests: 100, OK: 100, Latency: h.Export(), ScheduleDelay: h.Export()}, SidecarCPU: sidecarCPU}
}

// checkSamples fails the test unless the samples equal the wanted values within the precision of a histogram,
// which is three significant digits.
func checkSamples(t *testing.T, name string, got samples, want ...float64) {
	t.Helper()
	for i := range want {
		if len(got) != len(want) || math.Abs(got[i]-want[i]) > 0.002*want[i]+0.002 {
			t.Errorf("%s = %v, want %v", name, []float64(got), want)
			return
		}
	}
}

// checkContains fails the test unless a table contains all parts.
func checkContains(t *testing.T, table string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(table, part) {
			t.Errorf("table lacks %q:\n%s", part, table)
		}
	}
}

// The overhead of the sidecar must be the difference within each pair of blocks, not the difference of the
// means.
func TestTablesComparePairs(t *testing.T) {
	c := RequestCost{FleetSize: FleetSize{Peers: 16, Servers: 16}, Rate: 373, UserCPU: time.Second, SystemCPU: time.Second,
		Direct:  []Block{newBlock(t, 100, 0), newBlock(t, 1100, 0)},
		Proxied: []Block{newBlock(t, 300, 10*time.Millisecond), newBlock(t, 1500, 20*time.Millisecond)}}
	checkSamples(t, "added median, ms", c.overhead(latencyPercentile(50)), 0.2, 0.4)
	sidecar := cpuPerRequest(func(b Block) time.Duration { return b.SidecarCPU })
	checkSamples(t, "sidecar, us/request", sampleBlocks(c.Proxied, sidecar), 100, 200)
	checkContains(t, RequestTable([]RequestCost{c}), "| 16 | 16 | 373 | sidecar | 200 | 0 |", "| 150 (sd 71; 100 to 200) |")
}

// The CPU time per datagram must leave out dropped datagrams and the CPU time of a silent interval of the
// same length.
func TestCPUPerDatagram(t *testing.T) {
	c := GossipCost{
		Receiving: []Interval{{Duration: 2 * time.Second, CPU: 5 * time.Millisecond, Datagrams: 1500, Dropped: 500}},
		Silent:    []Interval{{Duration: time.Second, CPU: time.Millisecond}},
	}
	checkSamples(t, "us/datagram", c.cpuPerDatagram(), 3)
}

// The CPU times per request and per datagram must leave out the CPU time of an idle interval.
func TestCPUBreakdownTable(t *testing.T) {
	intervals := func(cpu time.Duration) []Interval {
		return []Interval{{Duration: 2 * time.Second, CPU: cpu, Datagrams: 100, Requests: 10, OK: 9}}
	}
	b := CPUBreakdown{
		Idle:     intervals(2 * time.Millisecond),
		Requests: intervals(4 * time.Millisecond),
		Gossip:   intervals(3 * time.Millisecond),
		Both:     intervals(5 * time.Millisecond),
	}
	checkContains(t, CPUBreakdownTable([]CPUBreakdown{b}), "| 200 (sd 0; 200 to 200) | 10 (sd 0; 10 to 10) | 3 | 0 |")
}
