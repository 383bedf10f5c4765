package sidecarbench

import (
	"os"
	"strings"
	"testing"
	"time"
)

// measureAll makes the full measurement. It prints the load average of the machine with each table, as other
// load affects the results.
func measureAll(t *testing.T) {
	b := newBench(t, 2*time.Second)
	t.Logf("load of the machine: %s", loadAverage())
	measureIdleFleets(t, b)
	measureGossipFleets(t, b)
	measureBreakdowns(t, b)
	measureRequestRates(t, b)
}

// loadAverage returns the content of /proc/loadavg, or the text of the error if it cannot be read.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(raw))
}

// measureIdleFleets measures starts and idle sidecars for fleets that differ in the number of peers, of
// servers listed in the configuration, or of servers listed only by discovery.
func measureIdleFleets(t *testing.T, b *Bench) {
	t.Helper()
	var sizes []FleetSize
	for _, n := range []int{1, 300, 1000, 3000, 11000} {
		sizes = append(sizes, FleetSize{Peers: n, Servers: 16, ListInConfig: true})
	}
	for _, n := range []int{16, 200, 1000, 3000, 11000} {
		sizes = append(sizes, FleetSize{Peers: 16, Servers: n, ListInConfig: true})
	}
	for _, n := range []int{16, 200, 1000, 3000, 11000} {
		sizes = append(sizes, FleetSize{Peers: 16, Servers: n})
	}
	idle, err := b.MeasureIdle(t.Context(), sizes, 30*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var starts []StartCost
	for _, cost := range idle {
		starts = append(starts, cost.StartCost)
	}
	t.Logf("load of the machine: %s\nstarts\n\n%s\nno requests\n\n%s", loadAverage(), StartTable(starts), IdleTable(idle))
}

// measureGossipFleets measures the receipt of gossip for fleets that differ in the number of peers.
func measureGossipFleets(t *testing.T, b *Bench) {
	t.Helper()
	var costs []GossipCost
	for _, n := range []int{300, 1000, 3000, 11000} {
		cost, err := b.MeasureGossip(t.Context(), FleetSize{Peers: n, Servers: 16, ListInConfig: true}, 3*time.Second, 4)
		if err != nil {
			t.Fatal(err)
		}
		costs = append(costs, cost)
	}
	t.Logf("load of the machine: %s\ngossip\n\n%s", loadAverage(), GossipTable(costs))
}

// measureBreakdowns measures a low request rate together with gossip, for servers that respond at once and
// for slow servers.
func measureBreakdowns(t *testing.T, b *Bench) {
	t.Helper()
	var breakdowns []CPUBreakdown
	for _, serviceTime := range []time.Duration{0, 300 * time.Millisecond} {
		breakdown, err := b.MeasureCPUBreakdown(t.Context(), FleetSize{Peers: 300, Servers: 200, ListInConfig: true}, 17.6, serviceTime, 4*time.Second, 3)
		if err != nil {
			t.Fatal(err)
		}
		breakdowns = append(breakdowns, breakdown)
	}
	t.Logf("load of the machine: %s\nfew requests beside gossip\n\n%s", loadAverage(), CPUBreakdownTable(breakdowns))
}

// measureRequestRates measures requests at the mean request rate and at four times that rate, in a small and
// in a large fleet.
func measureRequestRates(t *testing.T, b *Bench) {
	t.Helper()
	var costs []RequestCost
	for _, size := range []FleetSize{{16, 16, true}, {11000, 11000, true}} {
		for _, rate := range []float64{meanRequestRate, 4 * meanRequestRate} {
			cost, err := b.MeasureRequests(t.Context(), size, rate, int(3*rate), *pairs)
			if err != nil {
				t.Fatal(err)
			}
			costs = append(costs, cost)
		}
	}
	t.Logf("load of the machine: %s\nrequests\n\n%s", loadAverage(), RequestTable(costs))
}
