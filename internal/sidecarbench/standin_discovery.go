package sidecarbench

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// listVersion is the version of the endpoint list, which never changes.
const listVersion = 1

// serversPerCell is how many servers of the endpoint list share a cell.
const serversPerCell = 8

// endpointList encodes a list of n servers that use some addresses in turn. A sidecar has the state and the connections
// of a server by its name, so a shared address makes no difference to it.
func endpointList(n int, addresses []string, complete bool) []byte {
	var list strings.Builder
	fmt.Fprintf(&list, `{"generation":%d,"reset":%t,"instances":[`, listVersion, complete)
	for i := range n {
		if i > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, `{"instanceId":"map-%05d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":"ready","weight":1.0,"startedAtMs":0,"machineType":"m4"}`,
			i, addresses[i%len(addresses)], i/serversPerCell)
	}
	list.WriteString("]}")
	return []byte(list.String())
}

// discoveryStandIn is the stand-in for discovery. As nothing ever changes, it answers a watch with an empty list after
// the time for which it may wait.
type discoveryStandIn struct {
	counters            *counters
	complete, unchanged []byte
	watched             chan struct{} // closed by the first watch
	watchOnce           sync.Once
}

// runDiscovery stands in for discovery. GET /watched of the control interface responds after the first watch has begun.
func (s *standInServer) runDiscovery() ([]string, error) {
	if len(s.config.ServerAddresses) == 0 {
		return nil, errors.New("no server addresses")
	}
	d := &discoveryStandIn{
		counters:  s.counters,
		complete:  endpointList(s.config.Servers, s.config.ServerAddresses, true),
		unchanged: endpointList(0, s.config.ServerAddresses, false),
		watched:   make(chan struct{}),
	}
	address, err := s.listen("127.0.0.1:0", d)
	if err != nil {
		return nil, err
	}
	s.control.HandleFunc("GET /watched", func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-d.watched:
			reply(w, s.counters.counts(), nil)
		case <-r.Context().Done():
		}
	})
	return []string{address}, nil
}

// ServeHTTP responds with the complete list, or waits if the caller has its version.
func (d *discoveryStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.counters.requests.Add(1)
	query := r.URL.Query()
	if query.Get("index") != strconv.Itoa(listVersion) {
		writeList(w, d.complete)
		return
	}
	waitMS, err := strconv.Atoi(query.Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	if waitMS > 1 { // a poll waits for 1 ms
		d.watchOnce.Do(func() { close(d.watched) })
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		writeList(w, d.unchanged)
	case <-r.Context().Done():
	}
}

func writeList(w http.ResponseWriter, list []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(list)))
	_, _ = w.Write(list) // it fails if the sidecar has disconnected
}
