package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	deployFile   = "deploy/balancer.toml"
	readyTimeout = 10 * time.Second
	exitTimeout  = 20 * time.Second // after SIGTERM; then the sidecar is killed
)

var errNotReady = errors.New("the sidecar is not ready in time")

// environment is the sidecar of a case and what surrounds it.
type environment struct {
	record  *record
	trouble bool // whether the disruption takes place

	folder  string // temporary folder with the configuration file
	address string // where the sidecar listens
	sidecar *exec.Cmd
	exited  chan struct{} // closed when the sidecar has exited
	log     bytes.Buffer  // of the sidecar; read only once exited is closed
}

// startSidecar writes a configuration file and starts the sidecar with the command of the deploy file.
func (e *environment) startSidecar(discovery string, s siteSettings) error {
	command, err := deployCommand("run")
	if err != nil {
		return err
	}
	if e.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	if e.address, err = freeAddress(); err != nil {
		return err
	}
	path := filepath.Join(e.folder, "config.json")
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": e.address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.memoryMB, "sockets": s.descriptors},
		"settings": s.object(),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	e.sidecar = exec.Command("/bin/sh", "-c", command)
	e.sidecar.Env = append(os.Environ(), "EDGE_CONFIG="+path)
	e.sidecar.Stderr = &e.log
	e.exited = make(chan struct{})
	if err := e.sidecar.Start(); err != nil {
		e.sidecar = nil
		return err
	}
	go func() {
		_ = e.sidecar.Wait() // the state of the process is in sidecar.ProcessState
		close(e.exited)
	}()
	return e.awaitReady()
}

// deployCommand returns the command that a key of the deploy file names.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, key+" = \""); ok {
			return strings.TrimSuffix(strings.TrimSpace(value), "\""), nil
		}
	}
	return "", fmt.Errorf("%s has no key %q", deployFile, key)
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.60.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// awaitReady waits until the readiness check of the sidecar is answered with 200.
func (e *environment) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + e.address + "/up")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			e.record.printf("sidecar is ready at %s", e.address)
			http.DefaultClient.CloseIdleConnections()
			return nil
		}
	}
	return errNotReady
}

// hasExited reports whether the sidecar has exited.
func (e *environment) hasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// kill kills the sidecar, if it has been started.
func (e *environment) kill() {
	if e.sidecar != nil {
		_ = e.sidecar.Process.Kill() // fails only if the process has exited
	}
}

// stop ends the sidecar, adds its log to the record and removes the temporary folder.
func (e *environment) stop() {
	if e.sidecar != nil {
		_ = e.sidecar.Process.Signal(syscall.SIGTERM) // fails only if the process has exited
		select {
		case <-e.exited:
		case <-time.After(exitTimeout):
			e.kill()
			<-e.exited
		}
		for line := range strings.SplitSeq(strings.TrimSpace(e.log.String()), "\n") {
			e.record.printf("sidecar log: %s", line)
		}
	}
	if e.folder != "" {
		os.RemoveAll(e.folder)
	}
}
