package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// memorySampleInterval is the time between two samples of the sidecar's memory.
const memorySampleInterval = 10 * time.Millisecond

// memoryWatch is what the platform does about memory: it kills the sidecar once that is over its limit.
type memoryWatch struct {
	peakKB int           // highest sample
	killed bool          // the sidecar was over its limit
	stop   chan struct{} // closed to end the watch
	ended  chan struct{} // closed when the watch has ended
}

// watchMemory starts to sample the sidecar's memory.
func watchMemory(e *environment, limitMB int) *memoryWatch {
	w := &memoryWatch{stop: make(chan struct{}), ended: make(chan struct{})}
	go w.run(e, limitMB)
	return w
}

func (w *memoryWatch) run(e *environment, limitMB int) {
	defer close(w.ended)
	pid := e.sidecar.Process.Pid
	for recordAt := time.Now(); ; time.Sleep(memorySampleInterval) {
		select {
		case <-w.stop:
			return
		case <-e.exited:
			return
		default:
		}
		now := anonymousMemoryKB(pid)
		w.peakKB = max(w.peakKB, now)
		if time.Now().After(recordAt) {
			e.record.printf("memory of the sidecar: %d KB", now)
			recordAt = recordAt.Add(time.Second)
		}
		if now > limitMB<<10 {
			e.record.printf("RULE BROKEN: memory of the sidecar is %d KB, over its limit of %d MB; the platform kills it", now, limitMB)
			w.killed = true
			_ = e.sidecar.Process.Kill() // fails only if the process has exited
			return
		}
	}
}

// end ends the watch and waits for it.
func (w *memoryWatch) end() {
	close(w.stop)
	<-w.ended
}

// anonymousMemoryKB returns the resident anonymous memory of a process, in KB, or 0 if there is no such process.
// It leaves out the pages of the program file and of libraries, so it is the lowest figure for the memory that
// the process uses.
func anonymousMemoryKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB"))) // 0 if malformed
			return kb
		}
	}
	return 0
}
