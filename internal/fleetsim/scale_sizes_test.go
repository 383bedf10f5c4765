package fleetsim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const (
	steadyRate   = 4.0 // client requests per second for each sidecar
	steadyWarmUp = 2 * time.Second
	steadyTime   = 5 * time.Second
	idleWarmUp   = 15 * time.Second
	idleTime     = 45 * time.Second // three watches
)

// scaleSizes prints what fleets without any fault cost, by their size.
func scaleSizes(t *testing.T, out *table) {
	out.describe(
		fmt.Sprintf("A steady fleet without faults. Gossip, requests and processor time are at %v requests a second for each sidecar", steadyRate),
		fmt.Sprintf("(not 373: see the next table), for %v after %v; list calls and idle control are without requests and gossip, for %v after %v.",
			steadyTime, steadyWarmUp, idleTime, idleWarmUp),
		fmt.Sprintf("One gossip datagram sent goes to all. CPU is the real time in Balancers and in decoding, with %d services at once;", *scaleParallel),
		"all share one machine's caches, and the measurement adds some 0.1 us to each datagram. Memory is the heap of the largest service, the simulation included.")
	for _, n := range []int{100, 300, 1000, 3000, 11000} {
		for _, form := range selectedForms(n) {
			out.row(scaleSize(t, n, form)...)
		}
	}
}

// scaleSize simulates a fleet with and without requests, and returns its row.
func scaleSize(t *testing.T, n int, form fleetForm) []cell {
	t.Helper()
	sizes := form.sizes(n)
	memory := memoryPerSidecar(t, sizes[0])
	started := time.Now()
	steady := fleetRun{steadyRate, measureCPU, warmUpThenRun(steadyWarmUp, steadyTime)}.simulate(t, sizes, *scaleParallel)
	idle := fleetRun{steadyRate, idleFleet, warmUpThenRun(idleWarmUp, idleTime)}.simulate(t, sizes, *scaleParallel)
	checkViolations(t, steady)
	checkViolations(t, idle)
	s, i := &steady.counts, &idle.counts
	steadyEach := func(count int64) float64 { return steady.perSidecarSecond(count, steadyTime) }
	idleEach := func(count int64) float64 { return idle.perSidecarSecond(count, idleTime) }
	return []cell{
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
		{"discovery calls/s", float(1, float64(i.Discovery.Processed)/idleTime.Seconds())},
		{"violations", count(steady.violations.Total() + idle.violations.Total())},
		{"run time", time.Since(started).Round(time.Second).String()},
	}
}

// memoryPerSidecar is the heap in bytes of a service after 3 s, with all of its simulation, per sidecar.
func memoryPerSidecar(t *testing.T, size int) float64 {
	t.Helper()
	before := heapInUse()
	sim := newSimulation(t, testConfig(0, size, steadyRate))
	sim.Run(3 * time.Second)
	after := heapInUse()
	runtime.KeepAlive(sim)
	return (after - before) / float64(size)
}

// heapInUse is the size of the live heap in bytes.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
