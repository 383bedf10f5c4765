package soak

import (
	"fmt"
	"strings"
	"time"
)

// Finding is a violation of one of the sidecar's guarantees.
type Finding struct {
	Check string        // the name of the check
	At    time.Duration // counted from the moment the sidecar was ready
	Text  string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s at %d ms: %s", f.Check, f.At.Milliseconds(), f.Text)
}

// Report is the result of a run.
type Report struct {
	Plan         Plan
	Findings     []Finding
	Requests     int
	Served       int
	Attempts     int
	LongestStall time.Duration // longest time for which the machine stalled
	LongestDelay time.Duration // the greatest delay with which an event began
	CPUTime      time.Duration // used by the sidecar
	PeakUsage    string        // maximum number of descriptors and maximum memory of the sidecar
	Log          string        // of the sidecar
}

// Void reports whether the machine stalled for so long, or held the events up for so long, that the run proves
// nothing.
func (r *Report) Void() bool { return max(r.LongestStall, r.LongestDelay) > drainGrace }

// String summarizes the run in one line.
func (r *Report) String() string {
	verdict := "passed"
	switch {
	case r.Void():
		verdict = "VOID"
	case len(r.Findings) > 0:
		verdict = fmt.Sprintf("%d FINDINGS", len(r.Findings))
	}
	return fmt.Sprintf("seed %d: %s; %d requests, %d served, %d attempts, longest stall %d ms, events up to %d ms late, %d ms of CPU time, %s",
		r.Plan.Seed, verdict, r.Requests, r.Served, r.Attempts, r.LongestStall.Milliseconds(), r.LongestDelay.Milliseconds(), r.CPUTime.Milliseconds(), r.PeakUsage)
}

// Details returns the schedule and the findings.
func (r *Report) Details() string {
	var text strings.Builder
	text.WriteString(r.Plan.String())
	for _, f := range r.Findings {
		fmt.Fprintln(&text, f)
	}
	return text.String()
}

// newReport checks a journal. Goroutines of the clients and servers may still run, so it locks the journal.
func newReport(plan *Plan, j *journal, stall, delay time.Duration) Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := checker{plan: plan, journal: j, tolerance: timingTolerance + stall + j.suspended}
	c.checkAll()
	report := Report{
		Plan: *plan, Findings: c.findings, Requests: len(j.requests), Attempts: len(j.attempts), LongestStall: stall, LongestDelay: delay, Log: j.log,
		CPUTime:   j.cpuTime,
		PeakUsage: fmt.Sprintf("%d descriptors, %d MB", j.peakUsage.descriptors, j.peakUsage.memoryKB>>10),
	}
	for _, r := range j.requests {
		if r.status == 200 {
			report.Served++
		}
	}
	return report
}
