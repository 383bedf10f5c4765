package soak

import (
	"bytes"
	"errors"
	"fmt"
	"net"
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
	// The pause between consecutive signals.
	signalDelay = 30 * time.Millisecond
	// The time after the sidecar's exit in which clients read responses that are still on the way.
	clientReadGrace = 200 * time.Millisecond
	// The first discovery's endpoint list starts at this version.
	firstBaseVersion = 40
	// The second discovery's endpoint list starts at this version: the versions of the two are unrelated.
	secondBaseVersion = 3
	// How long before SIGTERM the servers begin to hang, in plans with AllServersHang.
	allHangLeadTime = 100 * time.Millisecond
	// How many bytes of the configuration file TruncatedConfig leaves.
	truncatedConfigBytes = 100
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

// eventEnd ends an event: action undoes the fault.
type eventEnd struct {
	at     time.Time
	action func()
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
	return newReport(&r.plan, r.journal, stalls.stop(), r.delays.longest), nil
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
	if r.address, err = freeAddress(); err != nil {
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

// freeAddress returns a loopback address with a port on which nothing listens. Its IP address is one that the
// system doesn't pick for other listeners or connections, so the port stays free until the sidecar binds it.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.50.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
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

// runEvents starts events and ends those that last for a time, until it is time for SIGTERM.
func (r *run) runEvents() {
	events := r.plan.Events
	terminateAt := r.journal.readyAt.Add(r.plan.TerminateAt)
	for {
		next, action := terminateAt, func() {}
		last := true
		if len(events) > 0 && r.journal.readyAt.Add(events[0].At).Before(next) {
			e := events[0]
			next, action, last = r.journal.readyAt.Add(e.At), func() { r.startEvent(e); events = events[1:] }, false
		}
		for i, end := range r.eventEnds {
			if end.at.Before(next) {
				next, action, last = end.at, func() { r.eventEnds = append(r.eventEnds[:i:i], r.eventEnds[i+1:]...); end.action() }, false
			}
		}
		r.sleep(time.Until(next))
		r.delays.begin(next, time.Now())
		if last {
			return
		}
		action()
	}
}

// currentDiscovery returns the discovery that the latest configuration names.
func (r *run) currentDiscovery() *discovery { return r.discovery[r.configuredDiscovery.Load()] }

// scheduleEnd schedules the end of an event: action is called after a delay.
func (r *run) scheduleEnd(delay time.Duration, action func()) {
	r.eventEnds = append(r.eventEnds, eventEnd{time.Now().Add(delay), action})
}

// startEvent injects the fault of an event and schedules its end.
func (r *run) startEvent(e Event) {
	d := r.currentDiscovery()
	s := r.servers[e.Server]
	switch e.Kind {
	case ServerFault:
		s.setMode(e.Mode)
		r.scheduleEnd(e.Duration, func() { s.setMode(Healthy) })
	case ServerDraining:
		r.endpointList.setLifecycle("draining", s)
		r.scheduleEnd(e.Duration+drainGrace, func() { r.endpointList.setLifecycle("ready", s) })
	case ServerRemoved:
		r.endpointList.setLifecycle("gone", s)
		r.scheduleEnd(e.Duration+drainGrace, func() { r.endpointList.setLifecycle("ready", s) })
	case AllServersRemoved:
		r.endpointList.setLifecycle("gone", r.servers...)
		r.scheduleEnd(e.Duration, func() { r.endpointList.setLifecycle("ready", r.servers...) })
	case DiscoveryDown:
		r.setDiscoveryMode(d, Down, e.Duration)
	case DiscoverySlow:
		r.setDiscoveryMode(d, Slow, e.Duration)
	case DiscoveryOverloaded:
		r.setDiscoveryMode(d, Overloaded, e.Duration)
	case DiscoveryInvalidList:
		r.setDiscoveryMode(d, InvalidList, e.Duration)
	case WatchesUnanswered:
		d.endWatches(true)
	case WatchesReset:
		d.endWatches(false)
	case ChangeDiscovery:
		r.changeDiscovery(1 - int(r.configuredDiscovery.Load()))
	case ChangeDiscoveryAndBack:
		back := int(r.configuredDiscovery.Load())
		r.changeDiscovery(1 - back)
		r.wait(signalDelay)
		r.changeDiscovery(back)
	case TruncatedConfig:
		r.truncateConfig()
	case Suspend:
		r.suspend(e.Duration)
	}
}

// setDiscoveryMode sets how a discovery answers for a time, after which it answers normally.
func (r *run) setDiscoveryMode(d *discovery, mode DiscoveryMode, duration time.Duration) {
	r.recordNotifyDeadlines(time.Now())
	d.setMode(mode)
	r.scheduleEnd(duration, func() { d.setMode(Up) })
}

// changeDiscovery writes a configuration that names the discovery with the given index and sends SIGHUP.
func (r *run) changeDiscovery(to int) {
	r.recordNotifyDeadlines(time.Now())
	if err := r.writeConfigFor(to); err != nil {
		return
	}
	r.configuredDiscovery.Store(int32(to))
	r.journal.update(func() {
		r.journal.discoveryChanges = append(r.journal.discoveryChanges, discoveryChange{to, time.Now()})
	})
	r.signal(syscall.SIGHUP)
}

// truncateConfig sends SIGHUP while the configuration file is truncated, and again once the file is complete.
func (r *run) truncateConfig() {
	text, err := os.ReadFile(r.configPath)
	if err != nil {
		return
	}
	// If this fails, SIGHUP finds the complete file.
	_ = os.WriteFile(r.configPath, text[:truncatedConfigBytes], 0o600)
	r.signal(syscall.SIGHUP)
	r.wait(signalDelay)
	_ = r.writeConfigFor(int(r.configuredDiscovery.Load()))
	r.signal(syscall.SIGHUP)
}

// wait waits within an event, as planned.
func (r *run) wait(d time.Duration) {
	r.delays.wait(d)
	r.sleep(d)
}

// suspend stops the process with SIGSTOP and resumes it after a time. It records and returns how long the process
// really was suspended: on a busy machine this goroutine may resume it late.
func (r *run) suspend(d time.Duration) (suspended time.Duration) {
	stoppedAt := time.Now()
	r.signal(syscall.SIGSTOP)
	r.wait(d)
	r.signal(syscall.SIGCONT)
	suspended = time.Since(stoppedAt)
	r.journal.update(func() { r.journal.suspended += suspended })
	return suspended
}

// signal sends a signal to the process. Sending fails if the process has exited, which is no fault.
func (r *run) signal(s os.Signal) { _ = r.cmd.Process.Signal(s) }

// recordNotifyDeadlines records the notify deadline of each withdrawal for which it passed before now. The
// deadline is notifyTimeout after the withdrawal, or after the current discovery last became reachable,
// whichever is later. No deadline passes while discovery is unreachable. Callers that change how discovery is
// reached call this first, so that deadlines that have passed by then are kept.
func (r *run) recordNotifyDeadlines(now time.Time) {
	since := r.currentDiscovery().reachableSince()
	if since.IsZero() {
		return
	}
	r.journal.update(func() {
		for _, w := range r.journal.withdrawals {
			notifyDeadline := later(w.withdrawnAt, since).Add(notifyTimeout)
			if w.notifyDeadline.IsZero() && notifyDeadline.Before(now) {
				w.notifyDeadline = notifyDeadline
			}
		}
	})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
