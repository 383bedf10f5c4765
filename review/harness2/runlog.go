package main

import "sync"

// runLog collects the attempts that map servers have run.
type runLog struct {
	mu       sync.Mutex
	attempts []attempt
}

// countRuns makes the map servers log their attempts.
func (t *testbed) countRuns() *runLog {
	runs := new(runLog)
	for _, s := range t.servers {
		s.observe = runs.add
	}
	return runs
}

func (l *runLog) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// of returns how often a request has run.
func (l *runLog) of(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, a := range l.attempts {
		if a.id == id {
			count++
		}
	}
	return count
}
