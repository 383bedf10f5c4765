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

// notifyTimeout is the time after which a change counts as notified, whether or not the sidecar has read it.
// It counts from the change, or from the moment discovery became reachable if that is later.
const notifyTimeout = 6 * time.Second

// DiscoveryMode determines how a discovery answers calls.
type DiscoveryMode int

// The modes of a discovery.
const (
	Up          DiscoveryMode = iota // answers normally
	Down                             // resets each connection
	Slow                             // answers after slowResponseDelay
	Overloaded                       // answers 503
	InvalidList                      // answers with an invalid endpoint list
)

// slowResponseDelay is the delay of each response in mode Slow.
const slowResponseDelay = 700 * time.Millisecond

// endpointChange is the state of one server in the endpoint list after a change.
type endpointChange struct {
	server     *server
	lifecycle  string
	startedAt  time.Time   // zero: long before the run
	withdrawal *withdrawal // the period of withdrawal that the change is part of; nil: the server is ready
	start      *slowStart  // the start that the change announces; nil: none
}

// endpointList is the endpoint list that both stand-ins for discovery serve. Each of them numbers the versions
// differently.
type endpointList struct {
	journal *journal

	mu         sync.Mutex
	changes    []endpointChange
	current    []endpointChange // the current state of each server, by the server's index
	nextChange chan struct{}    // closed at the next change
}

func newEndpointList(servers []*server, j *journal) *endpointList {
	l := &endpointList{journal: j, nextChange: make(chan struct{})}
	for _, s := range servers {
		l.current = append(l.current, endpointChange{server: s, lifecycle: "ready"})
	}
	return l
}

// setLifecycle changes the lifecycle of servers. A server that becomes ready again counts as started at this
// moment.
func (l *endpointList) setLifecycle(lifecycle string, servers ...*server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, s := range servers {
		previous := l.current[s.index]
		if previous.lifecycle == lifecycle {
			continue
		}
		next := endpointChange{server: s, lifecycle: lifecycle, startedAt: previous.startedAt, withdrawal: previous.withdrawal}
		l.journal.update(func() {
			switch {
			case lifecycle == "ready":
				previous.withdrawal.returnedAt, next.withdrawal, next.startedAt = now, nil, now
				next.start = &slowStart{server: s.index, at: now}
				l.journal.slowStarts = append(l.journal.slowStarts, next.start)
			case previous.withdrawal == nil:
				next.withdrawal = &withdrawal{server: s.index, withdrawnAt: now}
				l.journal.withdrawals = append(l.journal.withdrawals, next.withdrawal)
			}
		})
		l.current[s.index] = next
		l.changes = append(l.changes, next)
	}
	close(l.nextChange)
	l.nextChange = make(chan struct{})
}

// ready returns the servers that are listed as ready.
func (l *endpointList) ready() (ready []*server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.current {
		if c.lifecycle == "ready" {
			ready = append(ready, c.server)
		}
	}
	return ready
}

// changesSince returns the number of changes so far, the current state of each server that the changes from
// index on affect, and a channel that is closed at the next change. If index is negative, it returns the
// current state of all listed servers instead.
func (l *endpointList) changesSince(index int) (total int, entries []endpointChange, next <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	included := make(map[int]bool)
	if index < 0 {
		for _, c := range l.current {
			if c.lifecycle != "gone" {
				entries = append(entries, c)
			}
		}
		return len(l.changes), entries, l.nextChange
	}
	for _, c := range l.changes[min(index, len(l.changes)):] {
		if !included[c.server.index] {
			included[c.server.index] = true
			entries = append(entries, l.current[c.server.index])
		}
	}
	return len(l.changes), entries, l.nextChange
}

// markNotified records that an endpoint update was written to the sidecar. All withdrawals and starts that the
// update reports count as notified from now on. A delta reports those in its entries. A full list, which
// reports a removal by omitting the server, reports those in the first count changes.
func (l *endpointList) markNotified(count int, full bool, entries []endpointChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if full {
		entries = l.changes[:count]
	}
	l.journal.update(func() {
		for _, c := range entries {
			if c.withdrawal != nil && c.withdrawal.notifiedAt.IsZero() {
				c.withdrawal.notifiedAt = now
			}
			if c.start != nil && c.start.notifiedAt.IsZero() {
				c.start.notifiedAt = now
			}
		}
	})
}

// discovery is a stand-in for discovery, with its own listener and version numbers.
type discovery struct {
	index        int // in run.discovery
	endpointList *endpointList
	baseVersion  int // version of the list before the first change
	listener     net.Listener
	server       *http.Server

	mu              sync.Mutex
	mode            DiscoveryMode
	reachableFrom   time.Time     // when discovery became reachable; zero: not reachable, or watches were left unanswered
	interrupted     chan struct{} // closed to interrupt the open watches
	leaveUnanswered bool          // interrupted watches stay open without an answer; otherwise they are reset
}

func newDiscovery(index, baseVersion int, l *endpointList) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		index: index, endpointList: l, baseVersion: baseVersion, listener: listener, reachableFrom: time.Now(),
		interrupted: make(chan struct{}),
	}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }() // returns when the run closes the server
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// setMode sets how discovery answers. All modes but Up also reset the open watches.
func (d *discovery) setMode(m DiscoveryMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
	d.reachableFrom = time.Time{}
	if m == Up {
		d.reachableFrom = time.Now()
		return
	}
	d.interrupt(false)
}

// endWatches resets the open watches or, if silently is set, leaves them unanswered for good.
func (d *discovery) endWatches(silently bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.interrupt(silently)
	if silently {
		d.reachableFrom = time.Time{}
	}
}

// interrupt interrupts the open watches. The caller must hold d.mu.
func (d *discovery) interrupt(silently bool) {
	d.leaveUnanswered = silently
	close(d.interrupted)
	d.interrupted = make(chan struct{})
}

// reachableSince returns when discovery last became reachable, or the zero time if it is not reachable. The
// notifyTimeout of a change does not start before that time.
func (d *discovery) reachableSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reachableFrom
}

// ServeHTTP handles a call for the endpoint list.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.endpointList.journal.addListCall(listCall{d.index, time.Now(), r.URL.RawQuery})
	d.mu.Lock()
	mode, interrupted := d.mode, d.interrupted
	if mode == Up && d.reachableFrom.IsZero() {
		d.reachableFrom = time.Now() // the first call after watches were left unanswered
	}
	d.mu.Unlock()
	switch mode {
	case Down:
		panic(http.ErrAbortHandler)
	case Overloaded:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case InvalidList:
		_, _ = fmt.Fprintf(w, `{"generation":%d,"reset":true}`, d.baseVersion+1000)
		return
	case Slow:
		time.Sleep(slowResponseDelay)
	}
	d.respond(w, r, interrupted)
}

// respond answers with the full list, or waits for a change and answers with the servers that changed.
func (d *discovery) respond(w http.ResponseWriter, r *http.Request, interrupted <-chan struct{}) {
	known := -1 // number of changes that the caller already has; negative: the response is the full list
	if index, err := strconv.Atoi(r.FormValue("index")); err == nil && index >= d.baseVersion {
		known = index - d.baseVersion
	}
	waitMS, _ := strconv.Atoi(r.FormValue("wait")) // 0 if the parameter is missing
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		count, entries, changed := d.endpointList.changesSince(known)
		if known < 0 || count > known {
			d.writeList(w, count, known < 0, entries)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			d.writeList(w, count, false, entries)
			return
		case <-interrupted:
			d.mu.Lock()
			leaveUnanswered := d.leaveUnanswered
			d.mu.Unlock()
			if leaveUnanswered {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// writeList writes an endpoint list. Depending on the version, the list is indented or not, and written at
// once or in two parts, so that the sidecar has to read all forms.
func (d *discovery) writeList(w http.ResponseWriter, count int, full bool, entries []endpointChange) {
	indent := strings.Repeat("\n  ", count%2)
	var text strings.Builder
	fmt.Fprintf(&text, `{%s"generation":%d,%s"reset":%t,%s"instances":[`, indent, d.baseVersion+count, indent, full, indent)
	for i, c := range entries {
		if i > 0 {
			text.WriteString("," + indent)
		}
		startedAt := int64(0)
		if !c.startedAt.IsZero() {
			startedAt = c.startedAt.UnixMilli()
		}
		fmt.Fprintf(&text, `{"instanceId":%q,"hostPort":%q,"zone":%q,"cell":%d,"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`,
			c.server.instanceID(), c.server.address(), c.server.zone, c.server.cell, c.lifecycle, startedAt)
	}
	text.WriteString("]}")
	list := text.String()
	half := 0
	if count%3 == 1 {
		half = len(list) / 2
		// Fails only if the sidecar closed the connection, and then the write below fails too.
		_, _ = w.Write([]byte(list[:half]))
		http.NewResponseController(w).Flush()
		time.Sleep(serviceTime)
	}
	_, err := w.Write([]byte(list[half:]))
	if err == nil {
		d.endpointList.markNotified(count, full, entries)
	}
}
