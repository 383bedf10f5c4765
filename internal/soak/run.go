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
	startTimeout     = 30 * time.Second
	signalDelay      = 30 * time.Millisecond  // between signals in a row
	afterKill        = 200 * time.Millisecond // until the clients have read what was on the way
	firstVersion     = 40                     // of the first discovery's list
	secondVersion    = 3                      // of the second's: its versions have nothing in common with the first's
	allHangLeadTime  = 100 * time.Millisecond
	halfWrittenBytes = 100
)

// run is one run in progress.
type run struct {
	plan       Plan
	journal    *journal
	servers    []*server
	fleet      *fleet
	discovery  [2]*discovery
	followed   atomic.Int32 // index of the discovery that the latest configuration names
	configPath string
	address    string // of the sidecar, for clients
	cmd        *exec.Cmd
	log        bytes.Buffer
	exited     chan struct{}
	clientsEnd chan struct{}
	ends       []delayedEnd // of events that last
}

// delayedEnd is what ends an event.
type delayedEnd struct {
	at time.Time
	do func()
}

// Run carries out a plan with a program and returns what was found. dir is a folder for its files.
func Run(plan Plan, program, dir string) (Report, error) {
	r := &run{plan: plan, journal: new(journal), exited: make(chan struct{}), clientsEnd: make(chan struct{})}
	defer r.close()
	if err := r.start(program, dir); err != nil {
		return Report{}, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	stalls := startStallMeter()
	r.carryOut()
	return newReport(&r.plan, r.journal, stalls.stop()), nil
}

// start starts the stand-ins and the program, and returns once that is ready.
func (r *run) start(program, dir string) error {
	for n := range r.plan.Servers {
		s, err := newServer(n, r.journal)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, s)
	}
	r.fleet = newFleet(r.servers, r.journal)
	for n, version := range []int{firstVersion, secondVersion} {
		var err error
		if r.discovery[n], err = newDiscovery(n, version, r.fleet); err != nil {
			return err
		}
	}
	var err error
	if r.address, err = freeAddress(); err != nil {
		return err
	}
	r.configPath = filepath.Join(dir, fmt.Sprintf("soak-%d.json", r.plan.Seed))
	if err := r.configure(0); err != nil {
		return err
	}
	r.cmd = exec.Command(program)
	r.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+r.configPath)
	r.cmd.Stderr = &r.log
	r.journal.started = time.Now()
	if err := r.cmd.Start(); err != nil {
		return err
	}
	go r.awaitExit()
	return r.awaitReady()
}

// freeAddress returns an address on loopback that nobody listens on. Its IP address is one that the system picks for
// nobody else.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.50.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// configure writes the configuration file with the address of a discovery.
func (r *run) configure(discovery int) error {
	return r.plan.writeConfig(r.configPath, r.address, r.discovery[discovery].address())
}

// awaitExit enters how the process ends.
func (r *run) awaitExit() {
	err := r.cmd.Wait()
	r.journal.update(func() {
		r.journal.exited, r.journal.exitError = time.Now(), err
		r.journal.cpuTime = r.cmd.ProcessState.UserTime() + r.cmd.ProcessState.SystemTime()
	})
	close(r.exited)
}

// awaitReady waits until the process says that it is ready.
func (r *run) awaitReady() error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for time.Since(r.journal.started) < startTimeout {
		if response, err := client.Get("http://" + r.address + "/up"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.journal.ready = time.Now()
				return nil
			}
		}
		select {
		case <-r.exited:
			return fmt.Errorf("it ended before it was ready: %s", r.log.String())
		case <-time.After(stallInterval):
		}
	}
	return errors.New("it was not ready in time")
}

// carryOut runs clients and events, then stops the process.
func (r *run) carryOut() {
	c := &clients{plan: &r.plan, address: r.address, journal: r.journal, end: r.clientsEnd}
	for n := range r.plan.Clients {
		go c.run(n)
	}
	go c.stall()
	if r.plan.IdleFlood {
		c.idleFlood()
	}
	sampled := make(chan struct{})
	go func() { r.sample(); close(sampled) }()
	r.runEvents()
	r.terminate()
	close(r.clientsEnd)
	<-r.exited
	<-sampled
	time.Sleep(afterKill)
	r.forceNotices(time.Now())
	r.journal.update(func() { r.journal.log = r.log.String() })
}

// runEvents plays the events up to SIGTERM, and ends those that last.
func (r *run) runEvents() {
	events := r.plan.Events
	stopAt := r.journal.ready.Add(r.plan.StopAt)
	for {
		next, do := stopAt, func() {}
		last := true
		if len(events) > 0 && r.journal.ready.Add(events[0].At).Before(next) {
			e := events[0]
			next, do, last = r.journal.ready.Add(e.At), func() { r.begin(e); events = events[1:] }, false
		}
		for i, end := range r.ends {
			if end.at.Before(next) {
				next, do, last = end.at, func() { r.ends = append(r.ends[:i:i], r.ends[i+1:]...); end.do() }, false
			}
		}
		time.Sleep(time.Until(next))
		if last {
			return
		}
		do()
	}
}

// followedDiscovery returns the discovery that the latest configuration names.
func (r *run) followedDiscovery() *discovery { return r.discovery[r.followed.Load()] }

// endAfter has an event end after a time.
func (r *run) endAfter(d time.Duration, do func()) {
	r.ends = append(r.ends, delayedEnd{time.Now().Add(d), do})
}

// begin begins an event.
func (r *run) begin(e Event) {
	d := r.followedDiscovery()
	s := r.servers[e.Server]
	switch e.Kind {
	case ServerFault:
		s.setMode(e.Mode)
		r.endAfter(e.For, func() { s.setMode(Healthy) })
	case ServerDrain:
		r.fleet.set("draining", s)
		r.endAfter(e.For+drainGrace, func() { r.fleet.set("ready", s) })
	case ServerGone:
		r.fleet.set("gone", s)
		r.endAfter(e.For+drainGrace, func() { r.fleet.set("ready", s) })
	case AllGone:
		r.fleet.set("gone", r.servers...)
		r.endAfter(e.For, func() { r.fleet.set("ready", r.servers...) })
	case DiscoveryDown:
		r.setDiscovery(d, Down, e.For)
	case DiscoverySlow:
		r.setDiscovery(d, Slow, e.For)
	case DiscoveryOverloaded:
		r.setDiscovery(d, Overloaded, e.For)
	case UnusableAnswers:
		r.setDiscovery(d, Unusable, e.For)
	case WatchesSilent:
		d.endWatches(true)
	case WatchesReset:
		d.endWatches(false)
	case Move:
		r.move(1 - int(r.followed.Load()))
	case MoveAwayAndBack:
		back := int(r.followed.Load())
		r.move(1 - back)
		time.Sleep(signalDelay)
		r.move(back)
	case BadConfig:
		r.breakConfig()
	case Suspend:
		r.suspend(e.For)
	}
}

// setDiscovery has a discovery answer in another mode for a time.
func (r *run) setDiscovery(d *discovery, m DiscoveryMode, lasting time.Duration) {
	r.forceNotices(time.Now())
	d.setMode(m)
	r.endAfter(lasting, func() { d.setMode(Up) })
}

// move names another discovery in a new configuration, and says so.
func (r *run) move(to int) {
	r.forceNotices(time.Now())
	if err := r.configure(to); err != nil {
		return
	}
	r.followed.Store(int32(to))
	r.journal.update(func() { r.journal.moves = append(r.journal.moves, move{to, time.Now()}) })
	r.signal(syscall.SIGHUP)
}

// breakConfig sends SIGHUP while the configuration file is half written, and again when it is whole.
func (r *run) breakConfig() {
	text, err := os.ReadFile(r.configPath)
	if err != nil {
		return
	}
	_ = os.WriteFile(r.configPath, text[:halfWrittenBytes], 0o600) // where it fails, SIGHUP finds the whole file
	r.signal(syscall.SIGHUP)
	time.Sleep(signalDelay)
	_ = r.configure(int(r.followed.Load()))
	r.signal(syscall.SIGHUP)
}

// suspend holds the process up.
func (r *run) suspend(d time.Duration) {
	r.signal(syscall.SIGSTOP)
	time.Sleep(d)
	r.signal(syscall.SIGCONT)
	r.journal.update(func() { r.journal.suspended += d })
}

func (r *run) signal(s os.Signal) { _ = r.cmd.Process.Signal(s) } // it fails where the process has ended

// forceNotices enters for withdrawals that were not told from when on they count as notified, by the discovery that is
// followed now, as far as that is before a moment.
func (r *run) forceNotices(now time.Time) {
	since := r.followedDiscovery().reachableSince()
	if since.IsZero() {
		return
	}
	r.journal.update(func() {
		for _, l := range r.journal.withdrawals {
			forced := later(l.from, since).Add(notifiedWithin)
			if l.forced.IsZero() && forced.Before(now) {
				l.forced = forced
			}
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// terminate sends SIGTERM, with other signals around it where the plan says so, and SIGKILL when the platform may at the
// earliest. Clients go on until then.
func (r *run) terminate() {
	if r.plan.AllHang {
		for _, s := range r.servers {
			s.setMode(Hang)
		}
		time.Sleep(allHangLeadTime)
	}
	if r.plan.StopTwice {
		r.signal(syscall.SIGHUP)
	}
	r.journal.update(func() { r.journal.stopped = time.Now() })
	r.signal(syscall.SIGTERM)
	kill := time.After(r.plan.killDelay() + r.plan.SuspendStopping)
	if r.plan.SuspendStopping > 0 {
		r.suspend(r.plan.SuspendStopping)
	}
	if r.plan.StopTwice {
		time.Sleep(signalDelay)
		r.signal(syscall.SIGHUP)
		r.signal(syscall.SIGTERM)
	}
	select {
	case <-kill:
		r.journal.update(func() { r.journal.killed = time.Now() })
		_ = r.cmd.Process.Kill() // it may have ended just now
	case <-r.exited:
	}
}

// close ends what start has begun.
func (r *run) close() {
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Kill() // it may have ended
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
