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
	measure = flag.Bool("measure", false, "TestOverhead makes the full measurement and prints tables")
	pairs   = flag.Int("pairs", 8, "pairs of blocks in the full measurement of requests")
)

// generousTimeout is the latency objective where no latency is measured: even on a machine under load nothing takes
// that long.
const generousTimeout = 20 * time.Second

// TestMain lets the test program run as a stand-in.
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

// buildSidecar builds the sidecar program as it is deployed, and returns its path.
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

func newBench(t *testing.T, latencyObjective time.Duration) *Bench {
	t.Helper()
	return &Bench{Program: buildSidecar(t), StandIn: os.Args[0], Dir: t.TempDir(), LatencyObjective: latencyObjective}
}

// TestOverhead checks that measurements are complete: all requests through the real program succeed and reach a server
// once, and all gossip is received. With -measure it makes the full measurement instead, and prints the figures without
// any check of them.
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

// All requests are answered 200, directly and through the sidecar, and servers get each of them once.
func testMeasureRequests(t *testing.T, b *Bench) {
	const requests = 100
	cost, err := b.MeasureRequests(t.Context(), FleetSize{Peers: 16, Servers: 16, ListInConfig: true}, meanRequestRate, requests, 1)
	if err != nil {
		t.Fatal(err)
	}
	if cost.Served != cost.Sent {
		t.Errorf("%d requests were sent, and servers received %d", cost.Sent, cost.Served)
	}
	for path, blocks := range map[string][]Block{"direct": cost.Direct, "sidecar": cost.Proxied} {
		if len(blocks) != 1 {
			t.Fatalf("%s: %d blocks", path, len(blocks))
		}
		r := blocks[0].Result
		if r.Requests != requests || r.OK != requests || r.WrongResponses != 0 || r.Failed != 0 {
			t.Errorf("%s: %d requests, of which %d OK, %d wrong, %d failed: %s", path, r.Requests, r.OK, r.WrongResponses, r.Failed, r.FirstError)
		}
		if n := hdrhistogram.Import(r.Latency).TotalCount(); n != requests {
			t.Errorf("%s: %d latencies", path, n)
		}
	}
	if cost.Proxied[0].SidecarCPU <= 0 {
		t.Error("the sidecar used no processor time for requests")
	}
}

// Each kind of interval is measured once, and only those with requests have some.
func testMeasureCPUBreakdown(t *testing.T, b *Bench) {
	const rate, d = 40, 100 * time.Millisecond
	const requests = 4 // rate * d
	breakdown, err := b.MeasureCPUBreakdown(t.Context(), FleetSize{Peers: 41, Servers: 16, ListInConfig: true}, rate, 10*time.Millisecond, d, 1)
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
			t.Errorf("%s: %+v, want one interval with %d requests", test.name, i, test.wantRequests)
		}
	}
}

// The sidecar gets its endpoint list from discovery, and reads all datagrams of the peers that its configuration has.
func testGossipIsReceived(t *testing.T, b *Bench) {
	const peers, servers, datagrams = 41, 50, 200
	ctx := t.Context()
	tb, err := b.newTestbed(ctx, FleetSize{Peers: peers, Servers: servers}, maxSenders, 0)
	if err != nil {
		t.Fatal(err)
	}
	if size := int64(len(endpointList(servers, tb.server.addresses.Service, true))); tb.startCost.ListBytes < size {
		t.Errorf("discovery sent %d bytes, the list has %d", tb.startCost.ListBytes, size)
	}
	var seen Counts
	if err := tb.peers.call(ctx, "/gossip", gossipLoad{Target: tb.gossipAddress, Rate: 1000, Count: datagrams}, &seen); err != nil {
		t.Error(err)
	}
	if seen.BytesSent != datagrams*datagramBytes {
		t.Errorf("%d bytes were sent, want %d", seen.BytesSent, datagrams*datagramBytes)
	}
	waitUntilRead(t, tb.gossipAddress)
	if n := tb.sidecar.warnings.Load(); n != 0 {
		t.Errorf("the sidecar's log has %d warnings", n)
	}
	if err := tb.close(); err != nil {
		t.Error(err)
	}
}

// waitUntilRead waits until all datagrams at an address have been read. It fails the test if one was dropped.
func waitUntilRead(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(generousTimeout)
	for {
		drops, unread, err := udpSocketState(address)
		if err != nil || drops != 0 || time.Now().After(deadline) {
			t.Fatalf("%d datagrams were dropped and %d bytes not read: %v", drops, unread, err)
		}
		if unread == 0 {
			return
		}
	}
}
