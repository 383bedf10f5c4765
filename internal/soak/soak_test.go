package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"
)

var (
	firstSeed   = flag.Uint64("soak.first", 1, "seed of the first run")
	runCount    = flag.Int("soak.runs", 6, "number of runs, with consecutive seeds")
	maxParallel = flag.Int("soak.parallel", 3, "maximum number of concurrent runs")
	longStall   = flag.Bool("soak.longstall", false, "also suspend the sidecar for 40 s")
	program     = flag.String("soak.program", "", "path of the sidecar's binary; empty: build it")
)

// maxVoidRuns is the number of void runs of one plan after which the test fails.
const maxVoidRuns = 3

// buildProgram builds the sidecar with the build command of the deploy file, and returns the path of the
// binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	if *program != "" {
		return *program
	}
	path := filepath.Join(t.TempDir(), "sidecar")
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	build := regexp.MustCompile(`(CGO_ENABLED=1 go build .* -o) `).FindSubmatch(deploy)
	if build == nil {
		t.Fatal("deploy/balancer.toml has no build command")
	}
	cmd := exec.Command("bash", "-c", string(build[1])+` "$0" ./cmd/sidecar`, path)
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build sidecar: %v\n%s", err, out)
	}
	return path
}

// Random combinations of faults must not make the sidecar violate any of its guarantees. Each seed is one run
// of about ten seconds. docs/RESULTS.md has the results of many seeds.
func TestSoak(t *testing.T) { runSeeds(t, NewPlan) }

// Servers answer with responses without a length, whole or reset, with endless headers and with long bodies, beside
// the other faults. A response must be forwarded if it is whole and only then, within the memory limit.
func TestSoakOfUnusualResponses(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return NewPlan(seed).WithUnusualResponses() })
}

// runSeeds runs the plan of each seed that the flags name.
func runSeeds(t *testing.T, newPlan func(seed uint64) Plan) {
	path := buildProgram(t)
	slots := make(chan struct{}, *maxParallel)
	for seed := *firstSeed; seed < *firstSeed+uint64(*runCount); seed++ {
		plan := newPlan(seed)
		t.Run(regexp.MustCompile(`seed \d+`).FindString(plan.String()), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			checkPlan(t, plan, path)
		})
	}
}

// A stall of the machine suspends the sidecar, under load or while it drains. Afterwards it must answer the
// requests that it accepted, serve new ones and exit with status 0. Its CPU time is bounded, so that a busy
// loop fails the test.
func TestSidecarRecoversFromStall(t *testing.T) {
	path := buildProgram(t)
	stalls := []time.Duration{150 * time.Millisecond, 3 * time.Second}
	if *longStall {
		stalls = append(stalls, 40*time.Second)
	}
	for _, stall := range stalls {
		base := Plan{Seed: *firstSeed, Deadline: 2 * time.Second, DedupScope: "all", DedupWindow: time.Second, Servers: 4, Clients: 10, MaxDescriptors: 128, MemoryMB: usualMemoryMB, Pushed: true}
		underLoad, draining := base, base
		underLoad.Events = []Event{{At: 2 * time.Second, Kind: Suspend, Duration: stall}}
		underLoad.TerminateAt = 4*time.Second + stall
		draining.TerminateAt, draining.SuspendAfterTerminate = 2*time.Second, stall
		for name, plan := range map[string]Plan{"under load": underLoad, "draining": draining} {
			t.Run(fmt.Sprintf("%s for %v", name, stall), func(t *testing.T) {
				t.Parallel()
				report := checkPlan(t, plan, path)
				if report.Served < minWindowRequests || report.CPUTime > 2*time.Second {
					t.Errorf("%s: want at least %d served and at most 2 s of CPU time", &report, minWindowRequests)
				}
			})
		}
	}
}

// checkPlan runs a plan, repeatedly if the runs are void, and fails the test if the report has findings.
func checkPlan(t *testing.T, plan Plan, path string) Report {
	t.Helper()
	for attempt := 1; ; attempt++ {
		report, err := Run(plan, path, t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report.String())
		if report.Void() && attempt < maxVoidRuns {
			continue
		}
		if report.Void() {
			t.Fatalf("%d void runs: the machine stalled for too long in each", attempt)
		}
		if len(report.Findings) > 0 {
			t.Errorf("%s\n%s", report.Details(), logTail(report.Log))
		}
		return report
	}
}

// logTail returns the end of a log.
func logTail(log string) string {
	const length = 2000
	return log[max(0, len(log)-length):]
}
