package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"
)

// testbed is a running sidecar with the stand-ins around it.
type testbed struct {
	size                     FleetSize
	senders                  int    // number of peers with a socket
	gossipAddress            string // where the sidecar receives gossip
	server, discovery, peers *standIn
	sidecar                  *sidecarProcess
	startCost                StartCost
}

// StartCost is the cost of a sidecar's start.
type StartCost struct {
	FleetSize
	ConfigBytes int           // size of the configuration file
	ReadyCPU    time.Duration // CPU time until GET /up was answered 200
	WatchCPU    time.Duration // CPU time until the sidecar had its endpoint list and watched it for changes
	ReadyMemory Memory        // memory when GET /up was answered 200
	WatchMemory Memory        // memory when the sidecar had its endpoint list and watched it for changes
	ListBytes   int64         // bytes that discovery sent until the sidecar watched the endpoint list
}

// newTestbed starts a sidecar for a fleet of the given size and waits until the sidecar has its endpoint
// list. senders is the maximum number of peers with a socket. serviceTime is the time in which a server
// processes a request.
func (b *Bench) newTestbed(ctx context.Context, size FleetSize, senders int, serviceTime time.Duration) (*testbed, error) {
	tb := &testbed{size: size, senders: max(0, min(senders, size.Peers-1))}
	if err := tb.start(ctx, b, serviceTime); err != nil {
		return nil, errors.Join(fmt.Errorf("%d peers, %d servers: %w", size.Peers, size.Servers, err), tb.close())
	}
	return tb, nil
}

// start starts all processes and measures the start of the sidecar. After an error, the caller must call
// close to stop the processes that are running.
func (tb *testbed) start(ctx context.Context, b *Bench, serviceTime time.Duration) error {
	if err := tb.startStandIns(ctx, b.StandIn, serviceTime); err != nil {
		return err
	}
	path, size, err := tb.writeConfig(b)
	if err != nil {
		return err
	}
	if tb.sidecar, err = startSidecar(ctx, b.Program, path); err != nil {
		return err
	}
	tb.startCost = StartCost{FleetSize: tb.size, ConfigBytes: size}
	return tb.measureStart(ctx, b.LatencyObjective)
}

// startStandIns starts the stand-ins for servers, discovery and peers.
func (tb *testbed) startStandIns(ctx context.Context, program string, serviceTime time.Duration) (err error) {
	servers := standInConfig{ServiceTime: serviceTime}
	for i := range serverAddressCount {
		servers.Addresses = append(servers.Addresses, fmt.Sprintf("127.0.1.%d:0", i+1))
	}
	if tb.server, err = startStandIn(ctx, program, roleServer, servers); err != nil {
		return err
	}
	discovery := standInConfig{Servers: tb.size.Servers, ServerAddresses: tb.server.addresses.Service}
	if tb.discovery, err = startStandIn(ctx, program, roleDiscovery, discovery); err != nil {
		return err
	}
	peers := standInConfig{}
	for range tb.senders {
		peers.Addresses = append(peers.Addresses, "127.0.0.1:0")
	}
	tb.peers, err = startStandIn(ctx, program, rolePeers, peers)
	return err
}

// writeConfig writes the configuration file of the sidecar. It returns its absolute path and its size in
// bytes.
func (tb *testbed) writeConfig(b *Bench) (path string, size int, err error) {
	if tb.gossipAddress, err = freeUDPAddress(); err != nil {
		return "", 0, err
	}
	raw, err := sidecarConfig(tb.size, configParams{
		gossipAddress:      tb.gossipAddress,
		broadcastAddress:   tb.peers.addresses.Service[0],
		peerAddresses:      tb.peers.addresses.Service[1:],
		discoveryAddress:   tb.discovery.addresses.Service[0],
		serverAddresses:    tb.server.addresses.Service,
		latencyObjectiveMS: b.LatencyObjective.Seconds() * 1000,
	})
	if err != nil {
		return "", 0, err
	}
	file, err := os.CreateTemp(b.Dir, "config-*.json")
	if err != nil {
		return "", 0, err
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Close()); err != nil {
		return "", 0, err
	}
	path, err = filepath.Abs(file.Name())
	return path, len(raw), err
}

// freeUDPAddress returns a UDP address that is free. Its IP address is a random loopback address, so that the
// kernel is unlikely to assign the port to another process before the sidecar binds it.
func freeUDPAddress() (string, error) {
	ip := net.IPv4(127, byte(64+rand.N(64)), byte(rand.N(256)), byte(1+rand.N(254)))
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	return conn.LocalAddr().String(), conn.Close()
}

// measureStart measures the start of the sidecar, which must be ready already: the usage until now, and the
// usage until the sidecar watches its endpoint list.
func (tb *testbed) measureStart(ctx context.Context, timeout time.Duration) (err error) {
	cost := &tb.startCost
	if cost.ReadyCPU, cost.ReadyMemory, err = tb.sidecarUsage(); err != nil {
		return err
	}
	var discoveryCounts Counts
	if err = tb.discovery.call(ctx, "/watched", nil, &discoveryCounts); err != nil {
		return err
	}
	cost.ListBytes = discoveryCounts.BytesSent
	// When the sidecar watches, the endpoint list is in the queue of its event loop. A request that
	// is sent now is handled after the list.
	if err = tb.sendFirstRequest(ctx, timeout); err != nil {
		return err
	}
	cost.WatchCPU, cost.WatchMemory, err = tb.sidecarUsage()
	return err
}

// sendFirstRequest sends one request through the sidecar. It returns an error unless the request is answered
// 200 with a complete body.
func (tb *testbed) sendFirstRequest(ctx context.Context, timeout time.Duration) error {
	load := Load{Targets: []string{tb.sidecar.address}, Rate: 1000, Requests: 1, MaxInFlight: 1, Timeout: timeout, IDPrefix: "first"}
	client := newClient(1)
	defer client.CloseIdleConnections()
	result, err := load.Run(ctx, client)
	if err != nil {
		return err
	}
	if result.OK != 1 {
		return fmt.Errorf("send first request: %s", result.FirstError)
	}
	return nil
}

// sidecarUsage returns the CPU time that the sidecar has used since its start, and its current memory.
func (tb *testbed) sidecarUsage() (time.Duration, Memory, error) {
	cpu, err := cpuTime(tb.sidecar.pid())
	if err != nil {
		return 0, Memory{}, err
	}
	memory, err := readMemory(tb.sidecar.pid())
	return cpu, memory, err
}

// close stops all processes that were started, the sidecar first.
func (tb *testbed) close() (err error) {
	if tb.sidecar != nil {
		err = tb.sidecar.stop()
	}
	for _, s := range []*standIn{tb.server, tb.discovery, tb.peers} {
		if s != nil {
			err = errors.Join(err, s.stop())
		}
	}
	return err
}
