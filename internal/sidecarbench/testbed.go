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

// testbed is a running sidecar with its stand-ins.
type testbed struct {
	size                     FleetSize
	senders                  int // peers with a socket
	gossipAddress            string
	server, discovery, peers *standIn
	sidecar                  *sidecarProcess
	startCost                StartCost
}

// StartCost is what the start of a sidecar cost.
type StartCost struct {
	FleetSize
	ConfigBytes int
	ReadyCPU    time.Duration // processor time until GET /up was answered 200
	WatchCPU    time.Duration // processor time until it had the endpoint list and watched it for changes
	ReadyMemory Memory
	WatchMemory Memory
	ListBytes   int64 // that discovery sent until then
}

// newTestbed starts a sidecar for a fleet of that size and waits until it has its endpoint list. At most senders of its
// peers have a socket; its servers take serviceTime for a request.
func (b *Bench) newTestbed(ctx context.Context, size FleetSize, senders int, serviceTime time.Duration) (*testbed, error) {
	tb := &testbed{size: size, senders: max(0, min(senders, size.Peers-1))}
	if err := tb.start(ctx, b, serviceTime); err != nil {
		return nil, errors.Join(fmt.Errorf("%d peers, %d servers: %w", size.Peers, size.Servers, err), tb.close())
	}
	return tb, nil
}

// start starts all processes. After an error, close stops those that run.
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

// writeConfig writes the configuration of the sidecar, and returns the absolute path and the size in bytes.
func (tb *testbed) writeConfig(b *Bench) (path string, size int, err error) {
	if tb.gossipAddress, err = freeUDPAddress(); err != nil {
		return "", 0, err
	}
	raw, err := sidecarConfig(tb.size, environment{
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

// freeUDPAddress returns a free UDP address with an IP address of its own, where no other process gets the port by
// asking for any free one.
func freeUDPAddress() (string, error) {
	ip := net.IPv4(127, byte(64+rand.N(64)), byte(rand.N(256)), byte(1+rand.N(254)))
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	return conn.LocalAddr().String(), conn.Close()
}

// measureStart measures what the sidecar, which is ready, has used until now and until it watches its endpoint list.
func (tb *testbed) measureStart(ctx context.Context, timeout time.Duration) (err error) {
	cost := &tb.startCost
	if cost.ReadyCPU, cost.ReadyMemory, err = tb.sidecarUsage(); err != nil {
		return err
	}
	var seen Counts
	if err = tb.discovery.call(ctx, "/watched", nil, &seen); err != nil {
		return err
	}
	cost.ListBytes = seen.BytesSent
	// As the sidecar watches, the list is in its event queue. It handles a request after the list.
	if err = tb.sendFirstRequest(ctx, timeout); err != nil {
		return err
	}
	cost.WatchCPU, cost.WatchMemory, err = tb.sidecarUsage()
	return err
}

// sendFirstRequest sends one request through the sidecar. It returns an error if the response is not the right one.
func (tb *testbed) sendFirstRequest(ctx context.Context, timeout time.Duration) error {
	load := Load{Targets: []string{tb.sidecar.address}, Rate: 1000, Requests: 1, MaxInFlight: 1, Timeout: timeout, IDPrefix: "first"}
	client := newClient(1)
	defer client.CloseIdleConnections()
	result, err := load.Run(ctx, client)
	if err != nil {
		return err
	}
	if result.OK != 1 {
		return fmt.Errorf("the first request: %s", result.FirstError)
	}
	return nil
}

// sidecarUsage is the processor time that the sidecar has used, and its memory.
func (tb *testbed) sidecarUsage() (time.Duration, Memory, error) {
	cpu, err := cpuTime(tb.sidecar.pid())
	if err != nil {
		return 0, Memory{}, err
	}
	memory, err := readMemory(tb.sidecar.pid())
	return cpu, memory, err
}

// close stops all processes that were started.
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
