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

// newUDPSocket opens a UDP socket on loopback until the test ends, and returns it with its address.
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

// peerMessage is a message that a transport has passed to its handler, with the index of the peer.
type peerMessage struct {
	from    int
	message policy.GossipMessage
}

// expectDatagram reads one datagram from a socket and checks that it contains testGossipMessage.
func expectDatagram(t *testing.T, conn *net.UDPConn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1000)
	n, err := conn.Read(buf)
	if err != nil || n > gossip.MaxDatagram {
		t.Fatalf("read %d bytes, error = %v, want a datagram within the maximum size", n, err)
	}
	if got, err := gossip.Decode(buf[:n]); err != nil || got != testGossipMessage {
		t.Fatalf("sent message = %+v, error = %v, want testGossipMessage", got, err)
	}
}

// Guards against decisions based on datagrams from unknown addresses, or on datagrams that are not gossip
// messages. The transport must send a message to the broadcast address, pass only valid messages from peers
// to the handler, and count the datagrams that it drops.
func TestOnlyPeerGossipIsReceived(t *testing.T) {
	broadcast, broadcastAddress := newUDPSocket(t)
	peer, peerAddress := newUDPSocket(t)
	nonPeer, _ := newUDPSocket(t)
	g, messages := runGossip(t, broadcastAddress.String(), "127.0.0.1:9", "127.0.0.1:10", peerAddress.String())

	g.send(gossip.Encode(testGossipMessage))
	expectDatagram(t, broadcast)

	for _, datagram := range []struct {
		from *net.UDPConn
		raw  []byte
	}{
		{nonPeer, gossip.Encode(testGossipMessage)},
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
		t.Fatalf("received %+v, want testGossipMessage from peer 2", got)
	}
	if c := g.counters(); c.unknownSender != 1 || c.malformed != 3 || c.received != 1 || len(messages) > 0 {
		t.Fatalf("counters = %+v, unread messages = %d, want 1 from an unknown sender, 3 malformed, 1 received, none unread", c, len(messages))
	}
}

// runGossip runs a transport that sends to the broadcast address and receives from peers. The channel has the
// messages passed to its handler. When the test ends, run must return.
func runGossip(t *testing.T, broadcast string, peers ...string) (g *gossipTransport, messages chan peerMessage) {
	t.Helper()
	cfg := testConfig(t, fullListResponse(1, "ready"), func(file, settings map[string]any) {
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
	stopped := make(chan struct{})
	go func() {
		g.run(ctx, func(from int, message policy.GossipMessage) { messages <- peerMessage{from, message} })
		close(stopped)
	}()
	t.Cleanup(func() {
		cancel()
		wait(t, "the transport to stop", stopped)
	})
	return g, messages
}

// If the settings do not allow gossip, addresses of peers must have no effect: the transport is nil, and its
// methods do nothing.
func TestSidecarWithoutGossip(t *testing.T) {
	cfg := testConfig(t, fullListResponse(1, "ready"), func(file, _ map[string]any) {
		file["peer_listen"], file["peers_all"], file["peers"] = "127.0.0.1:0", "127.0.0.1:9", []string{"127.0.0.1:9"}
	})
	g, err := newGossipTransport(cfg)
	if g != nil || err != nil || cfg.Policy.CanGossip {
		t.Fatalf("transport = %v, error = %v, want nil for both and CanGossip false", g, err)
	}
	g.send([]byte("x"))
	g.run(context.Background(), nil)
	if c := g.counters(); c != (gossipCounters{}) {
		t.Fatalf("counters = %+v, want all zero", c)
	}
}

func TestGossipCountersAreLogged(t *testing.T) {
	var log strings.Builder
	counters := gossipCounters{sent: 1, lost: 2, received: 3, unknownSender: 4, malformed: 5}
	slog.New(slog.NewTextHandler(&log, nil)).Info("counters", "gossip", counters)
	const want = " gossip.sent=1 gossip.lost=2 gossip.received=3 gossip.unknown_sender=4 gossip.malformed=5\n"
	if !strings.HasSuffix(log.String(), want) {
		t.Errorf("log = %q, want suffix %q", &log, want)
	}
}

func TestInvalidPeerAddresses(t *testing.T) {
	for field, value := range map[string]any{
		"peer_listen": "nowhere",
		"peers_all":   "x:1",
		"peers":       []string{"127.0.0.1"},
	} {
		t.Run(field, func(t *testing.T) {
			text := testConfigText(t, fullListResponse(1, "ready"), func(file, settings map[string]any) {
				settings["caps"].(map[string]any)["peers"] = true
				file["peer_listen"], file["peers_all"], file["peers"] = "127.0.0.1:0", "127.0.0.1:9", []string{"127.0.0.1:9"}
				file[field] = value
			})
			_, err := parseConfig([]byte(text), noEnvironment)
			var configError *ConfigError
			if !errors.As(err, &configError) || configError.Field != field {
				t.Errorf("value %v: error = %v, want a ConfigError that names the field", value, err)
			}
		})
	}
}
