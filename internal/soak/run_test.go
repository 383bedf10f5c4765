package soak

import (
	"os/exec"
	"testing"
	"time"
)

// The process is resumed later than planned, as on a busy machine. The time for which it really was suspended
// must be added to the time limits of the checks: with the planned time a delay of the test counted as one of
// the sidecar.
func TestSuspensionCountsAsMeasured(t *testing.T) {
	const planned, late = 20 * time.Millisecond, 50 * time.Millisecond
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	r := &run{cmd: cmd, journal: new(journal), sleep: func(d time.Duration) { time.Sleep(d + late) }}
	r.suspend(planned)
	if r.journal.suspended < planned+late {
		t.Errorf("recorded a suspension of %v, want at least %v", r.journal.suspended, planned+late)
	}
}
