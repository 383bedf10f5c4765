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
	firstSeed = flag.Uint64("soak.first", 1, "seed of the first run")
	runs      = flag.Int("soak.runs", 6, "number of runs, of consecutive seeds")
	parallel  = flag.Int("soak.parallel", 3, "runs at the same time")
	longStall = flag.Bool("soak.longstall", false, "hold the sidecar up for 40 s too")
	program   = flag.String("soak.program", "", "the sidecar's program; empty: it is built")
)

// voidTries is how often a run is played that is void.
const voidTries = 3

// buildProgram builds the sidecar's program as the deploy file says.
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
		t.Fatal("the deploy file names no build")
	}
	cmd := exec.Command("bash", "-c", string(build[1])+` "$0" ./cmd/sidecar`, path)
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// The sidecar's program between stand-ins, under random faults: nothing that it owes may be missing, whatever comes
// together. Each seed is a run of some ten seconds; docs/RESULTS.md has the tables of many.
func TestSoak(t *testing.T) {
	path := buildProgram(t)
	slots := make(chan struct{}, *parallel)
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs); seed++ {
		plan := NewPlan(seed)
		t.Run(regexp.MustCompile(`seed \d+`).FindString(plan.String()), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			checkPlan(t, plan, path)
		})
	}
}

// A machine that stands still holds the sidecar up, under load or while it drains. It must go on from there: answer what it
// has taken, serve new requests, and end with status 0; and it must not spin.
func TestSidecarGoesOnAfterAStall(t *testing.T) {
	path := buildProgram(t)
	stalls := []time.Duration{150 * time.Millisecond, 3 * time.Second}
	if *longStall {
		stalls = append(stalls, 40*time.Second)
	}
	for _, stall := range stalls {
		base := Plan{Seed: *firstSeed, Deadline: 2 * time.Second, Scope: "all", Window: time.Second, Servers: 4, Clients: 10, Sockets: 128, Pushed: true}
		underLoad, draining := base, base
		underLoad.Events = []Event{{At: 2 * time.Second, Kind: Suspend, For: stall}}
		underLoad.StopAt = 4*time.Second + stall
		draining.StopAt, draining.SuspendStopping = 2*time.Second, stall
		for name, plan := range map[string]Plan{"under load": underLoad, "draining": draining} {
			t.Run(fmt.Sprintf("%s for %v", name, stall), func(t *testing.T) {
				t.Parallel()
				report := checkPlan(t, plan, path)
				if report.Served < minWindowRequests || report.CPUTime > 2*time.Second {
					t.Errorf("%s: want at least %d served, in less than 2 s of processor time", &report, minWindowRequests)
				}
			})
		}
	}
}

// checkPlan plays a plan, again while it is void, and reports what was found.
func checkPlan(t *testing.T, plan Plan, path string) Report {
	t.Helper()
	for try := 1; ; try++ {
		report, err := Run(plan, path, t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report.String())
		if report.Void() && try < voidTries {
			continue
		}
		if report.Void() {
			t.Fatalf("void %d times: the machine stood still for too long", try)
		}
		if len(report.Findings) > 0 {
			t.Errorf("%s\n%s", report.Details(), logTail(report.Log))
		}
		return report
	}
}

// logTail is the end of a log.
func logTail(log string) string {
	const length = 2000
	return log[max(0, len(log)-length):]
}
