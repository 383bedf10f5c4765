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
	scale     = flag.Bool("scale", false, "TestScale plays the large form and prints its tables (with -v)")
	scaleMost = flag.Int("scale.most", 11000, "TestScale plays fleets of at most so many sidecars")
	scaleAt   = flag.Int("scale.at", 4, "TestScale plays so many services at once")
	scaleForm = flag.String("scale.form", "", "TestScale deals sidecars out to few or many services; both where it is empty")
	scalePart = flag.String("scale.part", "", "TestScale plays one part: sizes, busy or events, or all where it is empty")
)

const (
	fewMost  = 1100 // sidecars and servers of a service, where services are few
	meanSize = 16.4 // where they are many: 11,000 in 670
)

// forms are how a fleet is dealt out to services.
func forms(n int) map[string][]int {
	return map[string][]int{"few": Even(n, fewMost), "many": Sizes(n, int(float64(n)/meanSize))}
}

// played is what came of one service, or of all.
type played struct {
	counts   Counts
	broken   Broken
	known    []time.Duration
	unknown  int
	digest   uint64
	sidecars int
	err      error
}

// playAll plays a service of each size and adds up what came of them.
func playAll(t testing.TB, sizes []int, atOnce int, rate float64, change func(*Config), act func(f *Service)) played {
	t.Helper()
	var all played
	err := Play(sizes, atOnce, func(k, size int) (played, error) {
		cfg := testConfig(uint64(k), size, rate)
		change(&cfg)
		f, err := New(cfg)
		if err != nil {
			return played{}, fmt.Errorf("service %d: %w", k, err)
		}
		act(f)
		return played{f.Counts(), f.Broken(), f.Known(), f.Unknown(), f.Digest(), size, f.Err()}, nil
	}, func(p played) {
		all.counts.Plus(&p.counts)
		for r, times := range p.broken.Times {
			all.broken.Times[r] += times
		}
		all.broken.Detail = append(all.broken.Detail, p.broken.Detail[:min(1, len(p.broken.Detail))]...)
		all.known = append(all.known, p.known...)
		all.unknown += p.unknown
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

// asItIs changes nothing, and measured takes processor time.
func asItIs(*Config) {}

func measured(c *Config) { c.Measure = true }

// quiet has no client ask and no sidecar tell: what is left are the watches of the list, and the timers.
func quiet(c *Config) { c.Measure, c.Rate, c.Policy.CanGossip = true, 0, false }

// steady plays a time that does not count and then d that does.
func steady(before, d time.Duration) func(f *Service) {
	return func(f *Service) {
		f.Run(before)
		f.Recount()
		f.Run(d)
	}
}

// The small form of TestScale: the counts are the same however many services play at once, and no rule is broken.
func TestSmallScale(t *testing.T) {
	for _, n := range []int{100, 300} {
		for form, sizes := range forms(n) {
			one := playAll(t, sizes, 1, 4, asItIs, steady(2*time.Second, 3*time.Second))
			four := playAll(t, sizes, 4, 4, asItIs, steady(2*time.Second, 3*time.Second))
			if one.digest != four.digest || one.counts != four.counts || one.counts.Gossip.In.Messages == 0 {
				t.Errorf("%d sidecars, %s services: one at a time %x %+v, four at once %x %+v", n, form,
					one.digest, one.counts, four.digest, four.counts)
			}
			if one.sidecars != n || one.broken.Total() > 0 {
				t.Errorf("%d of %d sidecars in %s services: rules broken %v: %q", one.sidecars, n, form, one.broken.Times, one.broken.Detail)
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
	part("busy", scaleBusy)
	part("events", scaleEvents)
}

// heldMemory is the heap that is in use, in bytes.
func heldMemory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memory is what each sidecar of a service holds after a while, the model around it included, in KB.
func memory(t *testing.T, size int) float64 {
	before := heldMemory()
	f := begin(t, testConfig(0, size, 4))
	f.Run(3 * time.Second)
	after := heldMemory()
	runtime.KeepAlive(f)
	return (after - before) / 1024 / float64(size)
}

func scaleSizes(t *testing.T, out io.Writer) {
	const rate, d = 4, 5 * time.Second
	const quietly = 45 * time.Second // three watches
	fmt.Fprintf(out, "\nA steady fleet: nothing is lost or replaced. Gossip, requests and processor time at %d calls a second for each sidecar\n", rate)
	fmt.Fprintf(out, "(not 373: see the next table), for %v after 2 s; lists and quiet control with no calls and no gossip, for %v after 15 s.\n", d, quietly)
	fmt.Fprintf(out, "Of gossip, one datagram out goes to all. CPU is wall time in Balancers and in reading what comes, with %d services at once;\n", *scaleAt)
	fmt.Fprintln(out, "all share one machine's caches, and taking the time adds some 0.1 us to each datagram. Memory is the heap of the largest service, the model included.")
	fmt.Fprintln(out, "sidecars\tform\tservices\tlargest\tgossip out/s\tgossip in/s\tgossip in KB/s\tlist calls/s\tlist out B/s\tlist in B/s\trequests out+in KB/s\tCPU us/call\tcontrol % of a core\tquiet %\tmemory KB\tdiscovery turns/s\tbroken\tplayed in\t")
	for _, n := range []int{100, 300, 1000, 3000, 11000} {
		for _, form := range []string{"few", "many"} {
			if n > *scaleMost || *scaleForm != "" && *scaleForm != form {
				continue
			}
			sizes := forms(n)[form]
			kb := memory(t, sizes[0])
			begun := time.Now()
			p := playAll(t, sizes, *scaleAt, rate, measured, steady(2*time.Second, d))
			q := playAll(t, sizes, *scaleAt, rate, quiet, steady(15*time.Second, quietly))
			c, each := p.counts, func(n int64) float64 { return float64(n) / float64(p.sidecars) / d.Seconds() }
			idle := func(n int64) float64 { return float64(n) / float64(p.sidecars) / quietly.Seconds() }
			fmt.Fprintf(out, "%d\t%s\t%d\t%d\t%.2f\t%.1f\t%.2f\t%.3f\t%.1f\t%.1f\t%.2f\t%.2f\t%.3f\t%.4f\t%.0f\t%.1f\t%d\t%v\t\n",
				n, form, len(sizes), sizes[0], each(c.Gossip.Out.Messages), each(c.Gossip.In.Messages), each(c.Gossip.In.Bytes)/1000,
				idle(q.counts.Lists.Out.Messages), idle(q.counts.Lists.Out.Bytes), idle(q.counts.Lists.In.Bytes),
				each(c.Requests.Out.Bytes+c.Requests.In.Bytes)/1000, float64(c.RequestTime.Microseconds())/float64(c.Taken),
				100*each(int64(c.ControlTime))/1e9, 100*idle(int64(q.counts.ControlTime))/1e9, kb,
				float64(q.counts.Discovery.Turns)/quietly.Seconds(), p.broken.Total()+q.broken.Total(), time.Since(begun).Round(time.Second))
			report(t, p)
			report(t, q)
		}
	}
}

// report fails the test for rules that were broken.
func report(t *testing.T, p played) {
	t.Helper()
	if p.broken.Total() > 0 {
		t.Errorf("rules broken %v, for one: %q", p.broken.Times, p.broken.Detail[:min(3, len(p.broken.Detail))])
	}
}

func scaleBusy(t *testing.T, out io.Writer) {
	const rate, busy, d = 373, 4, 5 * time.Second
	fmt.Fprintf(out, "\nProcessor time of %d sidecars at %d calls a second among others at 4, one service at a time, for %v after 2 s.\n", busy, rate, d)
	fmt.Fprintln(out, "sidecars\tservers\tgossip in/s\tCPU us/call\tcontrol us/call\tcontrol % of a core\tall % of a core\tin time\tbroken\t")
	for _, n := range []int{16, 100, 300, 1100, 1551} {
		if n > *scaleMost {
			continue
		}
		cfg := testConfig(0, n, rate) // quotas as if all were so busy
		cfg.Measure, cfg.Busy, cfg.BusyRate, cfg.Rate, cfg.Server.Cores = true, busy, rate, 4*float64(n-busy), 20
		f := begin(t, cfg)
		steady(2*time.Second, d)(f)
		c := f.Counts()
		us := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 / float64(c.BusyTaken) }
		core := func(spent time.Duration) float64 { return 100 * spent.Seconds() / d.Seconds() / busy }
		b := f.Broken()
		fmt.Fprintf(out, "%d\t%d\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.3f\t%d\t\n", n, n,
			float64(c.Gossip.In.Messages)/float64(n)/d.Seconds(), us(c.BusyRequestTime), us(c.BusyControlTime),
			core(c.BusyControlTime), core(c.BusyControlTime+c.BusyRequestTime), float64(c.InTime)/float64(c.Asked), b.Total())
		keptRules(t, f)
	}
}

// part is a service's part of so many of 11,000 servers. Small ones have one or none, by chance of their number.
func part(f *Service, of11000 float64) int {
	_, chance := math.Modf(float64(f.cfg.Seed) * math.Phi)
	return int(of11000*float64(len(f.servers))/11000 + chance)
}

func scaleEvents(t *testing.T, out io.Writer) {
	const rate = 0.5
	fmt.Fprintf(out, "\nEvents at size, at %v calls a second for each sidecar. All know: until the last sidecar that can be told knows a change.\n", rate)
	fmt.Fprintln(out, "An hour of regions apart is played in 60 s (60:1) with 50 of 11,000 replaced, a day of 1,200 of 11,000 replaced in 72 s (1200:1);\ntimes of the program are not scaled. A replaced server is three changes; discovery takes 0.1 ms a call and 2 us a line, each service's by itself.")
	fmt.Fprintln(out, "event\tsidecars\tform\tchanges\tall know, median\tlongest\tunknown\tlist lines/sidecar\tlist KB/sidecar\tdiscovery turns\tturns' longest wait\tlargest's work s\tfailed calls\tasked\tin time\tbroken\tplayed in\t")
	for _, e := range []struct {
		name string
		play func(f *Service)
	}{
		{"zone lost, 8 s", func(f *Service) { loseAZone(f, 3*time.Second, 8*time.Second, 15*time.Second) }},
		{"regions apart, 60 s", func(f *Service) { partRegions(f, part(f, 50), time.Minute) }},
		{"replaced, 72 s", func(f *Service) {
			f.Run(2 * time.Second)
			replaceSome(f, part(f, 1200), 72*time.Second)
			f.Run(90 * time.Second)
		}},
	} {
		for _, n := range []int{100, 1100, 11000} {
			for _, form := range []string{"few", "many"} {
				if n > *scaleMost || *scaleForm != "" && *scaleForm != form {
					continue
				}
				sizes := forms(n)[form]
				begun := time.Now()
				var largest time.Duration
				p := playAll(t, sizes, *scaleAt, rate, asItIs, func(f *Service) {
					e.play(f)
					if len(f.servers) == sizes[0] && f.cfg.Seed == 0 {
						largest = f.Counts().Discovery.Worked
					}
				})
				c, median := p.counts, time.Duration(0)
				if len(p.known) > 0 {
					slices.Sort(p.known)
					median = p.known[len(p.known)/2]
				}
				each := func(n int64) float64 { return float64(n) / float64(p.sidecars) }
				fmt.Fprintf(out, "%s\t%d\t%s\t%d\t%v\t%v\t%d\t%.0f\t%.1f\t%d\t%v\t%.2f\t%d\t%d\t%.3f\t%d\t%v\t\n",
					e.name, n, form, c.Discovery.Changes, median.Round(ms), longest(p.known).Round(ms), p.unknown, each(c.Lines),
					each(c.Lists.In.Bytes)/1000, c.Discovery.Turns, c.Discovery.Longest.Round(ms), largest.Seconds(), c.Discovery.Failed,
					c.Asked, float64(c.InTime)/float64(c.Asked), p.broken.Total(), time.Since(begun).Round(time.Second))
				report(t, p)
			}
		}
	}
}
