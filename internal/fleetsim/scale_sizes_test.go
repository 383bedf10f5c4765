package fleetsim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const (
	steadyRate     = 4.0              // client requests per second and sidecar
	steadyWarmUp   = 2 * time.Second  // not counted
	steadyDuration = 5 * time.Second  // measured with requests and gossip
	idleWarmUp     = 15 * time.Second // not counted
	idleDuration   = 45 * time.Second // measured without requests and gossip; three watches of mean length
)

// printSizeTable prints what fleets without faults cost, by their size.
func printSizeTable(t *testing.T, out *table) {
	out.describe(
		fmt.Sprintf("A steady fleet without faults. Gossip, requests and CPU time are at %v requests per second and sidecar", steadyRate),
		fmt.Sprintf("(not 373: see the next table), for %v after %v; list calls and idle control are measured without requests and gossip, for %v after %v.",
			steadyDuration, steadyWarmUp, idleDuration, idleWarmUp),
		fmt.Sprintf("Each gossip datagram sent goes to all other sidecars. CPU is the real time in Balancers and in decoding, with %d services at once;", *scaleParallel),
		"all services share the caches of one machine, and the measurement adds about 0.1 us per datagram. Memory is the heap of the largest service, including the simulation.")
	for _, n := range []int{100, 300, 1000, 3000, 11000} {
		for _, form := range selectedForms(n) {
			out.addRow(simulateSize(t, n, form)...)
		}
	}
}

// simulateSize simulates a fleet with and without requests, and returns its table row.
func simulateSize(t *testing.T, n int, form fleetForm) []tableCell {
	t.Helper()
	sizes := form.sizes(n)
	memory := memoryPerSidecar(t, sizes[0])
	started := time.Now()
	steady := fleetRun{steadyRate, measureCPU, warmUpThenRun(steadyWarmUp, steadyDuration)}.simulate(t, sizes, *scaleParallel)
	idle := fleetRun{steadyRate, idleFleet, warmUpThenRun(idleWarmUp, idleDuration)}.simulate(t, sizes, *scaleParallel)
	checkViolations(t, steady)
	checkViolations(t, idle)
	s, i := &steady.counts, &idle.counts
	steadyEach := func(count int64) float64 { return steady.perSidecarSecond(count, steadyDuration) }
	idleEach := func(count int64) float64 { return idle.perSidecarSecond(count, idleDuration) }
	return []tableCell{
		{"sidecars", count(n)},
		{"form", form.name},
		{"services", count(len(sizes))},
		{"largest", count(sizes[0])},
		{"gossip sent/s", float(2, steadyEach(s.Gossip.Sent.Messages))},
		{"gossip received/s", float(1, steadyEach(s.Gossip.Received.Messages))},
		{"gossip received KB/s", float(2, steadyEach(s.Gossip.Received.Bytes)/1000)},
		{"list calls/s", float(3, idleEach(i.EndpointLists.Sent.Messages))},
		{"list sent B/s", float(1, idleEach(i.EndpointLists.Sent.Bytes))},
		{"list received B/s", float(1, idleEach(i.EndpointLists.Received.Bytes))},
		{"requests sent+received KB/s", float(2, steadyEach(s.Attempts.Sent.Bytes+s.Attempts.Received.Bytes)/1000)},
		{"CPU us/request", float(2, float64(s.RequestCPU.Microseconds())/float64(s.BalancerRequests))},
		{"control % of a core", float(3, 100*steadyEach(int64(s.ControlCPU))/1e9)},
		{"idle control %", float(4, 100*idleEach(int64(i.ControlCPU))/1e9)},
		{"memory KB", float(0, memory/1024)},
		{"discovery calls/s", float(1, float64(i.Discovery.Processed)/idleDuration.Seconds())},
		{"violations", count(steady.violations.Total() + idle.violations.Total())},
		{"run time", time.Since(started).Round(time.Second).String()},
	}
}

// memoryPerSidecar returns the heap size per sidecar of a service after 3 s, in bytes, including the
// simulation.
func memoryPerSidecar(t *testing.T, size int) float64 {
	t.Helper()
	before := heapInUse()
	sim := newSimulation(t, testConfig(0, size, steadyRate))
	sim.Run(3 * time.Second)
	after := heapInUse()
	runtime.KeepAlive(sim)
	return (after - before) / float64(size)
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
