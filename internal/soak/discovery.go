package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// notifiedWithin is how long after discovery had a change and could be reached it counts as notified.
const notifiedWithin = 6 * time.Second

// DiscoveryMode is how a discovery answers.
type DiscoveryMode int

// The modes of a discovery.
const (
	Up         DiscoveryMode = iota
	Down                     // resets each connection
	Slow                     // answers late
	Overloaded               // answers 503
	Unusable                 // answers what is no list
)

const slowAnswer = 700 * time.Millisecond

// change is one change of the endpoint list.
type change struct {
	server     *server
	lifecycle  string
	startedAt  time.Time   // zero: long ago
	withdrawal *withdrawal // that it begins; nil: the server is ready
	start      *slowStart  // that it tells of; nil: none
}

// fleet is the endpoint list, which all discoveries answer from. They count its versions apart.
type fleet struct {
	journal *journal

	mu      sync.Mutex
	changes []change
	current []change      // of each server, its latest
	changed chan struct{} // closed with the next change
}

func newFleet(servers []*server, j *journal) *fleet {
	f := &fleet{journal: j, changed: make(chan struct{})}
	for _, s := range servers {
		f.current = append(f.current, change{server: s, lifecycle: "ready"})
	}
	return f
}

// set changes the lifecycle of servers. Where they return to ready they have started just now.
func (f *fleet) set(lifecycle string, servers ...*server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range servers {
		before := f.current[s.number]
		if before.lifecycle == lifecycle {
			continue
		}
		next := change{server: s, lifecycle: lifecycle, startedAt: before.startedAt, withdrawal: before.withdrawal}
		f.journal.update(func() {
			switch {
			case lifecycle == "ready":
				before.withdrawal.until, next.withdrawal, next.startedAt = now, nil, now
				next.start = &slowStart{server: s.number, at: now}
				f.journal.slowStarts = append(f.journal.slowStarts, next.start)
			case before.withdrawal == nil:
				next.withdrawal = &withdrawal{server: s.number, from: now}
				f.journal.withdrawals = append(f.journal.withdrawals, next.withdrawal)
			}
		})
		f.current[s.number] = next
		f.changes = append(f.changes, next)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// ready returns the servers that may be sent to.
func (f *fleet) ready() (ready []*server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.current {
		if c.lifecycle == "ready" {
			ready = append(ready, c.server)
		}
	}
	return ready
}

// since returns the number of changes so far, the present state of the servers that have changed since a number of
// changes, or of all that are listed (number below 0), and a channel that is closed with the next change.
func (f *fleet) since(number int) (count int, entries []change, next <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	named := make(map[int]bool)
	if number < 0 {
		for _, c := range f.current {
			if c.lifecycle != "gone" {
				entries = append(entries, c)
			}
		}
		return len(f.changes), entries, f.changed
	}
	for _, c := range f.changes[min(number, len(f.changes)):] {
		if !named[c.server.number] {
			named[c.server.number] = true
			entries = append(entries, f.current[c.server.number])
		}
	}
	return len(f.changes), entries, f.changed
}

// markNotified enters that an answer was written: all withdrawals and starts that it tells of, and where it is complete
// those of all servers, count as notified.
func (f *fleet) markNotified(count int, complete bool, entries []change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if complete {
		entries = f.changes[:count]
	}
	f.journal.update(func() {
		for _, c := range entries {
			if c.withdrawal != nil && c.withdrawal.notified.IsZero() {
				c.withdrawal.notified = now
			}
			if c.start != nil && c.start.notified.IsZero() {
				c.start.notified = now
			}
		}
	})
}

// discovery is one address of discovery, with versions of its own.
type discovery struct {
	number      int
	fleet       *fleet
	baseVersion int
	listener    net.Listener
	server      *http.Server

	mu          sync.Mutex
	mode        DiscoveryMode
	reachable   time.Time     // since when changes count as notified in time; zero: they do not, or watches fell silent
	interrupted chan struct{} // closed to end the watches that are open
	silence     bool          // these are left without an answer, not reset
}

func newDiscovery(number, baseVersion int, f *fleet) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		number: number, fleet: f, baseVersion: baseVersion, listener: listener, reachable: time.Now(),
		interrupted: make(chan struct{}),
	}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }() // ends with the run
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// setMode changes how it answers. Watches end with all modes but Up.
func (d *discovery) setMode(m DiscoveryMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	d.reachable = time.Time{}
	if m == Up {
		d.reachable = time.Now()
		return
	}
	d.interrupt(false)
}

// endWatches resets the watches that are open, or never answers them.
func (d *discovery) endWatches(silently bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interrupt(silently)
	if silently {
		d.reachable = time.Time{}
	}
}

// interrupt ends the open watches. The caller holds the lock.
func (d *discovery) interrupt(silently bool) {
	d.silence = silently
	close(d.interrupted)
	d.interrupted = make(chan struct{})
}

// reachableSince returns since when a change counts as notified in time; zero: it does not now.
func (d *discovery) reachableSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reachable
}

// ServeHTTP answers a call for the endpoint list.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.fleet.journal.addCall(listCall{d.number, time.Now(), r.URL.RawQuery})
	d.mu.Lock()
	mode, interrupted := d.mode, d.interrupted
	if mode == Up && d.reachable.IsZero() {
		d.reachable = time.Now() // the first call after the watches fell silent
	}
	d.mu.Unlock()
	switch mode {
	case Down:
		panic(http.ErrAbortHandler)
	case Overloaded:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unusable:
		_, _ = fmt.Fprintf(w, `{"generation":%d,"reset":true}`, d.baseVersion+1000)
		return
	case Slow:
		time.Sleep(slowAnswer)
	}
	d.answer(w, r, interrupted)
}

// answer answers with the list, or with what has changed, once something has.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request, interrupted <-chan struct{}) {
	number := -1
	if index, err := strconv.Atoi(r.FormValue("index")); err == nil && index >= d.baseVersion {
		number = index - d.baseVersion
	}
	waitMS, _ := strconv.Atoi(r.FormValue("wait")) // 0 where it is absent
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		count, entries, changed := d.fleet.since(number)
		if number < 0 || count > number {
			d.write(w, count, number < 0, entries)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			d.write(w, count, false, entries)
			return
		case <-interrupted:
			d.mu.Lock()
			silence := d.silence
			d.mu.Unlock()
			if silence {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// write writes an answer: in one piece, in several, or indented, by its version.
func (d *discovery) write(w http.ResponseWriter, count int, complete bool, entries []change) {
	space := strings.Repeat("\n  ", count%2)
	var text strings.Builder
	fmt.Fprintf(&text, `{%s"generation":%d,%s"reset":%t,%s"instances":[`, space, d.baseVersion+count, space, complete, space)
	for i, c := range entries {
		if i > 0 {
			text.WriteString("," + space)
		}
		startedAt := int64(0)
		if !c.startedAt.IsZero() {
			startedAt = c.startedAt.UnixMilli()
		}
		fmt.Fprintf(&text, `{"instanceId":%q,"hostPort":%q,"zone":%q,"cell":%d,"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`,
			c.server.instanceID(), c.server.address(), c.server.zone, c.server.cell, c.lifecycle, startedAt)
	}
	text.WriteString("]}")
	answer := text.String()
	half := 0
	if count%3 == 1 {
		half = len(answer) / 2
		_, _ = w.Write([]byte(answer[:half])) // fails only if the sidecar has gone, as below
		http.NewResponseController(w).Flush()
		time.Sleep(serviceTime)
	}
	_, err := w.Write([]byte(answer[half:]))
	if err == nil {
		d.fleet.markNotified(count, complete, entries)
	}
}
