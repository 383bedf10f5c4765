package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// startTimeout is how long a sidecar may take until it is ready.
	startTimeout = 30 * time.Second
	// readyPollInterval is the time between two readiness checks.
	readyPollInterval = 20 * time.Millisecond
	// deployFile holds the command that starts the sidecar.
	deployFile = "deploy/balancer.toml"
)

// runCommand matches the command that starts the sidecar in the deploy file.
var runCommand = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// testbed holds the stand-ins and the sidecar of one case.
type testbed struct {
	record  *record
	dir     string // temporary folder
	trouble bool   // whether the case's disruption takes place

	servers   []*mapServer
	discovery *discovery
	address   string // where the sidecar listens for clients
	sidecar   *exec.Cmd
	log       bytes.Buffer               // standard error of the sidecar
	process   atomic.Pointer[os.Process] // of the sidecar; nil before its start
	exited    chan struct{}
}

// startSidecar starts the sidecar with the command of the deploy file and waits until it is ready.
func (t *testbed) startSidecar(config sidecarConfig) error {
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		return err
	}
	command := runCommand.FindSubmatch(deploy)
	if command == nil {
		return errors.New("the deploy file has no command run")
	}
	if t.address, err = freeAddress(); err != nil {
		return err
	}
	path := filepath.Join(t.dir, "config.json")
	if err := config.write(path, t); err != nil {
		return err
	}
	t.sidecar = exec.Command("/bin/sh", "-c", string(command[1]))
	t.sidecar.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME=n1", "EDGE_LISTEN="+t.address,
		"EDGE_DISCOVERY="+t.discovery.address())
	t.sidecar.Stderr = &t.log
	if err := t.sidecar.Start(); err != nil {
		return err
	}
	t.process.Store(t.sidecar.Process)
	t.exited = make(chan struct{})
	go func() {
		_ = t.sidecar.Wait() // the exit status is read from ProcessState
		close(t.exited)
	}()
	return t.awaitReady()
}

// awaitReady waits until the sidecar reports that it is ready.
func (t *testbed) awaitReady() error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(readyPollInterval) {
		if response, err := client.Get("http://" + t.address + "/up"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				t.record.add("sidecar is ready")
				return nil
			}
		}
		select {
		case <-t.exited:
			return fmt.Errorf("sidecar exited before it was ready: %s", t.log.String())
		default:
		}
	}
	return errors.New("sidecar was not ready in time")
}

// hasExited reports whether the sidecar's process has ended.
func (t *testbed) hasExited() bool {
	select {
	case <-t.exited:
		return true
	default:
		return false
	}
}

// close ends the sidecar and the stand-ins.
func (t *testbed) close() {
	if t.sidecar != nil && t.sidecar.Process != nil {
		if t.hasExited() {
			t.record.violation("sidecar crashed: %v", t.sidecar.ProcessState)
		}
		_ = t.sidecar.Process.Signal(syscall.SIGKILL) // fails if the process has ended
		<-t.exited
		for line := range strings.Lines(t.log.String()) {
			t.record.add("log: %s", strings.TrimSpace(line))
		}
	}
	for _, s := range t.servers {
		s.listener.Close()
	}
	if t.discovery != nil {
		t.discovery.listener.Close()
	}
}

// freeAddress returns a loopback address with a port that is free.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
