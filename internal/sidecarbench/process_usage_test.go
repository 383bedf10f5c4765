package sidecarbench

import (
	"io"
	"os/exec"
	"testing"
	"time"
)

// startBusyProcess starts a process that uses CPU time, then writes a byte to its standard output, and ends
// when its standard input is closed.
func startBusyProcess(t *testing.T) (cmd *exec.Cmd, stdin io.Closer, stdout io.Reader) {
	t.Helper()
	cmd = exec.Command("bash", "-c", "i=0; while ((i<20000)); do ((i+=1)); done; echo; read -r")
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err = cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, stdin, stdout
}

// Guards against a wrong reading of the CPU-time clock of another process: the CPU time must grow while the
// process works and must not exceed the final rusage, and reading it after the end of the process must fail.
func TestProcessUsage(t *testing.T) {
	cmd, stdin, stdout := startBusyProcess(t)
	before, err := cpuTime(cmd.Process.Pid)
	if err != nil {
		t.Error(err)
	}
	if _, err := stdout.Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
	after, err := cpuTime(cmd.Process.Pid)
	if err != nil || after <= before {
		t.Errorf("cpuTime = %v before the work, %v after it, error = %v, want an increase", before, after, err)
	}
	if m, err := readMemory(cmd.Process.Pid); err != nil || m.Resident <= 0 || m.Peak < m.Resident {
		t.Errorf("readMemory = %+v, error = %v, want Resident > 0 and Peak >= Resident", m, err)
	}
	if err := stdin.Close(); err != nil {
		t.Error(err)
	}
	_ = cmd.Wait() // an error, as the read at the end of its input fails
	if total := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime(); total < after-time.Microsecond {
		t.Errorf("CPU time by rusage = %v, want at least the earlier cpuTime of %v", total, after)
	}
	if _, err := cpuTime(cmd.Process.Pid); err == nil {
		t.Error("cpuTime of a process that has ended: error = nil, want an error")
	}
}
