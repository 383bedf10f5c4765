package sidecar

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// socket is a UDP socket of a test's own on loopback.
func socket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// News goes out to all; of what comes in, only news of a listed sidecar is handed on, the rest is counted.
func TestPeersHearOnlyNewsOfListedSidecars(t *testing.T) {
	all, allAt := socket(t)
	friend, friendAt := socket(t)
	stranger, _ := socket(t)
	cfg := testConfig(t, listed(1, "ready"), func(file, settings map[string]any) {
		settings["balancers"] = 3
		settings["caps"].(map[string]any)["peers"] = true
		file["peer_listen"], file["peers_all"] = "127.0.0.1:0", allAt.String()
		file["peers"] = []string{"127.0.0.1:9", "127.0.0.1:10", friendAt.String()}
	})
	p, err := newPeers(cfg)
	if err != nil {
		t.Fatal(err)
	}
	type news struct {
		from int
		n    policy.GossipMessage
	}
	heard := make(chan news, 10)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		p.run(ctx, func(from int, n policy.GossipMessage) { heard <- news{from, n} })
		close(ended)
	}()

	want := policy.GossipMessage{SentAt: time.Hour, RequestRate: 2, Responses: 3, Congestion: 0.5}
	p.tell(gossip.Encode(want))
	buf := make([]byte, 1000)
	if err := all.SetReadDeadline(time.Now().Add(generous)); err != nil {
		t.Fatal(err)
	}
	n, err := all.Read(buf)
	if err != nil || n > gossip.MaxDatagram {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if got, err := gossip.Decode(buf[:n]); err != nil || got != want {
		t.Fatalf("told %+v, %v", got, err)
	}

	to := p.conn.LocalAddr()
	for _, m := range []struct {
		from *net.UDPConn
		raw  []byte
	}{
		{stranger, gossip.Encode(want)}, {friend, []byte("noise")}, {friend, make([]byte, 2000)}, {friend, nil},
		{friend, gossip.Encode(want)},
	} {
		if _, err := m.from.WriteTo(m.raw, to); err != nil {
			t.Fatal(err)
		}
	}
	if got := wait(t, "the news", heard); got != (news{2, want}) {
		t.Fatalf("heard %+v, want that of number 2", got)
	}
	if c := p.counters(); c["foreign"] != 1 || c["malformed"] != 3 || c["heard"] != 1 || len(heard) > 0 {
		t.Fatalf("counters %v, %d more heard", c, len(heard))
	}
	cancel()
	wait(t, "the end", ended)
}

// Without addresses, or where messages are not allowed, a sidecar tells and hears nothing and goes on.
func TestSidecarWithoutPeers(t *testing.T) {
	cfg := testConfig(t, listed(1, "ready"), func(file, _ map[string]any) {
		file["peer_listen"], file["peers_all"], file["peers"] = "127.0.0.1:0", "127.0.0.1:9", []string{"127.0.0.1:9"}
	})
	p, err := newPeers(cfg)
	if p != nil || err != nil || cfg.Policy.CanGossip {
		t.Fatalf("peers %v, %v, though the settings do not allow them", p, err)
	}
	p.tell([]byte("x"))
	p.run(context.Background(), nil)
	if len(p.counters()) != 0 {
		t.Fatal("it counted something")
	}
}

func TestUnusablePeersAreAnError(t *testing.T) {
	for field, value := range map[string]any{"peer_listen": "nowhere", "peers_all": "x:1", "peers": []string{"127.0.0.1"}} {
		text := testConfigText(t, listed(1, "ready"), func(file, settings map[string]any) {
			settings["caps"].(map[string]any)["peers"] = true
			file["peer_listen"], file["peers_all"], file["peers"] = "127.0.0.1:0", "127.0.0.1:9", []string{"127.0.0.1:9"}
			file[field] = value
		})
		if _, err := parseConfig([]byte(text), func(string) string { return "" }); err == nil {
			t.Errorf("%s as %v was taken", field, value)
		}
	}
}
