package fleetsim

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"
)

var (
	scale            = flag.Bool("scale", false, "TestScale simulates large fleets and prints its tables (with -v)")
	scaleMaxSidecars = flag.Int("scale.most", 11000, "TestScale simulates fleets of at most so many sidecars")
	scaleParallel    = flag.Int("scale.at", 4, "TestScale simulates so many services at once")
	scaleForm        = flag.String("scale.form", "", "TestScale divides the sidecars into few or many services; both if it is empty")
	scalePart        = flag.String("scale.part", "", "TestScale runs one part: sizes, busy or events; all if it is empty")
)

const (
	maxLargeServiceSize = 1100 // sidecars of a service in a fleet of few services
	meanServiceSize     = 16.4 // sidecars of a service in a fleet of many services: 11,000 in 670
)

// fleetForm is a way to divide a fleet into services.
type fleetForm struct {
	name  string
	sizes func(sidecars int) []int // of the services, the largest first
}

var fleetForms = []fleetForm{
	{"few", func(n int) []int { return EvenSizes(n, maxLargeServiceSize) }},
	{"many", func(n int) []int { return Sizes(n, int(float64(n)/meanServiceSize)) }},
}

// selectedForms returns the forms that -scale.form selects for a fleet, none if it has more than -scale.most sidecars.
func selectedForms(sidecars int) (forms []fleetForm) {
	if sidecars > *scaleMaxSidecars {
		return nil
	}
	for _, form := range fleetForms {
		if *scaleForm == "" || *scaleForm == form.name {
			forms = append(forms, form)
		}
	}
	return forms
}

// fleetResult is the result of one service, or the sum over all services of a fleet.
type fleetResult struct {
	counts           Counts
	violations       Violations
	propagationTimes []time.Duration
	pendingChanges   int
	digest           uint64
	sidecars         int
	err              error
}

// add adds the result of a service. It takes the description of the first violation only.
func (f *fleetResult) add(service fleetResult) {
	f.counts.Add(&service.counts)
	for i, count := range service.violations.Counts {
		f.violations.Counts[i] += count
	}
	if details := service.violations.Details; len(details) > 0 {
		f.violations.Details = append(f.violations.Details, details[0])
	}
	f.propagationTimes = append(f.propagationTimes, service.propagationTimes...)
	f.pendingChanges += service.pendingChanges
	f.digest = f.digest*31 + service.digest
	f.sidecars += service.sidecars
	if f.err == nil {
		f.err = service.err
	}
}

// perSidecarSecond is a count over all sidecars for a time, as a rate of one sidecar.
func (f *fleetResult) perSidecarSecond(count int64, d time.Duration) float64 {
	return float64(count) / float64(f.sidecars) / d.Seconds()
}

// fleetRun is how to simulate each service of a fleet.
type fleetRun struct {
	ratePerSidecar float64       // client requests per second
	configure      func(*Config) // changes testConfig
	run            func(*Simulation)
}

// simulate simulates services of these sizes, at most parallel at once.
func (r fleetRun) simulate(t testing.TB, sizes []int, parallel int) fleetResult {
	t.Helper()
	var total fleetResult
	if err := RunAll(sizes, parallel, r.service, total.add); err != nil {
		t.Fatal(err)
	}
	if total.err != nil {
		t.Error(total.err)
	}
	return total
}

// service simulates one service, with its index as the seed.
func (r fleetRun) service(index, size int) (fleetResult, error) {
	cfg := testConfig(uint64(index), size, r.ratePerSidecar)
	r.configure(&cfg)
	sim, err := New(cfg)
	if err != nil {
		return fleetResult{}, fmt.Errorf("service %d: %w", index, err)
	}
	r.run(sim)
	return fleetResult{sim.Counts(), sim.Violations(), sim.PropagationTimes(), sim.PendingChanges(), sim.Digest(), size, sim.Err()}, nil
}

// unchanged configures nothing.
func unchanged(*Config) {}

// measureCPU configures a measurement of processor time.
func measureCPU(c *Config) { c.MeasureCPU = true }

// idleFleet configures a fleet without requests and gossip: only watches and timers remain.
func idleFleet(c *Config) { c.MeasureCPU, c.RequestRate, c.Policy.CanGossip = true, 0, false }

// warmUpThenRun runs a warm-up that is not counted, and then d.
func warmUpThenRun(warmUp, d time.Duration) func(*Simulation) {
	return func(sim *Simulation) {
		sim.Run(warmUp)
		sim.ResetCounts()
		sim.Run(d)
	}
}

// checkViolations fails the test for violations.
func checkViolations(t *testing.T, f fleetResult) {
	t.Helper()
	if f.violations.Total() > 0 {
		t.Errorf("violations %v, for example %q", f.violations.Counts, f.violations.Details[:min(3, len(f.violations.Details))])
	}
}

// The small form of TestScale: counts do not depend on how many services are simulated at once, and no invariant is
// violated.
func TestSmallScale(t *testing.T) {
	steady := fleetRun{4, unchanged, warmUpThenRun(2*time.Second, 3*time.Second)}
	for _, n := range []int{100, 300} {
		for _, form := range fleetForms {
			t.Run(fmt.Sprintf("%d sidecars in %s services", n, form.name), func(t *testing.T) {
				sizes := form.sizes(n)
				serial, parallel := steady.simulate(t, sizes, 1), steady.simulate(t, sizes, 4)
				if serial.digest != parallel.digest || serial.counts != parallel.counts || serial.counts.Gossip.Received.Messages == 0 {
					t.Errorf("one at a time %x %+v, four at once %x %+v", serial.digest, serial.counts, parallel.digest, parallel.counts)
				}
				if serial.sidecars != n {
					t.Errorf("%d of %d sidecars were simulated", serial.sidecars, n)
				}
				checkViolations(t, serial)
			})
		}
	}
}

// TestScale prints tables of what large fleets cost, and checks that no invariant is violated.
func TestScale(t *testing.T) {
	if !*scale {
		t.Skip("takes minutes: -scale -v -timeout 60m")
	}
	for _, part := range []struct {
		name string
		run  func(*testing.T, *table)
	}{
		{"sizes", scaleSizes},
		{"busy", scaleHighRate},
		{"events", scaleEvents},
	} {
		if *scalePart == "" || *scalePart == part.name {
			out := newTable()
			part.run(t, out)
			out.flush(t)
		}
	}
}

// table prints aligned rows to standard output, with a header before the first.
type table struct {
	out       *tabwriter.Writer
	hasHeader bool
}

// cell is a value of a row and the title of its column.
type cell struct{ title, value string }

func newTable() *table {
	return &table{out: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)}
}

// describe prints lines above the table.
func (t *table) describe(lines ...string) {
	fmt.Fprintln(t.out)
	for _, line := range lines {
		fmt.Fprintln(t.out, line)
	}
}

// row prints a row; all rows of a table must have the same columns.
func (t *table) row(cells ...cell) {
	if !t.hasHeader {
		t.hasHeader = true
		t.print(cells, func(c cell) string { return c.title })
	}
	t.print(cells, func(c cell) string { return c.value })
}

func (t *table) print(cells []cell, text func(cell) string) {
	for _, c := range cells {
		fmt.Fprint(t.out, text(c), "\t")
	}
	fmt.Fprintln(t.out)
}

func (t *table) flush(tb testing.TB) {
	tb.Helper()
	if err := t.out.Flush(); err != nil {
		tb.Error(err)
	}
}

// count and float format a value for a cell.
func count[T int | int64](n T) string { return fmt.Sprint(n) }

func float(digits int, x float64) string { return fmt.Sprintf("%.*f", digits, x) }

// median is the median of durations, and 0 if there is none.
func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
