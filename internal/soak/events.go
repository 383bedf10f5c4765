package soak

import (
	"os"
	"syscall"
	"time"
)

const (
	// The pause between consecutive signals.
	signalDelay = 30 * time.Millisecond
	// How many bytes of the configuration file TruncatedConfig leaves.
	truncatedConfigBytes = 100
)

// eventEnd ends an event: action undoes the fault.
type eventEnd struct {
	at     time.Time
	action func()
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
