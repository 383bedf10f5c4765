package fleetsim

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// eventRequestRate is the rate of client requests per second and sidecar while the events are simulated.
const eventRequestRate = 0.5

// assumedServers is the number of servers in the assumed fleet.
const assumedServers = 11000

// scaleEvent is a fault or a rolling update that is simulated in a fleet.
type scaleEvent struct {
	name string
	run  func(*Simulation)
}

var scaleEventCases = []scaleEvent{
	{"zone outage, 8 s", func(sim *Simulation) {
		failLastZone(sim, 3*time.Second, 8*time.Second, 15*time.Second)
	}},
	{"region partition, 60 s", func(sim *Simulation) {
		partitionRegions(sim, scaledCount(sim, 50), time.Minute)
	}},
	{"replacement, 72 s", func(sim *Simulation) {
		sim.Run(2 * time.Second)
		replaceServers(sim, scaledCount(sim, 1200), 72*time.Second)
		sim.Run(90 * time.Second)
	}},
}

// scaledCount scales a number of servers of the assumed fleet to the size of a service. A fraction is rounded
// up or down at random, but the same seed always gives the same result.
func scaledCount(sim *Simulation, assumed float64) int {
	_, random := math.Modf(float64(sim.config.Seed) * math.Phi)
	return int(assumed*float64(len(sim.servers))/assumedServers + random)
}

// printEventTable prints how endpoint changes propagate and what they cost, by the size of the fleet.
func printEventTable(t *testing.T, out *table) {
	out.describe(
		fmt.Sprintf("Events by fleet size, at %v requests per second and sidecar. Propagation: time until the last sidecar that can be notified has a change.", eventRequestRate),
		"A partition of 1 h is simulated in 60 s (60:1) with 50 of 11,000 servers replaced, a day with 1,200 of 11,000 servers replaced in 72 s (1200:1);",
		"times of the program are not scaled. Replacing a server takes three changes; discovery takes 0.1 ms per call and 2 us per entry, and each service has its own.")
	for _, e := range scaleEventCases {
		for _, n := range []int{100, 1100, 11000} {
			for _, form := range selectedForms(n) {
				out.addRow(e.simulate(t, n, form)...)
			}
		}
	}
}

// simulate simulates the event in a fleet and returns its table row.
func (e scaleEvent) simulate(t *testing.T, n int, form fleetForm) []tableCell {
	t.Helper()
	sizes := form.sizes(n)
	started := time.Now()
	var largest time.Duration // processing time of discovery for the largest service, which is the first
	fleet := fleetRun{eventRequestRate, noChange, func(sim *Simulation) {
		e.run(sim)
		if sim.config.Seed == 0 {
			largest = sim.Counts().Discovery.ProcessingTime
		}
	}}.simulate(t, sizes, *scaleParallel)
	checkViolations(t, fleet)
	c := &fleet.counts
	perSidecar := func(count int64) float64 { return float64(count) / float64(fleet.sidecars) }
	return []tableCell{
		{"event", e.name},
		{"sidecars", count(n)},
		{"form", form.name},
		{"changes", count(c.Discovery.Changes)},
		{"propagation, median", median(fleet.propagationTimes).Round(ms).String()},
		{"max", maxDuration(fleet.propagationTimes).Round(ms).String()},
		{"pending", count(fleet.pendingChanges)},
		{"entries read/sidecar", float(0, perSidecar(c.EntriesRead))},
		{"list KB/sidecar", float(1, perSidecar(c.EndpointLists.Received.Bytes)/1000)},
		{"discovery calls", count(c.Discovery.Processed)},
		{"max queue wait", c.Discovery.MaxQueueWait.Round(ms).String()},
		{"processing s, largest service", float(2, largest.Seconds())},
		{"timed-out calls", count(c.Discovery.TimedOut)},
		{"requests", count(c.Requests)},
		{"within objective", float(3, float64(c.WithinObjective)/float64(c.Requests))},
		{"violations", count(fleet.violations.Total())},
		{"run time", time.Since(started).Round(time.Second).String()},
	}
}
