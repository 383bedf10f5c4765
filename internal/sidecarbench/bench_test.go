package sidecarbench

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var (
	measure = flag.Bool("measure", false, "TestOverhead makes the full measurement and prints its tables")
	pairs   = flag.Int("pairs", 8, "number of pairs of blocks per request rate and fleet size in the full measurement")
)

// generousTimeout is the latency objective and timeout in tests that check no latency. Nothing takes that
// long even on a machine under load.
const generousTimeout = 20 * time.Second

// TestMain runs the test program as a stand-in if RoleVariable is set.
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

// buildSidecar builds the sidecar program with the deployed build command, and returns its path.
func buildSidecar(t *testing.T) string {
	t.Helper()
	root := filepath.Join("..", "..")
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	build := regexp.MustCompile(`(?m)^build = "mkdir -p bin && (.* -o) bin/ \./cmd/\.\.\."$`).FindSubmatch(raw)
	if build == nil {
		t.Fatal("deploy/balancer.toml: no build command of the expected form")
	}
	path := filepath.Join(t.TempDir(), "sidecar")
	cmd := exec.Command("bash", "-c", string(build[1])+` "$0" ./cmd/sidecar`, path)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build sidecar: %s: %v\n%s", cmd, err, out)
	}
	return path
}

// newBench returns a Bench with a newly built sidecar and the test program as the stand-in program.
func newBench(t *testing.T, latencyObjective time.Duration) *Bench {
	t.Helper()
	return &Bench{Program: buildSidecar(t), StandIn: os.Args[0], Dir: t.TempDir(), LatencyObjective: latencyObjective}
}

// Guards against incomplete measurements: each request through the real program must succeed and reach a
// server once, and all gossip must be received. With -measure, TestOverhead makes the full measurement
// instead and prints the results without checking them.
func TestOverhead(t *testing.T) {
	if *measure {
		measureAll(t)
		return
	}
	b := newBench(t, generousTimeout)
	t.Run("requests", func(t *testing.T) { testMeasureRequests(t, b) })
	t.Run("breakdown of processor time", func(t *testing.T) { testMeasureCPUBreakdown(t, b) })
	t.Run("gossip", func(t *testing.T) { testGossipIsReceived(t, b) })
}

// testMeasureRequests checks that all requests are answered 200, directly and through the sidecar, and that
// each reaches a server once.
func testMeasureRequests(t *testing.T, b *Bench) {
	const requests = 100
	cost, err := b.MeasureRequests(t.Context(), FleetSize{Peers: 16, Servers: 16, ListInConfig: true}, meanRequestRate, requests, 1)
	if err != nil {
		t.Fatal(err)
	}
	if cost.Served != cost.Sent {
		t.Errorf("requests sent = %d, requests received by servers = %d, want the same", cost.Sent, cost.Served)
	}
	for path, blocks := range map[string][]Block{"direct": cost.Direct, "sidecar": cost.Proxied} {
		if len(blocks) != 1 {
			t.Fatalf("%s: number of blocks = %d, want 1", path, len(blocks))
		}
		r := blocks[0].Result
		if r.Requests != requests || r.OK != requests || r.WrongResponses != 0 || r.Failed != 0 {
			t.Errorf("%s: requests = %d, OK = %d, wrong responses = %d, failed = %d, first error = %s, want all requests sent and OK", path, r.Requests, r.OK, r.WrongResponses, r.Failed, r.FirstError)
		}
		if n := hdrhistogram.Import(r.Latency).TotalCount(); n != requests {
			t.Errorf("%s: number of latencies = %d, want one per request", path, n)
		}
	}
	if cost.Proxied[0].SidecarCPU <= 0 {
		t.Error("CPU time of the sidecar for requests is not positive")
	}
}

// testMeasureCPUBreakdown checks that one round has one interval of each kind, and that only the intervals
// with requests have requests, all of them OK.
func testMeasureCPUBreakdown(t *testing.T, b *Bench) {
	const rate, intervalLength = 40, 100 * time.Millisecond
	const requests = 4 // rate * intervalLength
	breakdown, err := b.MeasureCPUBreakdown(t.Context(), FleetSize{Peers: 41, Servers: 16, ListInConfig: true}, rate, 10*time.Millisecond, intervalLength, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name         string
		intervals    []Interval
		wantRequests int
	}{
		{"idle", breakdown.Idle, 0},
		{"requests", breakdown.Requests, requests},
		{"gossip", breakdown.Gossip, 0},
		{"both", breakdown.Both, requests},
	} {
		i := test.intervals
		if len(i) != 1 || i[0].Requests != test.wantRequests || i[0].OK != test.wantRequests {
			t.Errorf("%s: intervals = %+v, want one interval with %d requests, all OK", test.name, i, test.wantRequests)
		}
	}
}

// testGossipIsReceived checks that the sidecar gets its endpoint list from discovery, and that it reads all
// datagrams of configured peers and logs no warning about them.
func testGossipIsReceived(t *testing.T, b *Bench) {
	const peers, servers, datagrams = 41, 50, 200
	ctx := t.Context()
	tb, err := b.newTestbed(ctx, FleetSize{Peers: peers, Servers: servers}, maxSenders, 0)
	if err != nil {
		t.Fatal(err)
	}
	if size := int64(len(endpointList(servers, tb.server.addresses.Service, true))); tb.startCost.ListBytes < size {
		t.Errorf("bytes sent by discovery = %d, want at least %d, the size of the endpoint list", tb.startCost.ListBytes, size)
	}
	var peerCounts Counts
	if err := tb.peers.call(ctx, "/gossip", gossipLoad{Target: tb.gossipAddress, Rate: 1000, Count: datagrams}, &peerCounts); err != nil {
		t.Error(err)
	}
	if peerCounts.BytesSent != datagrams*datagramBytes {
		t.Errorf("gossip bytes sent = %d, want %d", peerCounts.BytesSent, datagrams*datagramBytes)
	}
	waitUntilRead(t, tb.gossipAddress)
	if n := tb.sidecar.warnings.Load(); n != 0 {
		t.Errorf("warnings in the sidecar's log = %d, want 0", n)
	}
	if err := tb.close(); err != nil {
		t.Error(err)
	}
}

// waitUntilRead waits until all datagrams received at an address have been read. It fails the test if a
// datagram was dropped or generousTimeout has passed.
func waitUntilRead(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(generousTimeout)
	for {
		drops, unread, err := udpSocketState(address)
		if err != nil || drops != 0 || time.Now().After(deadline) {
			t.Fatalf("dropped datagrams = %d, unread bytes = %d, error = %v, want all datagrams read and none dropped", drops, unread, err)
		}
		if unread == 0 {
			return
		}
	}
}
