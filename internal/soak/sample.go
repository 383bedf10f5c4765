package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	sampleInterval = 50 * time.Millisecond
	// recoveryTime is how long a low share of requests served is excused after a fault: lists are read again, ejected
	// servers are tried again.
	recoveryTime = 2500 * time.Millisecond
)

// sample looks at the process and the stand-ins until the process ends.
func (r *run) sample() {
	impairedUntil := time.Time{}
	for {
		select {
		case <-r.exited:
			return
		case <-time.After(sampleInterval):
		}
		r.sampleProcess()
		now := time.Now()
		if !r.halfOfServersHealthy(now) || r.followedDiscovery().reachableSince().IsZero() {
			impairedUntil = now.Add(recoveryTime)
		}
		if now.Before(impairedUntil) {
			r.journal.update(func() {
				r.journal.impaired = append(r.journal.impaired, interval{now.Add(-sampleInterval), now})
			})
		}
	}
}

// sampleProcess enters how many descriptors and how much memory the process holds.
func (r *run) sampleProcess() {
	folder := fmt.Sprintf("/proc/%d/", r.cmd.Process.Pid)
	descriptors, err := os.ReadDir(folder + "fd")
	if err != nil {
		return // it has ended
	}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return
	}
	memory := 0
	for line := range bytes.Lines(status) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "VmRSS:" {
			memory, _ = strconv.Atoi(string(fields[1])) // a number
		}
	}
	r.journal.update(func() {
		r.journal.peak.descriptors = max(r.journal.peak.descriptors, len(descriptors))
		r.journal.peak.memoryKB = max(r.journal.peak.memoryKB, memory)
	})
}

// halfOfServersHealthy tells whether half of the servers at least can serve.
func (r *run) halfOfServersHealthy(now time.Time) bool {
	cold := make(map[int]bool)
	r.journal.update(func() {
		for _, start := range r.journal.slowStarts {
			cold[start.server] = r.plan.SlowStart && now.Sub(start.at) < slowStartDuration
		}
	})
	well := 0
	for _, s := range r.fleet.ready() {
		switch s.currentMode() {
		case Healthy, SecondAnswer, CloseIdle:
			if !cold[s.number] {
				well++
			}
		}
	}
	return 2*well >= len(r.servers)
}
