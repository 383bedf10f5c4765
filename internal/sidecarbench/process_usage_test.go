package sidecarbench

import (
	"io"
	"os/exec"
	"testing"
	"time"
)

// startLoop starts a process that uses processor time, then writes a byte to its output, and ends with its input.
func startLoop(t *testing.T) (cmd *exec.Cmd, stdin io.Closer, stdout io.Reader) {
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

// The processor time of another process grows while it works, and cannot be read any more when it has ended.
func TestProcessUsage(t *testing.T) {
	cmd, stdin, stdout := startLoop(t)
	before, err := cpuTime(cmd.Process.Pid)
	if err != nil {
		t.Error(err)
	}
	if _, err := stdout.Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
	after, err := cpuTime(cmd.Process.Pid)
	if err != nil || after <= before {
		t.Errorf("%v, then %v: %v", before, after, err)
	}
	if m, err := readMemory(cmd.Process.Pid); err != nil || m.Resident <= 0 || m.Peak < m.Resident {
		t.Errorf("%+v: %v", m, err)
	}
	if err := stdin.Close(); err != nil {
		t.Error(err)
	}
	_ = cmd.Wait() // the read at the end of its input fails
	if total := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime(); total < after-time.Microsecond {
		t.Errorf("rusage has %v in total, the clock had %v before", total, after)
	}
	if _, err := cpuTime(cmd.Process.Pid); err == nil {
		t.Error("a process that has ended has a clock")
	}
}
