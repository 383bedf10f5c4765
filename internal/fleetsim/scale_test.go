package fleetsim

import (
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"testing"
	"text/tabwriter"
	"time"
)

var (
	scale            = flag.Bool("scale", false, "TestScale plays the large form and prints its tables (with -v)")
	scaleMaxSidecars = flag.Int("scale.most", 11000, "TestScale plays fleets of at most so many sidecars")
	scaleParallel    = flag.Int("scale.at", 4, "TestScale plays so many services at once")
	scaleForm        = flag.String("scale.form", "", "TestScale deals sidecars out to few or many services; both where it is empty")
	scalePart        = flag.String("scale.part", "", "TestScale plays one part: sizes, busy or events, or all where it is empty")
)

const (
	maxLargeServiceSize = 1100 // sidecars and servers of a service, where services are few
	meanServiceSize     = 16.4 // where they are many: 11,000 in 670
)

// serviceSizes are how a fleet is dealt out to services.
func serviceSizes(n int) map[string][]int {
	return map[string][]int{"few": EvenSizes(n, maxLargeServiceSize), "many": Sizes(n, int(float64(n)/meanServiceSize))}
}

// result is what came of one service, or of all.
type result struct {
	counts           Counts
	violations       Violations
	propagationTimes []time.Duration
	pendingChanges   int
	digest           uint64
	sidecars         int
	err              error
}

// simulateAll plays a service of each size and adds up what came of them.
func simulateAll(t testing.TB, sizes []int, atOnce int, rate float64, change func(*Config), act func(sim *Simulation)) result {
	t.Helper()
	var all result
	err := RunAll(sizes, atOnce, func(k, size int) (result, error) {
		cfg := testConfig(uint64(k), size, rate)
		change(&cfg)
		sim, err := New(cfg)
		if err != nil {
			return result{}, fmt.Errorf("service %d: %w", k, err)
		}
		act(sim)
		return result{sim.Counts(), sim.Violations(), sim.PropagationTimes(), sim.PendingChanges(), sim.Digest(), size, sim.Err()}, nil
	}, func(p result) {
		all.counts.Add(&p.counts)
		for r, times := range p.violations.Counts {
			all.violations.Counts[r] += times
		}
		all.violations.Details = append(all.violations.Details, p.violations.Details[:min(1, len(p.violations.Details))]...)
		all.propagationTimes = append(all.propagationTimes, p.propagationTimes...)
		all.pendingChanges += p.pendingChanges
		all.digest = all.digest*31 + p.digest
		all.sidecars += p.sidecars
		if all.err == nil {
			all.err = p.err
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if all.err != nil {
		t.Error(all.err)
	}
	return all
}

// unchanged changes nothing, and measured takes processor time.
func unchanged(*Config) {}

func measureCPU(c *Config) { c.MeasureCPU = true }

// idleFleet has no client ask and no sidecar tell: what is left are the watches of the list, and the timers.
func idleFleet(c *Config) { c.MeasureCPU, c.RequestRate, c.Policy.CanGossip = true, 0, false }

// warmUpThenRun plays a time that does not count and then d that does.
func warmUpThenRun(before, d time.Duration) func(sim *Simulation) {
	return func(sim *Simulation) {
		sim.Run(before)
		sim.ResetCounts()
		sim.Run(d)
	}
}

// The small form of TestScale: the counts are the same however many services play at once, and no rule is broken.
func TestSmallScale(t *testing.T) {
	for _, n := range []int{100, 300} {
		for form, sizes := range serviceSizes(n) {
			one := simulateAll(t, sizes, 1, 4, unchanged, warmUpThenRun(2*time.Second, 3*time.Second))
			four := simulateAll(t, sizes, 4, 4, unchanged, warmUpThenRun(2*time.Second, 3*time.Second))
			if one.digest != four.digest || one.counts != four.counts || one.counts.Gossip.Received.Messages == 0 {
				t.Errorf("%d sidecars, %s services: one at a time %x %+v, four at once %x %+v", n, form,
					one.digest, one.counts, four.digest, four.counts)
			}
			if one.sidecars != n || one.violations.Total() > 0 {
				t.Errorf("%d of %d sidecars in %s services: rules broken %v: %q", one.sidecars, n, form, one.violations.Counts, one.violations.Details)
			}
		}
	}
}

// The large form prints what is counted at size. It finds no rule broken.
func TestScale(t *testing.T) {
	if !*scale {
		t.Skip("plays for minutes: -scale -v -timeout 60m")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	part := func(name string, play func(*testing.T, io.Writer)) {
		if *scalePart == "" || *scalePart == name {
			play(t, out)
			if err := out.Flush(); err != nil {
				t.Error(err)
			}
		}
	}
	part("sizes", scaleSizes)
	part("busy", scaleHighRate)
	part("events", scaleEvents)
}

// heapInUse is the heap that is in use, in bytes.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memoryPerSidecar is what each sidecar of a service holds after a while, the model around it included, in KB.
func memoryPerSidecar(t *testing.T, size int) float64 {
	before := heapInUse()
	sim := newSimulation(t, testConfig(0, size, 4))
	sim.Run(3 * time.Second)
	after := heapInUse()
	runtime.KeepAlive(sim)
	return (after - before) / 1024 / float64(size)
}

func scaleSizes(t *testing.T, out io.Writer) {
	const rate, d = 4, 5 * time.Second
	const quietly = 45 * time.Second // three watches
	fmt.Fprintf(out, "\nA steady fleet: nothing is lost or replaced. Gossip, requests and processor time at %d calls a second for each sidecar\n", rate)
	fmt.Fprintf(out, "(not 373: see the next table), for %v after 2 s; lists and quiet control with no calls and no gossip, for %v after 15 s.\n", d, quietly)
	fmt.Fprintf(out, "Of gossip, one datagram out goes to all. CPU is wall time in Balancers and in reading what comes, with %d services at once;\n", *scaleParallel)
	fmt.Fprintln(out, "all share one machine's caches, and taking the time adds some 0.1 us to each datagram. Memory is the heap of the largest service, the model included.")
	fmt.Fprintln(out, "sidecars\tform\tservices\tlargest\tgossip out/s\tgossip in/s\tgossip in KB/s\tlist calls/s\tlist out B/s\tlist in B/s\trequests out+in KB/s\tCPU us/call\tcontrol % of a core\tquiet %\tmemory KB\tdiscovery turns/s\tbroken\tplayed in\t")
	for _, n := range []int{100, 300, 1000, 3000, 11000} {
		for _, form := range []string{"few", "many"} {
			if n > *scaleMaxSidecars || *scaleForm != "" && *scaleForm != form {
				continue
			}
			sizes := serviceSizes(n)[form]
			kb := memoryPerSidecar(t, sizes[0])
			begun := time.Now()
			p := simulateAll(t, sizes, *scaleParallel, rate, measureCPU, warmUpThenRun(2*time.Second, d))
			q := simulateAll(t, sizes, *scaleParallel, rate, idleFleet, warmUpThenRun(15*time.Second, quietly))
			c, each := p.counts, func(n int64) float64 { return float64(n) / float64(p.sidecars) / d.Seconds() }
			idle := func(n int64) float64 { return float64(n) / float64(p.sidecars) / quietly.Seconds() }
			fmt.Fprintf(out, "%d\t%s\t%d\t%d\t%.2f\t%.1f\t%.2f\t%.3f\t%.1f\t%.1f\t%.2f\t%.2f\t%.3f\t%.4f\t%.0f\t%.1f\t%d\t%v\t\n",
				n, form, len(sizes), sizes[0], each(c.Gossip.Sent.Messages), each(c.Gossip.Received.Messages), each(c.Gossip.Received.Bytes)/1000,
				idle(q.counts.EndpointLists.Sent.Messages), idle(q.counts.EndpointLists.Sent.Bytes), idle(q.counts.EndpointLists.Received.Bytes),
				each(c.Attempts.Sent.Bytes+c.Attempts.Received.Bytes)/1000, float64(c.RequestCPU.Microseconds())/float64(c.BalancerRequests),
				100*each(int64(c.ControlCPU))/1e9, 100*idle(int64(q.counts.ControlCPU))/1e9, kb,
				float64(q.counts.Discovery.Processed)/quietly.Seconds(), p.violations.Total()+q.violations.Total(), time.Since(begun).Round(time.Second))
			checkViolations(t, p)
			checkViolations(t, q)
		}
	}
}

// checkViolations fails the test for rules that were broken.
func checkViolations(t *testing.T, p result) {
	t.Helper()
	if p.violations.Total() > 0 {
		t.Errorf("rules broken %v, for one: %q", p.violations.Counts, p.violations.Details[:min(3, len(p.violations.Details))])
	}
}

func scaleHighRate(t *testing.T, out io.Writer) {
	const rate, busy, d = 373, 4, 5 * time.Second
	fmt.Fprintf(out, "\nProcessor time of %d sidecars at %d calls a second among others at 4, one service at a time, for %v after 2 s.\n", busy, rate, d)
	fmt.Fprintln(out, "sidecars\tservers\tgossip in/s\tCPU us/call\tcontrol us/call\tcontrol % of a core\tall % of a core\tin time\tbroken\t")
	for _, n := range []int{16, 100, 300, 1100, 1551} {
		if n > *scaleMaxSidecars {
			continue
		}
		cfg := testConfig(0, n, rate) // quotas as if all were so busy
		cfg.MeasureCPU, cfg.HighRateSidecars, cfg.HighRate, cfg.RequestRate, cfg.Server.Cores = true, busy, rate, 4*float64(n-busy), 20
		sim := newSimulation(t, cfg)
		warmUpThenRun(2*time.Second, d)(sim)
		c := sim.Counts()
		us := func(d time.Duration) float64 {
			return float64(d.Nanoseconds()) / 1000 / float64(c.HighRateBalancerRequests)
		}
		core := func(spent time.Duration) float64 { return 100 * spent.Seconds() / d.Seconds() / busy }
		b := sim.Violations()
		fmt.Fprintf(out, "%d\t%d\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.3f\t%d\t\n", n, n,
			float64(c.Gossip.Received.Messages)/float64(n)/d.Seconds(), us(c.HighRateRequestCPU), us(c.HighRateControlCPU),
			core(c.HighRateControlCPU), core(c.HighRateControlCPU+c.HighRateRequestCPU), float64(c.WithinObjective)/float64(c.Requests), b.Total())
		checkInvariants(t, sim)
	}
}

// scaledCount is a service's part of so many of 11,000 servers. Small ones have one or none, by chance of their number.
func scaledCount(sim *Simulation, of11000 float64) int {
	_, chance := math.Modf(float64(sim.config.Seed) * math.Phi)
	return int(of11000*float64(len(sim.servers))/11000 + chance)
}

func scaleEvents(t *testing.T, out io.Writer) {
	const rate = 0.5
	fmt.Fprintf(out, "\nEvents at size, at %v calls a second for each sidecar. All know: until the last sidecar that can be told knows a change.\n", rate)
	fmt.Fprintln(out, "An hour of regions apart is played in 60 s (60:1) with 50 of 11,000 replaced, a day of 1,200 of 11,000 replaced in 72 s (1200:1);\ntimes of the program are not scaled. A replaced server is three changes; discovery takes 0.1 ms a call and 2 us a line, each service's by itself.")
	fmt.Fprintln(out, "event\tsidecars\tform\tchanges\tall know, median\tlongest\tunknown\tlist lines/sidecar\tlist KB/sidecar\tdiscovery turns\tturns' longest wait\tlargest's work s\tfailed calls\tasked\tin time\tbroken\tplayed in\t")
	for _, e := range []struct {
		name string
		play func(sim *Simulation)
	}{
		{"zone lost, 8 s", func(sim *Simulation) { failLastZone(sim, 3*time.Second, 8*time.Second, 15*time.Second) }},
		{"regions apart, 60 s", func(sim *Simulation) { partitionRegions(sim, scaledCount(sim, 50), time.Minute) }},
		{"replaced, 72 s", func(sim *Simulation) {
			sim.Run(2 * time.Second)
			replaceServers(sim, scaledCount(sim, 1200), 72*time.Second)
			sim.Run(90 * time.Second)
		}},
	} {
		for _, n := range []int{100, 1100, 11000} {
			for _, form := range []string{"few", "many"} {
				if n > *scaleMaxSidecars || *scaleForm != "" && *scaleForm != form {
					continue
				}
				sizes := serviceSizes(n)[form]
				begun := time.Now()
				var largest time.Duration
				p := simulateAll(t, sizes, *scaleParallel, rate, unchanged, func(sim *Simulation) {
					e.play(sim)
					if len(sim.servers) == sizes[0] && sim.config.Seed == 0 {
						largest = sim.Counts().Discovery.ProcessingTime
					}
				})
				c, median := p.counts, time.Duration(0)
				if len(p.propagationTimes) > 0 {
					slices.Sort(p.propagationTimes)
					median = p.propagationTimes[len(p.propagationTimes)/2]
				}
				each := func(n int64) float64 { return float64(n) / float64(p.sidecars) }
				fmt.Fprintf(out, "%s\t%d\t%s\t%d\t%v\t%v\t%d\t%.0f\t%.1f\t%d\t%v\t%.2f\t%d\t%d\t%.3f\t%d\t%v\t\n",
					e.name, n, form, c.Discovery.Changes, median.Round(ms), maxDuration(p.propagationTimes).Round(ms), p.pendingChanges, each(c.EntriesRead),
					each(c.EndpointLists.Received.Bytes)/1000, c.Discovery.Processed, c.Discovery.MaxQueueWait.Round(ms), largest.Seconds(), c.Discovery.TimedOut,
					c.Requests, float64(c.WithinObjective)/float64(c.Requests), p.violations.Total(), time.Since(begun).Round(time.Second))
				checkViolations(t, p)
			}
		}
	}
}
