package sidecarbench

import (
	"context"
	"flag"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var (
	measure = flag.Bool("measure", false, "TestOverhead plays its long form and prints tables")
	pairs   = flag.Int("pairs", 8, "pairs of blocks that the long form compares calls by")
)

// generousTimeout is the aim of what is only checked: nothing on a busy machine takes that long.
const generousTimeout = 20 * time.Second

// TestMain lets the test program play the parts beside the sidecar.
func TestMain(m *testing.M) {
	if role := os.Getenv(RoleVariable); role != "" {
		if err := RunStandIn(context.Background(), role, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// buildSidecar builds the sidecar as it is deployed.
func buildSidecar(t *testing.T) string {
	t.Helper()
	root := filepath.Join("..", "..")
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	build := regexp.MustCompile(`(?m)^build = "mkdir -p bin && (.* -o) bin/ \./cmd/\.\.\."$`).FindSubmatch(raw)
	if build == nil {
		t.Fatal("deploy/balancer.toml builds in another way than this test knows")
	}
	path := filepath.Join(t.TempDir(), "sidecar")
	cmd := exec.Command("bash", "-c", string(build[1])+` "$0" ./cmd/sidecar`, path)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", cmd, err, out)
	}
	return path
}

func newBench(t *testing.T, aim time.Duration) *Bench {
	t.Helper()
	return &Bench{Program: buildSidecar(t), StandIn: os.Args[0], Dir: t.TempDir(), LatencyObjective: aim}
}

// Every call through the real program is answered 200 and reaches a server once, and every datagram of a listed peer
// is taken in. With -measure it is the measurement itself: the figures are printed, none is judged.
func TestOverhead(t *testing.T) {
	if *measure {
		measureAll(t)
		return
	}
	b, ctx := newBench(t, generousTimeout), t.Context()
	calls, err := b.MeasureRequests(ctx, FleetSize{Peers: 16, Servers: 16, ListInConfig: true}, meanRequestRate, 100, 1)
	if err != nil {
		t.Fatal(err)
	}
	if calls.Served != calls.Sent {
		t.Errorf("%d calls were made, servers were asked %d times", calls.Sent, calls.Served)
	}
	for path, blocks := range map[string][]Block{"direct": calls.Direct, "sidecar": calls.Proxied} {
		if len(blocks) != 1 {
			t.Fatalf("%s: %d blocks", path, len(blocks))
		}
		r := blocks[0].Result
		if r.Requests != 100 || r.OK != 100 || r.WrongResponses != 0 || r.Failed != 0 {
			t.Errorf("%s: %d calls, 200: %d, wrong %d, failed %d: %s", path, r.Requests, r.OK, r.WrongResponses, r.Failed, r.FirstError)
		}
		if n := hdrhistogram.Import(r.Latency).TotalCount(); n != 100 {
			t.Errorf("%s: %d times", path, n)
		}
	}
	if calls.Proxied[0].SidecarCPU <= 0 {
		t.Error("the sidecar carried calls in no time at all")
	}
	shares, err := b.MeasureCPUBreakdown(ctx, FleetSize{Peers: 41, Servers: 16, ListInConfig: true}, 40, 10*time.Millisecond, 100*time.Millisecond, 1)
	if err != nil {
		t.Fatal(err)
	}
	for kind, w := range map[string][2][]Interval{"calls": {shares.Requests, shares.Both}, "none": {shares.Idle, shares.Gossip}} {
		want := map[string]int{"calls": 4, "none": 0}[kind]
		for _, w := range w {
			if len(w) != 1 || w[0].Requests != want || w[0].OK != want {
				t.Errorf("%s: %+v, want one while with %d calls", kind, w, want)
			}
		}
	}
	const peers, datagrams = 41, 200
	r, err := b.newTestbed(ctx, FleetSize{Peers: peers, Servers: 50}, maxSenders, 0) // its list is discovery's
	if err != nil {
		t.Fatal(err)
	}
	if least := int64(len(endpointList(50, r.server.addresses.Service, true))); r.startCost.ListBytes < least {
		t.Errorf("discovery sent %d bytes, the list has %d", r.startCost.ListBytes, least)
	}
	var seen Counts
	if err := r.peers.call(ctx, "/tell", gossipLoad{Target: r.gossipAddress, Rate: 1000, Count: datagrams}, &seen); err != nil {
		t.Error(err)
	}
	if seen.BytesSent != datagrams*datagramBytes {
		t.Errorf("%d bytes were told, want %d", seen.BytesSent, datagrams*datagramBytes)
	}
	stuck := time.Now().Add(generousTimeout)
	for {
		drops, waiting, err := udpSocketState(r.gossipAddress)
		if err != nil || drops != 0 || time.Now().After(stuck) {
			t.Fatalf("%d datagrams were dropped and %d bytes not read: %v", drops, waiting, err)
		}
		if waiting == 0 {
			break
		}
	}
	if n := r.sidecar.warnings.Load(); n != 0 {
		t.Errorf("its log warns %d times", n)
	}
	if err := r.close(); err != nil {
		t.Error(err)
	}
}

// measureAll measures. What else the machine does is for its reader to say.
func measureAll(t *testing.T) {
	b, ctx := newBench(t, 2*time.Second), t.Context()
	load := func() string {
		raw, err := os.ReadFile("/proc/loadavg")
		if err != nil {
			return err.Error()
		}
		return strings.TrimSpace(string(raw))
	}
	t.Logf("load of the machine: %s", load())
	var sizes []FleetSize
	for _, n := range []int{1, 300, 1000, 3000, 11000} {
		sizes = append(sizes, FleetSize{Peers: n, Servers: 16, ListInConfig: true})
	}
	for _, n := range []int{16, 200, 1000, 3000, 11000} {
		sizes = append(sizes, FleetSize{Peers: 16, Servers: n, ListInConfig: true})
	}
	for _, n := range []int{16, 200, 1000, 3000, 11000} {
		sizes = append(sizes, FleetSize{Peers: 16, Servers: n})
	}
	idle, err := b.MeasureIdle(ctx, sizes, 30*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var starts []StartCost
	for _, s := range idle {
		starts = append(starts, s.StartCost)
	}
	t.Logf("load of the machine: %s\nstarts\n\n%s\nno traffic\n\n%s", load(), StartTable(starts), IdleTable(idle))
	var told []GossipCost
	for _, n := range []int{300, 1000, 3000, 11000} {
		h, err := b.MeasureGossip(ctx, FleetSize{Peers: n, Servers: 16, ListInConfig: true}, 3*time.Second, 4)
		if err != nil {
			t.Fatal(err)
		}
		told = append(told, h)
	}
	t.Logf("load of the machine: %s\nwhat peers tell\n\n%s", load(), GossipTable(told))
	var shares []CPUBreakdown
	for _, service := range []time.Duration{0, 300 * time.Millisecond} {
		s, err := b.MeasureCPUBreakdown(ctx, FleetSize{Peers: 300, Servers: 200, ListInConfig: true}, 17.6, service, 4*time.Second, 3)
		if err != nil {
			t.Fatal(err)
		}
		shares = append(shares, s)
	}
	t.Logf("load of the machine: %s\nfew calls among peers that tell\n\n%s", load(), CPUBreakdownTable(shares))
	var calls []RequestCost
	for _, z := range []FleetSize{{16, 16, true}, {11000, 11000, true}} {
		for _, rate := range []float64{meanRequestRate, 4 * meanRequestRate} {
			c, err := b.MeasureRequests(ctx, z, rate, int(3*rate), *pairs)
			if err != nil {
				t.Fatal(err)
			}
			calls = append(calls, c)
		}
	}
	t.Logf("load of the machine: %s\ncalls\n\n%s", load(), RequestTable(calls))
}

// A call that is held up behind a slow one counts from when it was due: with one connection and a first call that
// takes as long as four others are apart, all four wait.
func TestLatencyIncludesScheduleDelay(t *testing.T) {
	const apart = 20 * time.Millisecond
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			<-time.After(4 * apart)
		}
		w.Header().Set("Content-Length", strconv.Itoa(responseBodyBytes))
		_, _ = w.Write(make([]byte, responseBodyBytes))
	}))
	defer s.Close()
	l := Load{Targets: []string{s.Listener.Addr().String()}, Rate: 1 / apart.Seconds(), Requests: 4, MaxInFlight: 1, Timeout: generousTimeout, IDPrefix: "c"}
	client := newClient(1)
	defer client.CloseIdleConnections()
	r, err := l.Run(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	// The last is due 3 apart after the first and can't begin before 4: it is late by one at least, and so on.
	late := hdrhistogram.Import(r.ScheduleDelay)
	if r.OK != 4 || late.ValueAtPercentile(50) < int64(apart)*99/100 || late.Max() < int64(3*apart)*99/100 {
		t.Errorf("200: %d of %d; late by %v (median) and %v (most)", r.OK, r.Requests,
			time.Duration(late.ValueAtPercentile(50)), time.Duration(late.Max()))
	}
	if least := hdrhistogram.Import(r.Latency).Min(); least < int64(apart)*99/100 {
		t.Errorf("one took %v, though all waited for the first", time.Duration(least))
	}
}

// A wrong answer and none are told apart from a right one.
func TestLoadCountsWrongResponses(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n.Add(1) {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			_, _ = w.Write([]byte("short"))
		case 3:
			panic(http.ErrAbortHandler)
		default:
			_, _ = w.Write(make([]byte, responseBodyBytes))
		}
	}))
	defer s.Close()
	l := Load{Targets: []string{s.Listener.Addr().String()}, Rate: 1000, Requests: 5, MaxInFlight: 1, Timeout: generousTimeout, IDPrefix: "c"}
	client := newClient(1)
	client.Transport.(*http.Transport).DisableKeepAlives = true // on a kept one it would send again by itself
	r, err := l.Run(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	if r.Requests != 5 || r.OK != 2 || r.WrongResponses != 2 || r.Failed != 1 || !strings.Contains(r.FirstError, "503") {
		t.Errorf("%d calls, 200: %d, wrong %d, failed %d, first %q", r.Requests, r.OK, r.WrongResponses, r.Failed, r.FirstError)
	}
	if _, err := (Load{}).Run(t.Context(), client); err == nil {
		t.Error("a load of nothing was made")
	}
}

// A load ends with its context, and its calls with it.
func TestLoadStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	defer s.Close()
	l := Load{Targets: []string{s.Listener.Addr().String()}, Rate: 100, Requests: 1000, MaxInFlight: 1, Timeout: generousTimeout, IDPrefix: "c"}
	if _, err := l.Run(ctx, newClient(1)); err == nil {
		t.Error("it made all its calls")
	}
}

// The processor time of another process grows with its work, and of one that is no more there is none.
func TestProcessUsage(t *testing.T) {
	cmd := exec.Command("bash", "-c", "i=0; while ((i<20000)); do ((i+=1)); done; echo; read -r")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	before, err := cpuTime(cmd.Process.Pid)
	if err != nil {
		t.Error(err)
	}
	if _, err := out.Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
	after, err := cpuTime(cmd.Process.Pid)
	if err != nil || after <= before {
		t.Errorf("%v, then %v: %v", before, after, err)
	}
	if m, err := readMemory(cmd.Process.Pid); err != nil || m.Resident <= 0 || m.Peak < m.Resident {
		t.Errorf("%+v: %v", m, err)
	}
	if err := in.Close(); err != nil {
		t.Error(err)
	}
	_ = cmd.Wait() // read fails at the end of its input
	if whole := cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime(); whole < after-time.Microsecond {
		t.Errorf("rusage says %v in all, its clock said %v", whole, after)
	}
	if _, err := cpuTime(cmd.Process.Pid); err == nil {
		t.Error("one that has ended has a clock")
	}
}

// Figures are of pairs: what is added is the difference within each, and a datagram's cost is what was taken beyond
// silence.
func TestTablesComparePairs(t *testing.T) {
	block := func(us int64, took time.Duration) Block {
		h := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
		for range 100 {
			if err := h.RecordValue(us * 1000); err != nil {
				t.Fatal(err)
			}
		}
		return Block{Result: LoadResult{Requests: 100, OK: 100, Latency: h.Export(), ScheduleDelay: h.Export()}, SidecarCPU: took}
	}
	c := RequestCost{FleetSize: FleetSize{Peers: 16, Servers: 16}, Rate: 373, UserCPU: time.Second, SystemCPU: time.Second,
		Direct:  []Block{block(100, 0), block(1100, 0)},
		Proxied: []Block{block(300, 10*time.Millisecond), block(1500, 20*time.Millisecond)}}
	near := func(what string, got samples, want ...float64) {
		t.Helper()
		for i := range want {
			if len(got) != len(want) || math.Abs(got[i]-want[i]) > 0.002*want[i]+0.002 { // histograms keep three figures
				t.Errorf("%s: %v, want %v", what, []float64(got), want)
				return
			}
		}
	}
	near("added median, ms", c.added(quantile(50)), 0.2, 0.4)
	near("sidecar, us a call", sampleBlocks(c.Proxied, perRequest(func(b Block) time.Duration { return b.SidecarCPU })), 100, 200)
	out := RequestTable([]RequestCost{c})
	for _, want := range []string{"| 16 | 16 | 373 | sidecar | 200 | 0 |", "| 150 (sd 71; 100 to 200) |"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	told := GossipCost{Receiving: []Interval{{Duration: 2 * time.Second, CPU: 5 * time.Millisecond, Datagrams: 1500, Dropped: 500}},
		Silent: []Interval{{Duration: time.Second, CPU: time.Millisecond}}}
	near("us a datagram", told.cpuPerDatagram(), 3)
	whiles := func(took time.Duration) []Interval {
		return []Interval{{Duration: 2 * time.Second, CPU: took, Datagrams: 100, Requests: 10, OK: 9}}
	}
	out = CPUBreakdownTable([]CPUBreakdown{{Idle: whiles(2 * time.Millisecond), Requests: whiles(4 * time.Millisecond),
		Gossip: whiles(3 * time.Millisecond), Both: whiles(5 * time.Millisecond)}})
	if want := "| 200 (sd 0; 200 to 200) | 10 (sd 0; 10 to 10) | 3 | 0 |"; !strings.Contains(out, want) {
		t.Errorf("no %q in\n%s", want, out)
	}
}
