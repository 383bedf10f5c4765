package sidecarbench

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// RoleVariable is the environment variable that names the part which a process plays, for Play.
const RoleVariable = "OVERHEAD_ROLE"

// The parts. Each is a process of its own, so that its processor time is told apart from the sidecar's.
const (
	roleServer    = "server"    // map servers
	roleDiscovery = "discovery" // the list of servers
	rolePeers     = "peers"     // the other sidecars
	roleLoad      = "load"      // the application
)

// orders are what a part is told at its start, as one line of JSON on its standard input.
type orders struct {
	Addresses []string      // server: where to listen, port 0 for any. peers: where to send from
	Service   time.Duration // server: how long it takes over a call
	Servers   int           // discovery: how many it lists
	At        []string      // discovery: their addresses, in turns
	Open      int           // load: connections to a target at most
}

// whereabouts are what a part answers, as one line of JSON on its standard output, once it listens.
type whereabouts struct {
	Control string   // where it takes questions
	Serves  []string // where it does what it stands in for
}

// Counts are what a part has seen so far.
type Counts struct {
	Calls       int64 // server: requests that have an id. discovery: all
	Connections int64 // accepted
	In, Out     int64 // bytes read and written, without headers of TCP, UDP and IP
	Datagrams   int64 // peers: received
}

// counter keeps Counts.
type counter struct{ calls, connections, in, out, datagrams atomic.Int64 }

func (c *counter) counts() Counts {
	return Counts{c.calls.Load(), c.connections.Load(), c.in.Load(), c.out.Load(), c.datagrams.Load()}
}

// Play plays the part of that name until in ends, which is when whoever started it has ended.
func Play(ctx context.Context, role string, in io.Reader, out io.Writer) error {
	runtime.GOMAXPROCS(4) // none needs more, and an idle runtime is the quieter the fewer it has
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewReader(in)
	line, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("%s: orders: %w", role, err)
	}
	var o orders
	if err := json.Unmarshal(line, &o); err != nil {
		return fmt.Errorf("%s: orders: %w", role, err)
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("%s: control: %w", role, err)
	}
	mux, c := http.NewServeMux(), new(counter)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, c.counts(), nil) })
	var serves []string
	switch role {
	case roleServer:
		serves, err = playServer(o, c)
	case roleDiscovery:
		serves, err = playDiscovery(o, c, mux)
	case rolePeers:
		serves, err = playPeers(o, c, mux)
	case roleLoad:
		playLoad(o, mux)
	default:
		err = errors.New("no such part")
	}
	if err != nil {
		return fmt.Errorf("%s: %w", role, err)
	}
	server := &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = server.Serve(control) }() // it ends with the process
	defer server.Close()
	if err := json.NewEncoder(out).Encode(whereabouts{control.Addr().String(), serves}); err != nil {
		return fmt.Errorf("%s: whereabouts: %w", role, err)
	}
	_, err = io.Copy(io.Discard, lines)
	return err
}

// reply answers a question of the control side.
func reply(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // it fails if the asker has gone
}

// countingListener counts what passes over its connections.
type countingListener struct {
	net.Listener
	c *counter
}

type countingConn struct {
	net.Conn
	c *counter
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.c.connections.Add(1)
	return countingConn{conn, l.c}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.c.out.Add(int64(n))
	return n, err
}

// serve answers on an address.
func serve(address string, c *counter, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(countingListener{l, c}, h) }() // it ends with the process
	return l.Addr().String(), nil
}

// playServer stands in for map servers: each answers with a body of bodySize, at once where service is 0. Then what a
// call takes is what carrying it costs.
func playServer(o orders, c *counter) ([]string, error) {
	body := []byte(strings.Repeat("x", bodySize))
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") != "" {
			c.calls.Add(1)
		}
		if err := wait(r.Context(), o.Service); err != nil {
			return // the caller has gone
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(bodySize))
		_, _ = w.Write(body) // it fails if the caller has gone
	})
	var serves []string
	for _, address := range o.Addresses {
		at, err := serve(address, c, h)
		if err != nil {
			return nil, err
		}
		serves = append(serves, at)
	}
	return serves, nil
}

// generation is the version of the only list that there is.
const generation = 1

// listing is discovery's list of n servers that share some addresses in turns: a sidecar keeps what it knows of a
// server, and its connections, by the server's name.
func listing(n int, at []string, whole bool) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, `{"generation":%d,"reset":%t,"instances":[`, generation, whole)
	for i := range n {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"instanceId":"map-%05d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":"ready","weight":1.0,"startedAtMs":0,"machineType":"m4"}`,
			i, at[i%len(at)], i/8)
	}
	out.WriteString("]}")
	return []byte(out.String())
}

// playDiscovery stands in for discovery. Nothing ever changes: a watch is held as long as it may be, and then
// answered with no entries. GET /followed on the control side waits for the first watch that is held.
func playDiscovery(o orders, c *counter, mux *http.ServeMux) ([]string, error) {
	if len(o.At) == 0 {
		return nil, errors.New("no addresses to list")
	}
	whole, unchanged := listing(o.Servers, o.At, true), listing(0, o.At, false)
	followed, once := make(chan struct{}), sync.Once{}
	send := func(w http.ResponseWriter, answer []byte) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer) // it fails if the sidecar has gone
	}
	at, err := serve("127.0.0.1:0", c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.calls.Add(1)
		q := r.URL.Query()
		if q.Get("index") != strconv.Itoa(generation) {
			send(w, whole)
			return
		}
		wait, err := strconv.Atoi(q.Get("wait"))
		if err != nil {
			http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
			return
		}
		if wait > 1 {
			once.Do(func() { close(followed) })
		}
		held := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer held.Stop()
		select {
		case <-held.C:
			send(w, unchanged)
		case <-r.Context().Done():
		}
	}))
	if err != nil {
		return nil, err
	}
	mux.HandleFunc("GET /followed", func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-followed:
			reply(w, c.counts(), nil)
		case <-r.Context().Done():
		}
	})
	return []string{at}, nil
}

// telling is an order to tell news as other sidecars do.
type telling struct {
	To    string  // where the sidecar listens
	Rate  float64 // datagrams a second over all senders
	Count int     // datagrams
	Seed  uint64  // of their times
}

// playPeers stands in for the other sidecars: it counts what comes to the address of them all, and POST /tell on the
// control side has it send news, its senders by turns. The times are a Poisson process, which is what many senders,
// each at its own pace, come to together.
func playPeers(o orders, c *counter, mux *http.ServeMux) ([]string, error) {
	all, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	go func() {
		buf := make([]byte, gossip.MaxDatagram+1)
		for {
			n, err := all.Read(buf)
			if err != nil {
				return
			}
			c.datagrams.Add(1)
			c.in.Add(int64(n))
		}
	}()
	serves := []string{all.LocalAddr().String()}
	var senders []*net.UDPConn
	for _, address := range o.Addresses {
		from, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(from))
		if err != nil {
			return nil, err
		}
		senders = append(senders, s)
		serves = append(serves, s.LocalAddr().String())
	}
	mux.HandleFunc("POST /tell", func(w http.ResponseWriter, r *http.Request) {
		var t telling
		err := json.NewDecoder(r.Body).Decode(&t)
		if err == nil {
			err = t.run(r.Context(), senders, c)
		}
		reply(w, c.counts(), err)
	})
	return serves, nil
}

func (t telling) run(ctx context.Context, senders []*net.UDPConn, c *counter) error {
	to, err := netip.ParseAddrPort(t.To)
	if err != nil {
		return err
	}
	if len(senders) == 0 || t.Rate <= 0 {
		return errors.New("no senders, or no rate")
	}
	rng := rand.New(rand.NewPCG(t.Seed, 0))
	at := time.Duration(0)
	return pace(ctx, t.Count, func(int) time.Duration {
		at += time.Duration(rng.ExpFloat64() / t.Rate * float64(time.Second))
		return at
	}, func(i int, _ time.Time) error {
		// A calm fleet: answers at a tenth of the aim.
		news := policy.GossipMessage{SentAt: time.Duration(time.Now().UnixNano()), RequestRate: callsEach, Responses: callsEach, Congestion: 0.01}
		n, err := senders[i%len(senders)].WriteToUDPAddrPort(gossip.Encode(news), to)
		c.out.Add(int64(n))
		return err
	})
}

// playLoad makes loads: POST /load on the control side.
func playLoad(o orders, mux *http.ServeMux) {
	client := newClient(o.Open)
	mux.HandleFunc("POST /load", func(w http.ResponseWriter, r *http.Request) {
		var l Load
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
			reply(w, nil, err)
			return
		}
		before, err := cpuTime(os.Getpid())
		if err != nil {
			reply(w, nil, err)
			return
		}
		result, err := l.Run(r.Context(), client)
		if err == nil {
			result.Took, err = cpuTime(os.Getpid())
			result.Took -= before
		}
		reply(w, result, err)
	})
}
