// Harness2 runs the cases of the second independent review. Each case starts the project's sidecar as a process
// of its own, with the command of the deploy file, between stand-ins for its clients, the map servers and
// discovery, and checks one rule from outside.
//
// Usage: review-2 CASE FOLDER. The working directory is the root of the repository. The case writes record.txt
// into its folder. The environment variable TROUBLE=0 leaves the case's disruption out. The exit status is 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit is how long a case may run.
const runLimit = 115 * time.Second

// recordFile is the name of the file in the case's folder that holds what was sent, answered and run.
const recordFile = "record.txt"

// reviewCase is one case: it runs its schedule on a testbed and reports each violation of its rule. An error
// means that the case could not run.
type reviewCase func(t *testbed) error

// cases holds the cases by name.
var cases = map[string]reviewCase{
	"stalled-crowd":  stalledCrowd,
	"borrowed-id":    borrowedID,
	"pipeline-clock": pipelineClock,
	"pipeline-size":  pipelineSize,
	"slow-discovery": slowDiscovery,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and returns the exit status.
func runCase(run reviewCase, folder string) int {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	t := &testbed{
		record:  &record{start: time.Now()},
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	go t.abortOnSignalOrTimeout()
	err = run(t)
	t.close()
	if writeErr := t.record.writeTo(filepath.Join(folder, recordFile)); err == nil {
		err = writeErr
	}
	violations := t.record.violations()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case len(violations) > 0:
		fmt.Printf("the rule was broken %d times; the first: %s\n", len(violations), violations[0])
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// abortOnSignalOrTimeout ends the sidecar and this process when the case is told to end or takes too long.
func (t *testbed) abortOnSignalOrTimeout() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(runLimit):
	}
	fmt.Fprintln(os.Stderr, "the case was aborted")
	if process := t.process.Load(); process != nil {
		_ = process.Kill() // fails if the process has ended
	}
	os.RemoveAll(t.dir)
	os.Exit(exitNotRun)
}
