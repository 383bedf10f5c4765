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

// RoleVariable is the environment variable with the role of a stand-in process, for RunStandIn.
const RoleVariable = "OVERHEAD_ROLE"

// The roles of stand-in processes.
const (
	roleServer    = "server"    // servers
	roleDiscovery = "discovery" // the discovery service
	rolePeers     = "peers"     // the other sidecars
	roleLoad      = "load"      // the application
)

// standInProcessors limits the processors of a stand-in: none needs more, and an idle runtime with fewer disturbs
// the measurement less.
const standInProcessors = 4

// standInConfig is what a stand-in gets at its start, as one line of JSON on its standard input.
type standInConfig struct {
	Addresses       []string      // server: where to listen, with port 0 for any free one. peers: where to send from
	ServiceTime     time.Duration // server: for a request
	Servers         int           // discovery: number of servers in the endpoint list
	ServerAddresses []string      // discovery: their addresses, used in turn
	MaxConnections  int           // load: to each target
}

// standInAddresses is the response of a stand-in when it listens, as one line of JSON on its standard output.
type standInAddresses struct {
	Control string   // of the control interface
	Service []string // of the service that it stands in for
}

// standInServer is a stand-in that is starting.
type standInServer struct {
	config   standInConfig
	counters *counters
	control  *http.ServeMux
}

// RunStandIn runs the stand-in for a role until in ends, which it does with the process that started this one. It
// returns an error if the stand-in cannot start.
func RunStandIn(ctx context.Context, role string, in io.Reader, out io.Writer) error {
	runtime.GOMAXPROCS(standInProcessors)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewReader(in)
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("%s: configuration: %w", role, err)
	}
	s := standInServer{counters: new(counters), control: http.NewServeMux()}
	if err := json.Unmarshal(line, &s.config); err != nil {
		return fmt.Errorf("%s: configuration: %w", role, err)
	}
	addresses, server, err := s.start(ctx, role)
	if err != nil {
		return fmt.Errorf("%s: %w", role, err)
	}
	defer server.Close()
	if err := json.NewEncoder(out).Encode(addresses); err != nil {
		return fmt.Errorf("%s: addresses: %w", role, err)
	}
	_, err = io.Copy(io.Discard, lines)
	return err
}

// start starts the service of a role and the control interface.
func (s *standInServer) start(ctx context.Context, role string) (standInAddresses, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return standInAddresses{}, nil, fmt.Errorf("control: %w", err)
	}
	s.control.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.counters.counts(), nil) })
	service, err := s.startRole(role)
	if err != nil {
		return standInAddresses{}, nil, err
	}
	server := &http.Server{Handler: s.control, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = server.Serve(listener) }() // it returns when the process ends
	return standInAddresses{listener.Addr().String(), service}, server, nil
}

// startRole starts the service of a role and returns its addresses.
func (s *standInServer) startRole(role string) ([]string, error) {
	switch role {
	case roleServer:
		return s.runServers()
	case roleDiscovery:
		return s.runDiscovery()
	case rolePeers:
		return s.runPeers()
	case roleLoad:
		s.runLoadGenerator()
		return nil, nil
	}
	return nil, errors.New("unknown role")
}

// listen serves HTTP on an address and counts what passes. It returns the address with its port.
func (s *standInServer) listen(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(countingListener{listener, s.counters}, handler) }() // it returns when the process ends
	return listener.Addr().String(), nil
}

// reply responds to a call of the control interface.
func reply(w http.ResponseWriter, response any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // it fails if the caller has disconnected
}
