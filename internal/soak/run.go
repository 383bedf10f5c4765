package soak

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// The sidecar must report that it is ready within startTimeout, or the run fails with an error.
	startTimeout = 30 * time.Second
	// The time after the sidecar's exit in which clients read responses that are still on the way.
	clientReadGrace = 200 * time.Millisecond
	// The first discovery's endpoint list starts at this version.
	firstBaseVersion = 40
	// The second discovery's endpoint list starts at this version: the versions of the two are unrelated.
	secondBaseVersion = 3
	// How long before SIGTERM the servers begin to hang, in plans with AllServersHang.
	allHangLeadTime = 100 * time.Millisecond
)

// run is the state of one run in progress.
type run struct {
	plan                Plan
	journal             *journal
	servers             []*server // stand-ins for the servers
	endpointList        *endpointList
	discovery           [2]*discovery // two stand-ins for discovery, both with the list in endpointList
	configuredDiscovery atomic.Int32  // index of the discovery that the latest configuration names
	configPath          string
	address             string // where the sidecar listens for clients
	cmd                 *exec.Cmd
	log                 bytes.Buffer  // standard error of the sidecar, which holds its log
	exited              chan struct{} // closed when the process has exited
	clientsDone         chan struct{} // closed to stop the clients
	eventEnds           []eventEnd    // pending ends of events that last for a time
	delays              delayMeter    // of the events
	sleep               func(time.Duration)
}

// Run executes a plan with the sidecar at the path program and returns the report. It writes the sidecar's
// configuration file into dir.
func Run(plan Plan, program, dir string) (Report, error) {
	r := &run{plan: plan, journal: new(journal), exited: make(chan struct{}), clientsDone: make(chan struct{}), sleep: time.Sleep}
	defer r.close()
	if err := r.start(program, dir); err != nil {
		return Report{}, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	stalls := startStallMeter()
	r.execute()
	return newReport(&r.plan, r.journal, stalls.stop(), r.delays.max), nil
}

// start starts the stand-ins and the sidecar, and returns once the sidecar is ready.
func (r *run) start(program, dir string) error {
	for n := range r.plan.Servers {
		s, err := newServer(n, r.journal)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	r.endpointList = newEndpointList(r.servers, r.journal)
	for n, version := range []int{firstBaseVersion, secondBaseVersion} {
		var err error
		if r.discovery[n], err = newDiscovery(n, version, r.endpointList); err != nil {
			return err
		}
	}
	var err error
	if r.address, err = sidecarAddresses.allocate(pickAddress); err != nil {
		return err
	}
	r.configPath = filepath.Join(dir, fmt.Sprintf("soak-%d.json", r.plan.Seed))
	if err := r.writeConfigFor(0); err != nil {
		return err
	}
	r.cmd = exec.Command(program)
	r.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+r.configPath)
	r.cmd.Stderr = &r.log
	r.journal.startedAt = time.Now()
	if err := r.cmd.Start(); err != nil {
		return err
	}
	go r.awaitExit()
	return r.awaitReady()
}

// writeConfigFor writes a configuration file that names the discovery with the given index.
func (r *run) writeConfigFor(discovery int) error {
	return r.plan.writeConfig(r.configPath, r.address, r.discovery[discovery].address())
}

// awaitExit waits for the process to exit and records its status and CPU time.
func (r *run) awaitExit() {
	err := r.cmd.Wait()
	r.journal.update(func() {
		r.journal.exitedAt, r.journal.exitError = time.Now(), err
		r.journal.cpuTime = r.cmd.ProcessState.UserTime() + r.cmd.ProcessState.SystemTime()
	})
	close(r.exited)
}

// awaitReady waits until the process reports that it is ready.
func (r *run) awaitReady() error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for time.Since(r.journal.startedAt) < startTimeout {
		if response, err := client.Get("http://" + r.address + "/up"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.journal.readyAt = time.Now()
				return nil
			}
		}
		select {
		case <-r.exited:
			return fmt.Errorf("sidecar exited before it was ready: %s", r.log.String())
		case <-time.After(tickInterval):
		}
	}
	return errors.New("sidecar was not ready within the start timeout")
}

// execute runs the clients and the events, then terminates the process.
func (r *run) execute() {
	c := &clients{plan: &r.plan, address: r.address, journal: r.journal, done: r.clientsDone}
	for n := range r.plan.Clients {
		go c.run(n)
	}
	go c.runStalledClient()
	if r.plan.IdleFlood {
		c.startIdleFlood()
	}
	sampled := make(chan struct{})
	go func() { r.sampleUntilExit(); close(sampled) }()
	r.runEvents()
	r.terminate()
	close(r.clientsDone)
	<-r.exited
	<-sampled
	time.Sleep(clientReadGrace)
	r.recordNotifyDeadlines(time.Now())
	r.journal.update(func() { r.journal.log = r.log.String() })
}

// terminate sends SIGTERM, with other signals before and after it as planned, and SIGKILL at the earliest
// moment at which the platform may send it. Clients continue to send requests until the process ends.
func (r *run) terminate() {
	if r.plan.AllServersHang {
		for _, s := range r.servers {
			s.setMode(Hang)
		}
		r.wait(allHangLeadTime)
	}
	if r.plan.TerminateTwice {
		r.signal(syscall.SIGHUP)
	}
	terminatedAt := time.Now()
	r.journal.update(func() { r.journal.terminatedAt = terminatedAt })
	r.signal(syscall.SIGTERM)
	var suspended time.Duration
	if r.plan.SuspendAfterTerminate > 0 {
		suspended = r.suspend(r.plan.SuspendAfterTerminate)
	}
	kill := time.After(time.Until(terminatedAt.Add(r.plan.minKillDelay() + suspended)))
	if r.plan.TerminateTwice {
		r.wait(signalDelay)
		r.signal(syscall.SIGHUP)
		r.signal(syscall.SIGTERM)
	}
	select {
	case <-kill:
		r.journal.update(func() { r.journal.killedAt = time.Now() })
		_ = r.cmd.Process.Kill() // fails if the process has just exited
	case <-r.exited:
	}
}

// close kills the process if it still runs, and closes the stand-ins.
func (r *run) close() {
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Kill() // fails if the process has exited
		<-r.exited
	}
	for _, s := range r.servers {
		s.listener.Close()
	}
	for _, d := range r.discovery {
		if d != nil {
			d.server.Close()
		}
	}
}
