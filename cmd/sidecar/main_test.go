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

// runMain is the environment variable that makes the test binary run main instead of its tests.
const runMain = "SIDECAR_TEST_RUN_MAIN"

// TestMain allows tests to start the test binary as the sidecar.
func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// sidecarCommand returns the command that runs the sidecar with a configuration. The caller starts it.
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

// validConfig makes the sidecar listen on a port that the system chooses. Its discovery is unreachable.
const validConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"memory_mb":192,"sockets":1024},
	"settings":{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`

// The sidecar exits with an error if its configuration is invalid, and logs a single line that names the
// field.
func TestInvalidConfigIsLoggedInOneLine(t *testing.T) {
	var log bytes.Buffer
	cmd := sidecarCommand(t, strings.Replace(validConfig, "30000", "0", 1))
	cmd.Stderr = &log
	err := cmd.Run()
	if err == nil || !strings.Contains(log.String(), "caps.conn_idle_ms") || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("error = %v, log = %q, want an error and one line that names caps.conn_idle_ms", err, &log)
	}
}

// logLines reads the log of a program line by line. killTimer kills a program that hangs, which ends the log.
type logLines struct {
	*bufio.Scanner
	killTimer *time.Timer
}

// startWithLog starts a program and returns its log. The program is killed at the end of the test.
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
	lines.killTimer = time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() })
	t.Cleanup(func() {
		lines.killTimer.Stop()
		_ = cmd.Process.Kill() // fails if it has already exited
		_ = cmd.Wait()
	})
	return lines
}

// skipTo reads lines until one matches the pattern. It returns the match and its groups, or nil if the log
// ends first.
func (l *logLines) skipTo(pattern string) []string {
	expression := regexp.MustCompile(pattern)
	for l.Scan() {
		if match := expression.FindStringSubmatch(l.Text()); match != nil {
			return match
		}
	}
	return nil
}

// Guards against termination by SIGHUP, the default in a Go program that does not handle the signal. SIGHUP
// must only make the sidecar reload its configuration, even several times and while discovery is unreachable.
// The sidecar must keep serving until SIGTERM, and then exit with code 0.
func TestServesUntilSIGTERM(t *testing.T) {
	cmd := sidecarCommand(t, validConfig)
	lines := startWithLog(t, cmd)
	listening := lines.skipTo(`listen=(\S+)`)
	if listening == nil {
		t.Fatal("sidecar exited before it logged its listen address")
	}
	for range 3 {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	lines.skipTo("reloaded configuration")
	res, err := http.Get("http://" + listening[1] + "/up")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("GET /up = %v, error %v, want status 200", res, err)
	} else {
		res.Body.Close()
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// A SIGHUP during the shutdown must not change the exit code. Signal fails if the program has exited.
	_ = cmd.Process.Signal(syscall.SIGHUP)
	for lines.Scan() { // until the program exits
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("sidecar exited with %v, want exit code 0", err)
	}
}
