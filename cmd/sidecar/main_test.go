package main

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runMain is the environment variable that has the test program run main instead of its tests.
const runMain = "SIDECAR_TEST_RUN_MAIN"

// TestMain lets the test program stand in for the sidecar's.
func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// sidecarCommand is the sidecar's program with a configuration, not started yet.
func sidecarCommand(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runMain+"=1", "EDGE_CONFIG="+path)
	return cmd
}

// validConfig has it listen on a port of the system's choice, with a discovery that can't be reached.
const validConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"memory_mb":192,"sockets":1024},
	"settings":{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`

// A configuration that can't be used ends the program with one log line, which names the field.
func TestUnusableConfigEndsInOneLine(t *testing.T) {
	var log bytes.Buffer
	cmd := sidecarCommand(t, strings.Replace(validConfig, "30000", "0", 1))
	cmd.Stderr = &log
	err := cmd.Run()
	if err == nil || !strings.Contains(log.String(), "caps.conn_idle_ms") || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("error %v, log %q, want one line that names the field", err, &log)
	}
}

// logLines reads the log of a program line by line. A program that hangs is killed, which ends the log.
type logLines struct {
	*bufio.Scanner
	killer *time.Timer
}

// startWithLog starts a program and returns its log.
func startWithLog(t *testing.T, cmd *exec.Cmd) *logLines {
	t.Helper()
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := &logLines{Scanner: bufio.NewScanner(log)}
	lines.killer = time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() })
	t.Cleanup(func() {
		lines.killer.Stop()
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
	})
	return lines
}

// skipTo reads up to a line that matches, and returns its match and groups, or nil if the log ends before.
func (l *logLines) skipTo(pattern string) []string {
	expression := regexp.MustCompile(pattern)
	for l.Scan() {
		if match := expression.FindStringSubmatch(l.Text()); match != nil {
			return match
		}
	}
	return nil
}

// SIGHUP ends a Go program that does not handle it. The sidecar goes on: it reads its configuration again. It serves
// with discovery out of reach, and SIGTERM ends it with exit code 0.
func TestServesUntilSIGTERM(t *testing.T) {
	cmd := sidecarCommand(t, validConfig)
	lines := startWithLog(t, cmd)
	listening := lines.skipTo(`listen=(\S+)`)
	if listening == nil {
		t.Fatal("it ended before it listened")
	}
	for range 3 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	lines.skipTo("read again")
	res, err := http.Get("http://" + listening[1] + "/up")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("GET /up: %v, error %v", res, err)
	} else {
		res.Body.Close()
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = cmd.Process.Signal(syscall.SIGHUP) // no harm while it ends, nor after
	for lines.Scan() {                     // until it ends
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
