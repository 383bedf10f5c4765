// Package sidecarbench measures what a sidecar costs, on real processes over loopback: what it adds to a call, in time and
// in processor time, and what it takes with no traffic, by how much of a fleet it is told.
//
// The program runs as it is deployed. Beside it run stand-ins for all that it talks to, each a process of its own:
// map servers that answer at once, discovery, the other sidecars and the application. A program that uses this package
// plays such a part itself, when it finds RoleVariable set: see Play. All addresses are in 127.0.0.0/8.
//
// What is compared is measured in turns, in short blocks close to one another (direct and through the sidecar, silent
// and told), so that what else the machine does meets both alike. A figure is the mean of the differences of such
// pairs, with their spread.
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

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	serverAddressCount = 16  // that all listed servers share
	maxSenders         = 500 // peers that have a socket: the rest are only listed
	maxInFlight        = 64  // calls under way at most
)

// Bench has what all measurements need.
type Bench struct {
	Program          string // the path of the sidecar's program
	StandIn          string // the path of a program that plays parts
	Dir              string // for configurations; it is the caller's to remove
	LatencyObjective time.Duration
}

// testbed is a sidecar with its surroundings.
type testbed struct {
	size                     FleetSize
	latencyObjective         time.Duration
	senders                  int
	gossipAddress            string
	server, discovery, peers *standIn
	sidecar                  *sidecarProcess
	startCost                StartCost
}

// StartCost is what a sidecar took to start.
type StartCost struct {
	FleetSize
	ConfigBytes int
	ReadyCPU    time.Duration // processor time until GET /up was answered 200
	WatchCPU    time.Duration // and until it held a watch of the list, with the whole list taken
	ReadyMemory Memory
	WatchMemory Memory
	ListBytes   int64 // that discovery sent until then
}

// freeAddress finds a UDP address that nobody listens at, at an IP address of its own: there nobody gets its port who
// asks for any.
func freeAddress() (string, error) {
	ip := net.IPv4(127, byte(64+rand.N(64)), byte(rand.N(256)), byte(1+rand.N(254)))
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	return c.LocalAddr().String(), c.Close()
}

// newTestbed starts a sidecar of that size and waits until it has taken its list. Its senders are at most so many of its
// peers that have sockets to tell from; its servers take service over a call.
func (b *Bench) newTestbed(ctx context.Context, z FleetSize, senders int, service time.Duration) (r *testbed, err error) {
	r = &testbed{size: z, latencyObjective: b.LatencyObjective, senders: max(0, min(senders, z.Peers-1))}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("%d peers, %d servers: %w", z.Peers, z.Servers, err), r.close())
		}
	}()
	o := standInConfig{ServiceTime: service}
	for i := range serverAddressCount {
		o.Addresses = append(o.Addresses, fmt.Sprintf("127.0.1.%d:0", i+1))
	}
	if r.server, err = startStandIn(ctx, b.StandIn, roleServer, o); err != nil {
		return r, err
	}
	if r.discovery, err = startStandIn(ctx, b.StandIn, roleDiscovery, standInConfig{Servers: z.Servers, ServerAddresses: r.server.addresses.Service}); err != nil {
		return r, err
	}
	o = standInConfig{}
	for range r.senders {
		o.Addresses = append(o.Addresses, "127.0.0.1:0")
	}
	if r.peers, err = startStandIn(ctx, b.StandIn, rolePeers, o); err != nil {
		return r, err
	}
	if r.gossipAddress, err = freeAddress(); err != nil {
		return r, err
	}
	raw, err := sidecarConfig(z, environment{gossipAddress: r.gossipAddress, broadcastAddress: r.peers.addresses.Service[0], peerAddresses: r.peers.addresses.Service[1:],
		discoveryAddress: r.discovery.addresses.Service[0], serverAddresses: r.server.addresses.Service, latencyObjectiveMS: b.LatencyObjective.Seconds() * 1000})
	if err != nil {
		return r, err
	}
	file, err := os.CreateTemp(b.Dir, "config-*.json")
	if err != nil {
		return r, err
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Close()); err != nil {
		return r, err
	}
	path, err := filepath.Abs(file.Name())
	if err != nil {
		return r, err
	}
	if r.sidecar, err = startSidecar(ctx, b.Program, path); err != nil {
		return r, err
	}
	r.startCost = StartCost{FleetSize: z, ConfigBytes: len(raw)}
	if r.startCost.ReadyCPU, r.startCost.ReadyMemory, err = r.sidecarUsage(); err != nil {
		return r, err
	}
	var seen Counts
	if err = r.discovery.call(ctx, "/followed", nil, &seen); err != nil {
		return r, err
	}
	r.startCost.ListBytes = seen.BytesSent
	// It watches, so the list is among the events of its loop; a call after it is answered once it is taken.
	one := Load{Targets: []string{r.sidecar.address}, Rate: 1000, Requests: 1, MaxInFlight: 1, Timeout: b.LatencyObjective, IDPrefix: "first"}
	client := newClient(1)
	defer client.CloseIdleConnections()
	result, err := one.Run(ctx, client)
	if err != nil {
		return r, err
	}
	if result.OK != 1 {
		return r, fmt.Errorf("the first call: %s", result.FirstError)
	}
	r.startCost.WatchCPU, r.startCost.WatchMemory, err = r.sidecarUsage()
	return r, err
}

// sidecarUsage is the processor time that the sidecar has taken, and its memory.
func (r *testbed) sidecarUsage() (time.Duration, Memory, error) {
	t, err := cpuTime(r.sidecar.pid())
	if err != nil {
		return 0, Memory{}, err
	}
	m, err := readMemory(r.sidecar.pid())
	return t, m, err
}

// close stops everything that runs.
func (r *testbed) close() (err error) {
	if r.sidecar != nil {
		err = r.sidecar.stop()
	}
	for _, p := range []*standIn{r.server, r.discovery, r.peers} {
		if p != nil {
			err = errors.Join(err, p.stop())
		}
	}
	return err
}

// Block is a while of calls of one kind.
type Block struct {
	Result                LoadResult
	SidecarCPU, ServerCPU time.Duration // processor time that each took meanwhile; the load's is in Result
	Connections           int64         // that the servers accepted meanwhile
}

// RequestCost is what calls cost, direct and through a sidecar, in pairs of blocks with the same schedule.
type RequestCost struct {
	FleetSize
	Rate               float64
	Direct, Proxied    []Block
	UserCPU, SystemCPU time.Duration // of the sidecar's process, over its whole life (rusage)
	Served             int64         // calls that the servers have counted, the first ones included
	Sent               int64         // calls that were made, these included
	Warnings           int64         // in the sidecar's log
	Memory             Memory        // of the sidecar, after all blocks
}

// MeasureRequests measures so many pairs of blocks of so many calls. Which of a pair comes first changes with each. A shorter pair
// goes ahead that is not counted.
func (b *Bench) MeasureRequests(ctx context.Context, z FleetSize, rate float64, calls, pairs int) (c RequestCost, err error) {
	r, err := b.newTestbed(ctx, z, 0, 0)
	if err != nil {
		return RequestCost{}, err
	}
	load, err := startStandIn(ctx, b.StandIn, roleLoad, standInConfig{MaxConnections: maxInFlight})
	if err != nil {
		return RequestCost{}, errors.Join(err, r.close())
	}
	c = RequestCost{FleetSize: z, Rate: rate, Sent: 1}
	block := func(through bool, calls int) (Block, error) {
		l := Load{Targets: r.server.addresses.Service, Rate: rate, Requests: calls, MaxInFlight: maxInFlight, Timeout: 2 * b.LatencyObjective,
			IDPrefix: fmt.Sprintf("b%d", c.Sent)}
		if through {
			l.Targets = []string{r.sidecar.address}
		}
		c.Sent += int64(calls)
		return r.measureBlock(ctx, load, l)
	}
	err = func() error {
		for pair := -1; pair < pairs; pair++ {
			for turn := range 2 {
				through, n := (pair+turn)%2 == 0, calls
				if pair < 0 {
					through, n = turn == 0, max(1, calls/4)
				}
				bl, err := block(through, n)
				switch {
				case err != nil:
					return err
				case pair < 0:
				case through:
					c.Proxied = append(c.Proxied, bl)
				default:
					c.Direct = append(c.Direct, bl)
				}
			}
		}
		seen, err := r.server.counts(ctx)
		if err != nil {
			return err
		}
		c.Served = seen.Requests
		c.Memory, err = readMemory(r.sidecar.pid())
		return err
	}()
	c.Warnings = r.sidecar.warnings.Load()
	err = errors.Join(err, load.stop()) // first: the sidecar waits for its connections
	err = errors.Join(err, r.close())
	if err != nil {
		return c, fmt.Errorf("calls: %w", err)
	}
	state := r.sidecar.cmd.ProcessState
	c.UserCPU, c.SystemCPU = state.UserTime(), state.SystemTime()
	return c, nil
}

// measureBlock makes a load and reads the processes' clocks around it.
func (r *testbed) measureBlock(ctx context.Context, load *standIn, l Load) (b Block, err error) {
	processes := map[*time.Duration]int{&b.SidecarCPU: r.sidecar.pid(), &b.ServerCPU: r.server.cmd.Process.Pid}
	seen, err := r.server.counts(ctx)
	if err != nil {
		return b, err
	}
	b.Connections = -seen.Connections
	for at, pid := range processes {
		before, err := cpuTime(pid)
		if err != nil {
			return b, err
		}
		*at = -before
	}
	if err := load.call(ctx, "/load", l, &b.Result); err != nil {
		return b, err
	}
	for at, pid := range processes {
		after, err := cpuTime(pid)
		if err != nil {
			return b, err
		}
		*at += after
	}
	seen, err = r.server.counts(ctx)
	b.Connections += seen.Connections
	return b, err
}

// IdleCost is what a sidecar with no traffic takes.
type IdleCost struct {
	StartCost
	Duration  time.Duration // how long it was watched
	CPU       time.Duration // processor time meanwhile
	Memory    Memory
	Discovery Counts // what discovery saw of it meanwhile
	Gossip    Counts // and its peers: how many datagrams, and their bytes
}

// MeasureIdle watches sidecars of these sizes, all at once: they take next to nothing. They are started one by one.
func (b *Bench) MeasureIdle(ctx context.Context, sizes []FleetSize, over time.Duration) (out []IdleCost, err error) {
	var rigs []*testbed
	defer func() {
		for _, r := range rigs {
			err = errors.Join(err, r.close())
		}
	}()
	for _, z := range sizes {
		r, err := b.newTestbed(ctx, z, 0, 0)
		if err != nil {
			return nil, err
		}
		rigs = append(rigs, r)
	}
	look := func(sign int64) error {
		for i, r := range rigs {
			seen := &out[i]
			took, after, err := r.sidecarUsage()
			if err != nil {
				return err
			}
			seen.CPU += time.Duration(sign) * took
			seen.Memory = after
			list, err := r.discovery.counts(ctx)
			if err != nil {
				return err
			}
			told, err := r.peers.counts(ctx)
			if err != nil {
				return err
			}
			seen.Discovery, seen.Gossip = seen.Discovery.plus(list, sign), seen.Gossip.plus(told, sign)
		}
		return nil
	}
	for _, r := range rigs {
		out = append(out, IdleCost{StartCost: r.startCost, Duration: over})
	}
	if err := look(-1); err != nil {
		return nil, err
	}
	if err := wait(ctx, over); err != nil {
		return nil, err
	}
	return out, look(1)
}

func (c Counts) plus(d Counts, sign int64) Counts {
	return Counts{c.Requests + sign*d.Requests, c.Connections + sign*d.Connections, c.BytesReceived + sign*d.BytesReceived, c.BytesSent + sign*d.BytesSent,
		c.Datagrams + sign*d.Datagrams}
}

// wait waits for so long, or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// GossipCost is what it costs a sidecar to hear its peers.
type GossipCost struct {
	FleetSize
	Senders           int        // peers that told in the name of all
	Rate              float64    // datagrams a second
	Silent, Receiving []Interval // in pairs
	Received          int64      // datagrams that the sidecar has taken, as its log last said (every 10 s)
}

// Interval is a while in a sidecar's life.
type Interval struct {
	Duration     time.Duration
	CPU          time.Duration // processor time
	Datagrams    int           // sent to it
	Dropped      int           // of these, by the kernel: its socket was full
	Requests, OK int           // made, and answered 200
}

// MeasureGossip measures pairs of whiles in which the sidecar hears nothing, and as many datagrams as its peers send when each
// tells once an aim. No calls come meanwhile.
func (b *Bench) MeasureGossip(ctx context.Context, z FleetSize, over time.Duration, pairs int) (t GossipCost, err error) {
	r, err := b.newTestbed(ctx, z, maxSenders, 0)
	if err != nil {
		return GossipCost{}, err
	}
	defer func() { err = errors.Join(err, r.close()) }()
	t = GossipCost{FleetSize: z, Senders: r.senders, Rate: float64(z.Peers-1) / b.LatencyObjective.Seconds()}
	for pair := range pairs {
		for turn := range 2 {
			order := gossipLoad{Target: r.gossipAddress, Rate: t.Rate, Seed: uint64(pair)}
			if (pair+turn)%2 == 0 {
				order.Count = max(1, int(t.Rate*over.Seconds()))
			}
			w, err := r.measureInterval(ctx, order, nil, Load{}, over)
			if err != nil {
				return t, fmt.Errorf("hearing: %w", err)
			}
			if w.Datagrams > 0 {
				t.Receiving = append(t.Receiving, w)
			} else {
				t.Silent = append(t.Silent, w)
			}
		}
	}
	t.Received = r.sidecar.gossipReceived.Load()
	return t, nil
}

// measureInterval has the sidecar told what the order says, if anything, and called as l says, if there is a load to do it. It
// watches the sidecar until that is over, and for so long at least.
func (r *testbed) measureInterval(ctx context.Context, order gossipLoad, load *standIn, l Load, over time.Duration) (Interval, error) {
	drops, _, err := udpSocketState(r.gossipAddress)
	if err != nil {
		return Interval{}, err
	}
	begun := time.Now()
	before, err := cpuTime(r.sidecar.pid())
	if err != nil {
		return Interval{}, err
	}
	ended, running := make(chan error, 2), 0
	if order.Count > 0 {
		running++
		go func() { ended <- r.peers.call(ctx, "/tell", order, new(Counts)) }()
	}
	var result LoadResult
	if load != nil {
		running++
		go func() { ended <- load.call(ctx, "/load", l, &result) }()
	}
	err = wait(ctx, over)
	for range running {
		err = errors.Join(err, <-ended)
	}
	if err != nil {
		return Interval{}, err
	}
	after, err := cpuTime(r.sidecar.pid())
	if err != nil {
		return Interval{}, err
	}
	w := Interval{Duration: time.Since(begun), CPU: after - before, Datagrams: order.Count, Requests: result.Requests, OK: result.OK}
	dropped, _, err := udpSocketState(r.gossipAddress)
	w.Dropped = int(dropped - drops)
	return w, err
}

// CPUBreakdown tells what a sidecar's processor time goes to, in whiles with and without calls and datagrams, in turns.
type CPUBreakdown struct {
	FleetSize
	ServiceTime                  time.Duration // that servers take over a call
	RequestRate, GossipRate      float64       // calls and datagrams a second
	Idle, Requests, Gossip, Both []Interval
}

// MeasureCPUBreakdown measures rounds of such whiles, of so long each.
func (b *Bench) MeasureCPUBreakdown(ctx context.Context, z FleetSize, rate float64, service, over time.Duration, rounds int) (s CPUBreakdown, err error) {
	r, err := b.newTestbed(ctx, z, maxSenders, service)
	if err != nil {
		return CPUBreakdown{}, err
	}
	load, err := startStandIn(ctx, b.StandIn, roleLoad, standInConfig{MaxConnections: maxInFlight})
	if err != nil {
		return CPUBreakdown{}, errors.Join(err, r.close())
	}
	defer func() { err = errors.Join(err, load.stop(), r.close()) }() // in this order: the sidecar waits for connections
	s = CPUBreakdown{FleetSize: z, ServiceTime: service, RequestRate: rate, GossipRate: float64(z.Peers-1) / b.LatencyObjective.Seconds()}
	kinds := []struct {
		called, told bool
		to           *[]Interval
	}{{false, false, &s.Idle}, {true, false, &s.Requests}, {false, true, &s.Gossip}, {true, true, &s.Both}}
	for round := range rounds {
		for turn := range kinds {
			k := kinds[(round+turn)%len(kinds)]
			var calls *standIn
			l := Load{Targets: []string{r.sidecar.address}, Rate: rate, Requests: max(1, int(rate*over.Seconds())), MaxInFlight: maxInFlight,
				Timeout: 2 * b.LatencyObjective, IDPrefix: fmt.Sprintf("r%d-%d", round, turn)}
			if k.called {
				calls = load
			}
			order := gossipLoad{Target: r.gossipAddress, Rate: s.GossipRate, Seed: uint64(round)}
			if k.told {
				order.Count = max(1, int(s.GossipRate*over.Seconds()))
			}
			w, err := r.measureInterval(ctx, order, calls, l, over)
			if err != nil {
				return s, fmt.Errorf("shares: %w", err)
			}
			*k.to = append(*k.to, w)
		}
	}
	return s, nil
}

// latencies are the calls of some blocks together.
func latencies(blocks []Block, of func(LoadResult) *hdrhistogram.Snapshot) *hdrhistogram.Histogram {
	all := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	for _, b := range blocks {
		all.Merge(hdrhistogram.Import(of(b.Result)))
	}
	return all
}
