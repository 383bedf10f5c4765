package fleetsim

import (
	"fmt"
	"testing"
	"time"
)

const (
	highRate         = 373.0 // client requests per second and sidecar: the mean of the assumed fleet
	highRateSidecars = 4     // number of sidecars with highRate
	lowRate          = 4     // client requests per second of each other sidecar
)

// printHighRateTable prints the CPU time of a few sidecars at the rate of the assumed fleet, by the size of
// their service.
func printHighRateTable(t *testing.T, out *table) {
	out.describe(fmt.Sprintf("CPU time of %d sidecars at %v requests per second among others at %d, one service at a time, for %v after %v.",
		highRateSidecars, highRate, lowRate, steadyDuration, steadyWarmUp))
	for _, n := range []int{16, 100, 300, 1100, 1551} {
		if n <= *scaleMaxSidecars {
			out.addRow(simulateHighRate(t, n)...)
		}
	}
}

// simulateHighRate simulates one service with n sidecars and returns its table row.
func simulateHighRate(t *testing.T, n int) []tableCell {
	t.Helper()
	cfg := testConfig(0, n, highRate) // quotas as if all sidecars had highRate
	cfg.MeasureCPU, cfg.HighRateSidecars, cfg.HighRate = true, highRateSidecars, highRate
	cfg.RequestRate, cfg.Server.Cores = lowRate*float64(n-highRateSidecars), 20
	sim := newSimulation(t, cfg)
	warmUpThenRun(steadyWarmUp, steadyDuration)(sim)
	checkInvariants(t, sim)
	c, violations := sim.Counts(), sim.Violations()
	perRequest := func(cpu time.Duration) float64 {
		return float64(cpu.Nanoseconds()) / 1000 / float64(c.HighRateBalancerRequests)
	}
	percentOfCore := func(cpu time.Duration) float64 {
		return 100 * cpu.Seconds() / steadyDuration.Seconds() / highRateSidecars
	}
	return []tableCell{
		{"sidecars", count(n)},
		{"servers", count(n)},
		{"gossip received/s", float(0, float64(c.Gossip.Received.Messages)/float64(n)/steadyDuration.Seconds())},
		{"CPU us/request", float(1, perRequest(c.HighRateRequestCPU))},
		{"control us/request", float(1, perRequest(c.HighRateControlCPU))},
		{"control % of a core", float(2, percentOfCore(c.HighRateControlCPU))},
		{"total % of a core", float(2, percentOfCore(c.HighRateControlCPU+c.HighRateRequestCPU))},
		{"within objective", float(3, float64(c.WithinObjective)/float64(c.Requests))},
		{"violations", count(violations.Total())},
	}
}
