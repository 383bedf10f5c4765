package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// listVersion is the version of the endpoint list, which never changes.
const listVersion = 41

// discovery is a stand-in for discovery with a fixed list of servers that started long ago.
type discovery struct {
	listener net.Listener
	entries  string
}

// startDiscovery starts a discovery that lists servers by their addresses, half of them in each zone.
func startDiscovery(addresses []string) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var entries []string
	for i, address := range addresses {
		zone := []string{"dakar-ouest", "thies-nord"}[i%2]
		entries = append(entries, fmt.Sprintf(
			`{"instanceId":"s-%d","hostPort":%q,"zone":%q,"machineType":"std-1","cell":%d,"lifecycle":"ready","weight":1.0,"startedAtMs":0}`,
			i, address, zone, i%3))
	}
	d := &discovery{listener: listener, entries: strings.Join(entries, ",")}
	go func() { _ = http.Serve(listener, d) }() // returns when the process ends
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// ServeHTTP answers a call for the list. A watch waits for its time and is then answered without changes.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.FormValue("index"))
	if err != nil || index != listVersion {
		fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[%s]}`, listVersion, d.entries)
		return
	}
	wait, _ := strconv.Atoi(r.FormValue("wait")) // 0 if it is absent
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
		fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, listVersion)
	case <-r.Context().Done():
	}
}
