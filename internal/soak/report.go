package soak

import (
	"fmt"
	"strings"
	"time"
)

// Finding is something that the sidecar owed and did not do.
type Finding struct {
	Check string // the name of the check
	At    time.Duration
	Text  string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s at %d ms: %s", f.Check, f.At.Milliseconds(), f.Text)
}

// Report is what came of a run.
type Report struct {
	Plan     Plan
	Findings []Finding
	Requests int
	Served   int
	Attempts int
	Stall    time.Duration // the longest that the machine stood still
	CPUTime  time.Duration // that the process has used
	Peak     string        // descriptors and memory that the process held at most
	Log      string        // of the sidecar
}

// Void tells whether the machine stood still for so long that the run shows nothing.
func (r *Report) Void() bool { return r.Stall > drainGrace }

// String is one line on the run.
func (r *Report) String() string {
	verdict := "passed"
	switch {
	case r.Void():
		verdict = "VOID"
	case len(r.Findings) > 0:
		verdict = fmt.Sprintf("%d FINDINGS", len(r.Findings))
	}
	return fmt.Sprintf("seed %d: %s; %d requests, %d served, %d attempts, longest stall %d ms, %d ms of processor time, %s",
		r.Plan.Seed, verdict, r.Requests, r.Served, r.Attempts, r.Stall.Milliseconds(), r.CPUTime.Milliseconds(), r.Peak)
}

// Details are the schedule, the findings and the end of the log.
func (r *Report) Details() string {
	var text strings.Builder
	text.WriteString(r.Plan.String())
	for _, f := range r.Findings {
		fmt.Fprintln(&text, f)
	}
	return text.String()
}

// newReport checks a journal. The clients' and the servers' goroutines may still run.
func newReport(plan *Plan, j *journal, stall time.Duration) Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := checker{plan: plan, journal: j, slack: clockSlack + stall + j.suspended}
	c.run()
	report := Report{
		Plan: *plan, Findings: c.findings, Requests: len(j.requests), Attempts: len(j.attempts), Stall: stall, Log: j.log,
		CPUTime: j.cpuTime,
		Peak:    fmt.Sprintf("%d descriptors, %d MB", j.peak.descriptors, j.peak.memoryKB>>10),
	}
	for _, r := range j.requests {
		if r.status == 200 {
			report.Served++
		}
	}
	return report
}
