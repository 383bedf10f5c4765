package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, with the time since the start of the case. Its methods may
// be called from any goroutine.
type record struct {
	start time.Time

	mu     sync.Mutex
	lines  []string
	broken []string
}

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(fmt.Sprintf(format, args...))
}

// violation adds a line for a violation of the case's rule.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.addLocked("BROKEN " + text)
	r.broken = append(r.broken, text)
}

func (r *record) addLocked(text string) {
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  %s", time.Since(r.start).Seconds(), text))
}

// violations returns the violations so far.
func (r *record) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// writeTo writes all lines to a file.
func (r *record) writeTo(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
