package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// udpSocket returns a socket of the test's own on loopback.
func newUDPSocket(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

var testGossipMessage = policy.GossipMessage{SentAt: time.Hour, RequestRate: 2, Responses: 3, Congestion: 0.5}

// peerMessage is a message that the transport has handed on.
type peerMessage struct {
	from    int
	message policy.GossipMessage
}

// expectDatagram reads the test's gossip message from a socket.
func expectDatagram(t *testing.T, conn *net.UDPConn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(generous)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1000)
	n, err := conn.Read(buf)
	if err != nil || n > gossip.MaxDatagram {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if got, err := gossip.Decode(buf[:n]); err != nil || got != testGossipMessage {
		t.Fatalf("sent %+v, %v", got, err)
	}
}

// A datagram from an address that is no peer's, or one that is no gossip message, must not reach the policy: it would
// change decisions. A message goes out to all peers; of what comes in, only messages of peers are handed on, and the
// rest is counted.
func TestOnlyPeerGossipIsReceived(t *testing.T) {
	broadcast, broadcastAddress := newUDPSocket(t)
	peer, peerAddress := newUDPSocket(t)
	stranger, _ := newUDPSocket(t)
	g, messages := runGossip(t, broadcastAddress.String(), "127.0.0.1:9", "127.0.0.1:10", peerAddress.String())

	g.send(gossip.Encode(testGossipMessage))
	expectDatagram(t, broadcast)

	for _, datagram := range []struct {
		from *net.UDPConn
		raw  []byte
	}{
		{stranger, gossip.Encode(testGossipMessage)},
		{peer, []byte("noise")},
		{peer, make([]byte, 2000)},
		{peer, nil},
		{peer, gossip.Encode(testGossipMessage)},
	} {
		if _, err := datagram.from.WriteTo(datagram.raw, g.conn.LocalAddr()); err != nil {
			t.Fatal(err)
		}
	}
	if got := wait(t, "the message", messages); got != (peerMessage{2, testGossipMessage}) {
		t.Fatalf("received %+v, want that of peer 2", got)
	}
	if c := g.counters(); c.unknownSender != 1 || c.malformed != 3 || c.received != 1 || len(messages) > 0 {
		t.Fatalf("counters %+v, %d more messages", c, len(messages))
	}
}

// runGossip runs a transport until the test ends, when it must return. It sends to broadcast, and its peers are at
// addresses; messages has what it hands on.
func runGossip(t *testing.T, broadcast string, peers ...string) (g *gossipTransport, messages chan peerMessage) {
	t.Helper()
	cfg := testConfig(t, listed(1, "ready"), func(file, settings map[string]any) {
		settings["balancers"] = 3
		settings["caps"].(map[string]any)["peers"] = true
		file["peer_listen"], file["peers_all"], file["peers"] = "127.0.0.1:0", broadcast, peers
	})
	g, err := newGossipTransport(cfg)
	if err != nil {
		t.Fatal(err)
	}
	messages = make(chan peerMessage, 10)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		g.run(ctx, func(from int, message policy.GossipMessage) { messages <- peerMessage{from, message} })
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		wait(t, "the transport's end", ended)
	})
	return g, messages
}

// Where the settings don't allow gossip, addresses of peers change nothing: the sidecar has no transport, and the
// calls on that do nothing.
func TestSidecarWithoutGossip(t *testing.T) {
	cfg := testConfig(t, listed(1, "ready"), func(file, _ map[string]any) {
		file["peer_listen"], file["peers_all"], file["peers"] = "127.0.0.1:0", "127.0.0.1:9", []string{"127.0.0.1:9"}
	})
	g, err := newGossipTransport(cfg)
	if g != nil || err != nil || cfg.Policy.CanGossip {
		t.Fatalf("transport %v, %v, though the settings do not allow gossip", g, err)
	}
	g.send([]byte("x"))
	g.run(context.Background(), nil)
	if c := g.counters(); c != (gossipCounters{}) {
		t.Fatalf("counters %+v, want none", c)
	}
}

func TestGossipCountersAreLogged(t *testing.T) {
	var log strings.Builder
	counters := gossipCounters{sent: 1, lost: 2, received: 3, unknownSender: 4, malformed: 5}
	slog.New(slog.NewTextHandler(&log, nil)).Info("counters", "gossip", counters)
	const want = " gossip.sent=1 gossip.lost=2 gossip.received=3 gossip.unknown_sender=4 gossip.malformed=5\n"
	if !strings.HasSuffix(log.String(), want) {
		t.Errorf("log %q, want it to end in %q", &log, want)
	}
}

func TestInvalidPeerAddresses(t *testing.T) {
	for field, value := range map[string]any{
		"peer_listen": "nowhere",
		"peers_all":   "x:1",
		"peers":       []string{"127.0.0.1"},
	} {
		t.Run(field, func(t *testing.T) {
			text := testConfigText(t, listed(1, "ready"), func(file, settings map[string]any) {
				settings["caps"].(map[string]any)["peers"] = true
				file["peer_listen"], file["peers_all"], file["peers"] = "127.0.0.1:0", "127.0.0.1:9", []string{"127.0.0.1:9"}
				file[field] = value
			})
			_, err := parseConfig([]byte(text), noEnvironment)
			var configError *ConfigError
			if !errors.As(err, &configError) || configError.Field != field {
				t.Errorf("%v: error %v, want a ConfigError that names the field", value, err)
			}
		})
	}
}
