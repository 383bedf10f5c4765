package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// The interval between two samples.
	sampleInterval = 50 * time.Millisecond
	// How long after a fault a low served fraction is excused: the sidecar first has to read the endpoint
	// list again and to readmit ejected servers.
	recoveryGrace = 2500 * time.Millisecond
)

// sampleUntilExit samples the process and the state of the stand-ins until the process exits.
func (r *run) sampleUntilExit() {
	impairedUntil := time.Time{}
	for {
		select {
		case <-r.exited:
			return
		case <-time.After(sampleInterval):
		}
		r.sampleUsage()
		now := time.Now()
		if !r.halfServersHealthy(now) || r.currentDiscovery().reachableSince().IsZero() {
			impairedUntil = now.Add(recoveryGrace)
		}
		if now.Before(impairedUntil) {
			r.journal.update(func() {
				r.journal.impaired = append(r.journal.impaired, interval{now.Add(-sampleInterval), now})
			})
		}
	}
}

// sampleUsage records how many descriptors and how much memory the process holds, if that is a new maximum.
func (r *run) sampleUsage() {
	procDir := fmt.Sprintf("/proc/%d/", r.cmd.Process.Pid)
	descriptors, err := os.ReadDir(procDir + "fd")
	if err != nil {
		return // the process has exited
	}
	status, err := os.ReadFile(procDir + "status")
	if err != nil {
		return
	}
	memory := 0
	for line := range bytes.Lines(status) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "VmRSS:" {
			memory, _ = strconv.Atoi(string(fields[1])) // the kernel writes a number
		}
	}
	r.journal.update(func() {
		r.journal.peakUsage.descriptors = max(r.journal.peakUsage.descriptors, len(descriptors))
		r.journal.peakUsage.memoryKB = max(r.journal.peakUsage.memoryKB, memory)
	})
}

// halfServersHealthy reports whether at least half of the servers answer requests and are not in slow start.
func (r *run) halfServersHealthy(now time.Time) bool {
	slowStarting := make(map[int]bool)
	r.journal.update(func() {
		for _, start := range r.journal.slowStarts {
			slowStarting[start.server] = r.plan.SlowStart && now.Sub(start.at) < slowStartDuration
		}
	})
	healthy := 0
	for _, s := range r.endpointList.ready() {
		switch s.currentMode() {
		case Healthy, DuplicateResponse, CloseIdle, NoLength, LongResponse:
			if !slowStarting[s.index] {
				healthy++
			}
		}
	}
	return 2*healthy >= len(r.servers)
}
