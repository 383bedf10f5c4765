// Standin runs one case of the review: it starts the sidecar with the command of the deploy file and plays the
// clients, the servers and discovery around it. It writes record.txt and exits with 0 if the rule held, with 1
// if it was broken and with 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// runLimit is how long a case may run.
const runLimit = 115 * time.Second

// errTooFewAnswers means that a run was too small to show anything.
var errTooFewAnswers = errors.New("too few requests were answered")

// caseFunc plays a case. It returns the number of violations of the rule, or an error if the case couldn't run.
type caseFunc func(e *environment) (violations int, err error)

// cases holds the cases by name.
var cases = map[string]caseFunc{
	"endless-head":       runEndlessHead,
	"late-second-answer": runLateSecondAnswer,
	"no-length":          runNoLength,
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", "", "folder of the case, where record.txt is written")
	flag.Parse()
	os.Exit(run(*name, *folder))
}

// run plays a case and returns its exit code.
func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitCannotRun
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.close()
	e := &environment{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.printf("case %s, disruption: %t", name, e.trouble)
	time.AfterFunc(runLimit, func() {
		e.kill()
		record.summary("the case couldn't run: not done after %v", runLimit)
		record.close()
		os.Exit(exitCannotRun)
	})
	violations, err := play(e)
	e.stop()
	switch {
	case err != nil:
		record.summary("the case couldn't run: %v", err)
		return exitCannotRun
	case violations > 0:
		record.summary("rule broken: %d violations", violations)
		return exitBroken
	}
	record.summary("rule held")
	return exitHeld
}
