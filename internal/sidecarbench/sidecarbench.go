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
	serverAddresses = 16  // that all listed servers share
	mostSenders     = 500 // peers that have a socket: the rest are only listed
	openMost        = 64  // calls under way at most
)

// Setup has what all measurements need.
type Setup struct {
	Program string // the path of the sidecar's program
	Self    string // the path of a program that plays parts
	Dir     string // for configurations; it is the caller's to remove
	Aim     time.Duration
}

// rig is a sidecar with its surroundings.
type rig struct {
	size                     Size
	aim                      time.Duration
	senders                  int
	peerListen               string
	server, discovery, peers *part
	sidecar                  *sidecar
	start                    Start
}

// Start is what a sidecar took to start.
type Start struct {
	Size
	ConfigBytes int
	Ready       time.Duration // processor time until GET /up was answered 200
	Followed    time.Duration // and until it held a watch of the list, with the whole list taken
	AtReady     Memory
	AtFollowed  Memory
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

// set starts a sidecar of that size and waits until it has taken its list. Its senders are at most so many of its
// peers that have sockets to tell from; its servers take service over a call.
func (b *Setup) set(ctx context.Context, z Size, senders int, service time.Duration) (r *rig, err error) {
	r = &rig{size: z, aim: b.Aim, senders: max(0, min(senders, z.Peers-1))}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("%d peers, %d servers: %w", z.Peers, z.Servers, err), r.end())
		}
	}()
	o := orders{Service: service}
	for i := range serverAddresses {
		o.Addresses = append(o.Addresses, fmt.Sprintf("127.0.1.%d:0", i+1))
	}
	if r.server, err = startPart(ctx, b.Self, roleServer, o); err != nil {
		return r, err
	}
	if r.discovery, err = startPart(ctx, b.Self, roleDiscovery, orders{Servers: z.Servers, At: r.server.at.Serves}); err != nil {
		return r, err
	}
	o = orders{}
	for range r.senders {
		o.Addresses = append(o.Addresses, "127.0.0.1:0")
	}
	if r.peers, err = startPart(ctx, b.Self, rolePeers, o); err != nil {
		return r, err
	}
	if r.peerListen, err = freeAddress(); err != nil {
		return r, err
	}
	raw, err := config(z, place{peerListen: r.peerListen, peersAll: r.peers.at.Serves[0], senders: r.peers.at.Serves[1:],
		discovery: r.discovery.at.Serves[0], servers: r.server.at.Serves, aimMS: b.Aim.Seconds() * 1000})
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
	r.start = Start{Size: z, ConfigBytes: len(raw)}
	if r.start.Ready, r.start.AtReady, err = r.used(); err != nil {
		return r, err
	}
	var seen Counts
	if err = r.discovery.ask(ctx, "/followed", nil, &seen); err != nil {
		return r, err
	}
	r.start.ListBytes = seen.Out
	// It watches, so the list is among the events of its loop; a call after it is answered once it is taken.
	one := Load{Targets: []string{r.sidecar.address}, Rate: 1000, Calls: 1, Open: 1, Limit: b.Aim, Name: "first"}
	client := newClient(1)
	defer client.CloseIdleConnections()
	result, err := one.Run(ctx, client)
	if err != nil {
		return r, err
	}
	if result.OK != 1 {
		return r, fmt.Errorf("the first call: %s", result.First)
	}
	r.start.Followed, r.start.AtFollowed, err = r.used()
	return r, err
}

// used is the processor time that the sidecar has taken, and its memory.
func (r *rig) used() (time.Duration, Memory, error) {
	t, err := cpuTime(r.sidecar.pid())
	if err != nil {
		return 0, Memory{}, err
	}
	m, err := memory(r.sidecar.pid())
	return t, m, err
}

// end stops everything that runs.
func (r *rig) end() (err error) {
	if r.sidecar != nil {
		err = r.sidecar.stop()
	}
	for _, p := range []*part{r.server, r.discovery, r.peers} {
		if p != nil {
			err = errors.Join(err, p.stop())
		}
	}
	return err
}

// Block is a while of calls of one kind.
type Block struct {
	Result          LoadResult
	Sidecar, Server time.Duration // processor time that each took meanwhile; the load's is in Result
	Connections     int64         // that the servers accepted meanwhile
}

// Calls is what calls cost, direct and through a sidecar, in pairs of blocks with the same schedule.
type Calls struct {
	Size
	Rate            float64
	Direct, Through []Block
	User, System    time.Duration // of the sidecar's process, over its whole life (rusage)
	Served          int64         // calls that the servers have counted, the first ones included
	Sent            int64         // calls that were made, these included
	Warnings        int64         // in the sidecar's log
	After           Memory        // of the sidecar, after all blocks
}

// Call measures so many pairs of blocks of so many calls. Which of a pair comes first changes with each. A shorter pair
// goes ahead that is not counted.
func (b *Setup) Call(ctx context.Context, z Size, rate float64, calls, pairs int) (c Calls, err error) {
	r, err := b.set(ctx, z, 0, 0)
	if err != nil {
		return Calls{}, err
	}
	load, err := startPart(ctx, b.Self, roleLoad, orders{Open: openMost})
	if err != nil {
		return Calls{}, errors.Join(err, r.end())
	}
	c = Calls{Size: z, Rate: rate, Sent: 1}
	block := func(through bool, calls int) (Block, error) {
		l := Load{Targets: r.server.at.Serves, Rate: rate, Calls: calls, Open: openMost, Limit: 2 * b.Aim,
			Name: fmt.Sprintf("b%d", c.Sent)}
		if through {
			l.Targets = []string{r.sidecar.address}
		}
		c.Sent += int64(calls)
		return r.block(ctx, load, l)
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
					c.Through = append(c.Through, bl)
				default:
					c.Direct = append(c.Direct, bl)
				}
			}
		}
		seen, err := r.server.counts(ctx)
		if err != nil {
			return err
		}
		c.Served = seen.Calls
		c.After, err = memory(r.sidecar.pid())
		return err
	}()
	c.Warnings = r.sidecar.noted.Load()
	err = errors.Join(err, load.stop()) // first: the sidecar waits for its connections
	err = errors.Join(err, r.end())
	if err != nil {
		return c, fmt.Errorf("calls: %w", err)
	}
	state := r.sidecar.cmd.ProcessState
	c.User, c.System = state.UserTime(), state.SystemTime()
	return c, nil
}

// block makes a load and reads the processes' clocks around it.
func (r *rig) block(ctx context.Context, load *part, l Load) (b Block, err error) {
	processes := map[*time.Duration]int{&b.Sidecar: r.sidecar.pid(), &b.Server: r.server.cmd.Process.Pid}
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
	if err := load.ask(ctx, "/load", l, &b.Result); err != nil {
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

// Idle is what a sidecar with no traffic takes.
type Idle struct {
	Start
	Over  time.Duration // how long it was watched
	Took  time.Duration // processor time meanwhile
	After Memory
	List  Counts // what discovery saw of it meanwhile
	Told  Counts // and its peers: how many datagrams, and their bytes
}

// Idle watches sidecars of these sizes, all at once: they take next to nothing. They are started one by one.
func (b *Setup) Idle(ctx context.Context, sizes []Size, over time.Duration) (out []Idle, err error) {
	var rigs []*rig
	defer func() {
		for _, r := range rigs {
			err = errors.Join(err, r.end())
		}
	}()
	for _, z := range sizes {
		r, err := b.set(ctx, z, 0, 0)
		if err != nil {
			return nil, err
		}
		rigs = append(rigs, r)
	}
	look := func(sign int64) error {
		for i, r := range rigs {
			seen := &out[i]
			took, after, err := r.used()
			if err != nil {
				return err
			}
			seen.Took += time.Duration(sign) * took
			seen.After = after
			list, err := r.discovery.counts(ctx)
			if err != nil {
				return err
			}
			told, err := r.peers.counts(ctx)
			if err != nil {
				return err
			}
			seen.List, seen.Told = seen.List.plus(list, sign), seen.Told.plus(told, sign)
		}
		return nil
	}
	for _, r := range rigs {
		out = append(out, Idle{Start: r.start, Over: over})
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
	return Counts{c.Calls + sign*d.Calls, c.Connections + sign*d.Connections, c.In + sign*d.In, c.Out + sign*d.Out,
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

// Told is what it costs a sidecar to hear its peers.
type Told struct {
	Size
	Senders      int     // peers that told in the name of all
	Rate         float64 // datagrams a second
	Silent, Told []While // in pairs
	Heard        int64   // datagrams that the sidecar has taken, as its log last said (every 10 s)
}

// While is a while in a sidecar's life.
type While struct {
	Over      time.Duration
	Took      time.Duration // processor time
	Datagrams int           // sent to it
	Dropped   int           // of these, by the kernel: its socket was full
	Calls, OK int           // made, and answered 200
}

// Hear measures pairs of whiles in which the sidecar hears nothing, and as many datagrams as its peers send when each
// tells once an aim. No calls come meanwhile.
func (b *Setup) Hear(ctx context.Context, z Size, over time.Duration, pairs int) (t Told, err error) {
	r, err := b.set(ctx, z, mostSenders, 0)
	if err != nil {
		return Told{}, err
	}
	defer func() { err = errors.Join(err, r.end()) }()
	t = Told{Size: z, Senders: r.senders, Rate: float64(z.Peers-1) / b.Aim.Seconds()}
	for pair := range pairs {
		for turn := range 2 {
			order := telling{To: r.peerListen, Rate: t.Rate, Seed: uint64(pair)}
			if (pair+turn)%2 == 0 {
				order.Count = max(1, int(t.Rate*over.Seconds()))
			}
			w, err := r.while(ctx, order, nil, Load{}, over)
			if err != nil {
				return t, fmt.Errorf("hearing: %w", err)
			}
			if w.Datagrams > 0 {
				t.Told = append(t.Told, w)
			} else {
				t.Silent = append(t.Silent, w)
			}
		}
	}
	t.Heard = r.sidecar.heard.Load()
	return t, nil
}

// while has the sidecar told what the order says, if anything, and called as l says, if there is a load to do it. It
// watches the sidecar until that is over, and for so long at least.
func (r *rig) while(ctx context.Context, order telling, load *part, l Load, over time.Duration) (While, error) {
	drops, _, err := socketState(r.peerListen)
	if err != nil {
		return While{}, err
	}
	begun := time.Now()
	before, err := cpuTime(r.sidecar.pid())
	if err != nil {
		return While{}, err
	}
	ended, running := make(chan error, 2), 0
	if order.Count > 0 {
		running++
		go func() { ended <- r.peers.ask(ctx, "/tell", order, new(Counts)) }()
	}
	var result LoadResult
	if load != nil {
		running++
		go func() { ended <- load.ask(ctx, "/load", l, &result) }()
	}
	err = wait(ctx, over)
	for range running {
		err = errors.Join(err, <-ended)
	}
	if err != nil {
		return While{}, err
	}
	after, err := cpuTime(r.sidecar.pid())
	if err != nil {
		return While{}, err
	}
	w := While{Over: time.Since(begun), Took: after - before, Datagrams: order.Count, Calls: result.Calls, OK: result.OK}
	dropped, _, err := socketState(r.peerListen)
	w.Dropped = int(dropped - drops)
	return w, err
}

// Shares tells what a sidecar's processor time goes to, in whiles with and without calls and datagrams, in turns.
type Shares struct {
	Size
	Service                      time.Duration // that servers take over a call
	Rate, Told                   float64       // calls and datagrams a second
	Neither, Called, Heard, Both []While
}

// Share measures rounds of such whiles, of so long each.
func (b *Setup) Share(ctx context.Context, z Size, rate float64, service, over time.Duration, rounds int) (s Shares, err error) {
	r, err := b.set(ctx, z, mostSenders, service)
	if err != nil {
		return Shares{}, err
	}
	load, err := startPart(ctx, b.Self, roleLoad, orders{Open: openMost})
	if err != nil {
		return Shares{}, errors.Join(err, r.end())
	}
	defer func() { err = errors.Join(err, load.stop(), r.end()) }() // in this order: the sidecar waits for connections
	s = Shares{Size: z, Service: service, Rate: rate, Told: float64(z.Peers-1) / b.Aim.Seconds()}
	kinds := []struct {
		called, told bool
		to           *[]While
	}{{false, false, &s.Neither}, {true, false, &s.Called}, {false, true, &s.Heard}, {true, true, &s.Both}}
	for round := range rounds {
		for turn := range kinds {
			k := kinds[(round+turn)%len(kinds)]
			var calls *part
			l := Load{Targets: []string{r.sidecar.address}, Rate: rate, Calls: max(1, int(rate*over.Seconds())), Open: openMost,
				Limit: 2 * b.Aim, Name: fmt.Sprintf("r%d-%d", round, turn)}
			if k.called {
				calls = load
			}
			order := telling{To: r.peerListen, Rate: s.Told, Seed: uint64(round)}
			if k.told {
				order.Count = max(1, int(s.Told*over.Seconds()))
			}
			w, err := r.while(ctx, order, calls, l, over)
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
	all := hdrhistogram.New(leastTime, mostTime, timeFigures)
	for _, b := range blocks {
		all.Merge(hdrhistogram.Import(of(b.Result)))
	}
	return all
}
