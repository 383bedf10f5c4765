package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// firstVersion is the version of discovery's list at the start.
const firstVersion = 41

// discovery is a stand-in for discovery. It holds the list of map servers, answers calls for the whole list and
// watches.
type discovery struct {
	listener   net.Listener
	record     *record
	answerTime time.Duration // from a call to the earliest answer; set before the start of the sidecar

	mu        sync.Mutex
	version   int
	instances []instance
	changed   chan struct{} // closed at the next change
}

// instance is an entry of the list.
type instance struct {
	id        string
	address   string
	zone      string
	cell      int
	lifecycle string
	version   int // of its latest change
}

func startDiscovery(r *record, servers []*mapServer) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, record: r, version: firstVersion, changed: make(chan struct{})}
	for _, s := range servers {
		d.instances = append(d.instances, instance{
			id: fmt.Sprintf("s-%08x", 0x5be2a07c+s.index), address: s.listener.Addr().String(),
			zone: zoneNames[s.index%2], cell: s.index % 3, lifecycle: "ready",
			version: firstVersion,
		})
	}
	go func() { _ = http.Serve(listener, d) }() // ends when the listener is closed
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// fullList returns the whole list.
func (d *discovery) fullList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked(-1)
}

// listLocked returns the entries that changed since a version, or the whole list if it is negative.
func (d *discovery) listLocked(since int) string {
	var entries []string
	for _, i := range d.instances {
		if i.version > since {
			entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":"std-1",`+
				`"cell":%d,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`, i.id, i.address, i.zone, i.cell, i.lifecycle))
		}
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, d.version, since < 0, strings.Join(entries, ","))
}

// ServeHTTP answers a call.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.Atoi(r.FormValue("index"))
	if err != nil {
		since = -1
	}
	waitMS, _ := strconv.Atoi(r.FormValue("wait")) // 0 if it is missing
	d.record.add("discovery is asked: %s", r.URL.RawQuery)
	select {
	case <-time.After(d.answerTime):
	case <-r.Context().Done():
		d.record.add("discovery: the caller of %s has gone", r.URL.RawQuery)
		return
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		d.mu.Lock()
		version, changed, list := d.version, d.changed, d.listLocked(since)
		d.mu.Unlock()
		if since < 0 || version > since {
			d.write(w, r, list)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			d.write(w, r, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (d *discovery) write(w http.ResponseWriter, r *http.Request, list string) {
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write([]byte(list))
	d.record.add("discovery answers %s: %d bytes, error %v", r.URL.RawQuery, len(list), err)
}
