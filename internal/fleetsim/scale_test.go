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
	scale            = flag.Bool("scale", false, "TestScale simulates large fleets and prints tables of their cost (with -v)")
	scaleMaxSidecars = flag.Int("scale.most", 11000, "TestScale: maximum number of sidecars of a fleet")
	scaleParallel    = flag.Int("scale.at", 4, "TestScale: number of services to simulate concurrently")
	scaleForm        = flag.String("scale.form", "", "TestScale: how to divide sidecars into services, few or many; empty for both")
	scalePart        = flag.String("scale.part", "", "TestScale: the part to run, sizes, busy or events; empty for all")
)

const (
	maxLargeServiceSize = 1100 // maximum sidecars per service in a fleet of few services
	meanServiceSize     = 16.4 // mean sidecars per service in a fleet of many services: 11,000 in 670
)

// fleetForm is a way to divide a fleet into services.
type fleetForm struct {
	name  string
	sizes func(sidecars int) []int // returns the numbers of sidecars of the services, the largest first
}

var fleetForms = []fleetForm{
	{"few", func(n int) []int { return EvenSizes(n, maxLargeServiceSize) }},
	{"many", func(n int) []int { return ZipfSizes(n, int(float64(n)/meanServiceSize)) }},
}

// selectedForms returns the forms that -scale.form selects for a fleet, or none if the fleet has more than
// -scale.most sidecars.
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

// add adds the result of a service. It keeps only the first violation detail of each service.
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

// perSidecarSecond converts a count over all sidecars and a duration d to a rate per second and sidecar.
func (f *fleetResult) perSidecarSecond(count int64, d time.Duration) float64 {
	return float64(count) / float64(f.sidecars) / d.Seconds()
}

// fleetRun describes how to simulate each service of a fleet.
type fleetRun struct {
	ratePerSidecar float64           // client requests per second
	configure      func(*Config)     // modifies testConfig
	run            func(*Simulation) // advances the simulation
}

// simulate simulates services of the given sizes, at most parallel of them concurrently.
func (r fleetRun) simulate(t testing.TB, sizes []int, parallel int) fleetResult {
	t.Helper()
	var total fleetResult
	if err := RunAll(sizes, parallel, r.simulateService, total.add); err != nil {
		t.Fatal(err)
	}
	if total.err != nil {
		t.Error(total.err)
	}
	return total
}

// simulateService simulates one service, with its index as the seed.
func (r fleetRun) simulateService(index, size int) (fleetResult, error) {
	cfg := testConfig(uint64(index), size, r.ratePerSidecar)
	r.configure(&cfg)
	sim, err := New(cfg)
	if err != nil {
		return fleetResult{}, fmt.Errorf("service %d: %w", index, err)
	}
	r.run(sim)
	return fleetResult{sim.Counts(), sim.Violations(), sim.PropagationTimes(), sim.PendingChanges(), sim.Digest(), size, sim.Err()}, nil
}

// noChange keeps testConfig as it is.
func noChange(*Config) {}

// measureCPU enables the measurement of CPU time.
func measureCPU(c *Config) { c.MeasureCPU = true }

// idleFleet disables requests and gossip, so that only watches and timers remain, and enables the measurement
// of CPU time.
func idleFleet(c *Config) { c.MeasureCPU, c.RequestRate, c.Policy.CanGossip = true, 0, false }

// warmUpThenRun returns a function that runs a warm-up, which is not counted, and then runs the simulation
// for d.
func warmUpThenRun(warmUp, d time.Duration) func(*Simulation) {
	return func(sim *Simulation) {
		sim.Run(warmUp)
		sim.ResetCounts()
		sim.Run(d)
	}
}

// checkViolations fails the test for invariant violations.
func checkViolations(t *testing.T, f fleetResult) {
	t.Helper()
	if f.violations.Total() > 0 {
		t.Errorf("invariant violations = %v, want none; for example %q",
			f.violations.Counts, f.violations.Details[:min(3, len(f.violations.Details))])
	}
}

// TestSmallScale runs the simulations of TestScale in small fleets. Counts must not depend on how many
// services are simulated concurrently, and no invariant may be violated.
func TestSmallScale(t *testing.T) {
	steady := fleetRun{4, noChange, warmUpThenRun(2*time.Second, 3*time.Second)}
	for _, n := range []int{100, 300} {
		for _, form := range fleetForms {
			t.Run(fmt.Sprintf("%d sidecars in %s services", n, form.name), func(t *testing.T) {
				sizes := form.sizes(n)
				serial, parallel := steady.simulate(t, sizes, 1), steady.simulate(t, sizes, 4)
				if serial.digest != parallel.digest || serial.counts != parallel.counts || serial.counts.Gossip.Received.Messages == 0 {
					t.Errorf("one service at a time: digest %x, counts %+v; four concurrently: digest %x, counts %+v; want the same, with gossip",
						serial.digest, serial.counts, parallel.digest, parallel.counts)
				}
				if serial.sidecars != n {
					t.Errorf("simulated %d sidecars, want %d", serial.sidecars, n)
				}
				checkViolations(t, serial)
			})
		}
	}
}

// TestScale prints tables of the cost of large fleets, and checks that no invariant is violated.
func TestScale(t *testing.T) {
	if !*scale {
		t.Skip("takes minutes; run with -scale -v -timeout 60m")
	}
	for _, part := range []struct {
		name string
		run  func(*testing.T, *table)
	}{
		{"sizes", printSizeTable},
		{"busy", printHighRateTable},
		{"events", printEventTable},
	} {
		if *scalePart == "" || *scalePart == part.name {
			out := newTable()
			part.run(t, out)
			out.flush(t)
		}
	}
}

// table prints aligned rows to standard output, with a header before the first row.
type table struct {
	out       *tabwriter.Writer
	hasHeader bool
}

// tableCell is a value of a row and the title of its column.
type tableCell struct{ title, value string }

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

// addRow prints a row. All rows of a table must have the same columns.
func (t *table) addRow(cells ...tableCell) {
	if !t.hasHeader {
		t.hasHeader = true
		t.print(cells, func(c tableCell) string { return c.title })
	}
	t.print(cells, func(c tableCell) string { return c.value })
}

func (t *table) print(cells []tableCell, text func(tableCell) string) {
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

// count formats an integer for a table cell.
func count[T int | int64](n T) string { return fmt.Sprint(n) }

// float formats a floating-point number with the given number of decimals for a table cell.
func float(digits int, x float64) string { return fmt.Sprintf("%.*f", digits, x) }

// median returns the median of durations, or 0 if there are none.
func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
