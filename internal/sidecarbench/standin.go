package sidecarbench

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"
)

// RoleVariable is the environment variable that contains the role of a stand-in process.
const RoleVariable = "OVERHEAD_ROLE"

// Roles of stand-in processes.
const (
	roleServer    = "server"    // servers
	roleDiscovery = "discovery" // the discovery service
	rolePeers     = "peers"     // the other sidecars
	roleLoad      = "load"      // the application
)

// standInMaxProcs is GOMAXPROCS of a stand-in process. No stand-in needs more processors, and the runtime of
// an idle stand-in disturbs the measurement less with a low limit.
const standInMaxProcs = 4

// standInConfig is the configuration of a stand-in process, sent to its standard input as one line of JSON.
type standInConfig struct {
	Addresses       []string      // servers: listen addresses (port 0: any free port); peers: sender addresses
	ServiceTime     time.Duration // servers: time in which a request is processed
	Servers         int           // discovery: number of servers in the endpoint list
	ServerAddresses []string      // discovery: addresses of the listed servers, used in round-robin order
	MaxConnections  int           // load: maximum number of connections to each target
}

// standInAddresses are the addresses of a stand-in process, which it writes to its standard output as one
// line of JSON when it listens.
type standInAddresses struct {
	Control string   // address of the control interface
	Service []string // addresses of the service that the stand-in replaces
}

// standInRunner starts and runs a stand-in within its own process.
type standInRunner struct {
	config   standInConfig
	counters *counters
	control  *http.ServeMux // handler of the control interface
}

// RunStandIn runs the stand-in for a role until reading from in reaches end of file. Because in is a pipe from
// the process that started this one, the stand-in ends no later than that process. RunStandIn returns an error
// if the stand-in cannot start.
func RunStandIn(ctx context.Context, role string, in io.Reader, out io.Writer) error {
	runtime.GOMAXPROCS(standInMaxProcs)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewReader(in)
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("%s: read configuration: %w", role, err)
	}
	s := standInRunner{counters: new(counters), control: http.NewServeMux()}
	if err := json.Unmarshal(line, &s.config); err != nil {
		return fmt.Errorf("%s: decode configuration: %w", role, err)
	}
	addresses, server, err := s.start(ctx, role)
	if err != nil {
		return fmt.Errorf("%s: start stand-in: %w", role, err)
	}
	defer server.Close()
	if err := json.NewEncoder(out).Encode(addresses); err != nil {
		return fmt.Errorf("%s: write addresses: %w", role, err)
	}
	_, err = io.Copy(io.Discard, lines)
	return err
}

// start starts the service of a role and the control interface. It returns their addresses and the HTTP
// server of the control interface.
func (s *standInRunner) start(ctx context.Context, role string) (standInAddresses, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return standInAddresses{}, nil, fmt.Errorf("control interface: %w", err)
	}
	s.control.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.counters.counts(), nil) })
	service, err := s.startRole(role)
	if err != nil {
		return standInAddresses{}, nil, err
	}
	server := &http.Server{Handler: s.control, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = server.Serve(listener) }() // ends with the stand-in
	return standInAddresses{listener.Addr().String(), service}, server, nil
}

// startRole starts the service of a role. It returns the addresses of the service, of which the load
// generator has none.
func (s *standInRunner) startRole(role string) ([]string, error) {
	switch role {
	case roleServer:
		return s.startServers()
	case roleDiscovery:
		return s.startDiscovery()
	case rolePeers:
		return s.startPeers()
	case roleLoad:
		s.startLoadGenerator()
		return nil, nil
	}
	return nil, errors.New("unknown role")
}

// listen serves HTTP on an address, and counts its connections and bytes. It returns the address with the
// port that is in use.
func (s *standInRunner) listen(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(countingListener{listener, s.counters}, handler) }() // ends with the process
	return listener.Addr().String(), nil
}

// reply responds to a call of the control interface: with the error if there is one, otherwise with response
// as JSON.
func reply(w http.ResponseWriter, response any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // fails if the caller has disconnected
}
