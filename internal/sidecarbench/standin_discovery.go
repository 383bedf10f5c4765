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

// listVersion is the version of the endpoint list. The list never changes.
const listVersion = 1

// serversPerCell is the number of servers of the endpoint list in a cell.
const serversPerCell = 8

// endpointList returns an endpoint update with n servers as JSON: a full one or a delta. The servers use the
// addresses in round-robin order. They may share addresses, as the sidecar identifies a server's state and
// connections by the server's name.
func endpointList(n int, addresses []string, full bool) []byte {
	var list strings.Builder
	fmt.Fprintf(&list, `{"generation":%d,"reset":%t,"instances":[`, listVersion, full)
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

// discoveryStandIn is the stand-in for discovery. As the endpoint list never changes, it answers a watch with
// an empty delta when the maximum wait of the watch has passed.
type discoveryStandIn struct {
	counters             *counters
	fullList, emptyDelta []byte        // response bodies
	watched              chan struct{} // closed by the first watch
	watchOnce            sync.Once     // closes watched
}

// startDiscovery starts the stand-in for discovery. GET /watched of the control interface responds as soon as
// the first watch has begun.
func (s *standInRunner) startDiscovery() ([]string, error) {
	if len(s.config.ServerAddresses) == 0 {
		return nil, errors.New("no server addresses")
	}
	d := &discoveryStandIn{
		counters:   s.counters,
		fullList:   endpointList(s.config.Servers, s.config.ServerAddresses, true),
		emptyDelta: endpointList(0, s.config.ServerAddresses, false),
		watched:    make(chan struct{}),
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

// ServeHTTP responds with the full list, or waits and responds with an empty delta if the caller has this
// version.
func (d *discoveryStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.counters.requests.Add(1)
	query := r.URL.Query()
	if query.Get("index") != strconv.Itoa(listVersion) {
		writeList(w, d.fullList)
		return
	}
	waitMS, err := strconv.Atoi(query.Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	if waitMS > 1 { // a longer wait is a watch: a poll asks for 1 ms
		d.watchOnce.Do(func() { close(d.watched) })
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		writeList(w, d.emptyDelta)
	case <-r.Context().Done():
	}
}

// writeList responds with an endpoint update.
func writeList(w http.ResponseWriter, list []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(list)))
	_, _ = w.Write(list) // fails if the sidecar has disconnected
}
