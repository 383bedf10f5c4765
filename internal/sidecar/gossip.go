package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// gossipTransport exchanges datagrams with the other sidecars (the peers). Nothing waits for it: a datagram that
// can't be sent is lost, as it may be in the network. All methods work on a nil transport, which neither sends nor
// receives.
//
// serve starts run in a goroutine, which starts the sender's; both end with its context.
type gossipTransport struct {
	conn      *net.UDPConn
	broadcast netip.AddrPort         // from where a datagram goes to all peers
	peerIndex map[netip.AddrPort]int // a peer's number by the address it sends from
	outgoing  chan []byte            // for the sender

	sent          atomic.Int64
	lost          atomic.Int64 // not sent: the sender was behind, or the socket returned an error
	received      atomic.Int64 // handed on
	unknownSender atomic.Int64 // dropped: from an address that is no peer's
	malformed     atomic.Int64 // dropped: from a peer, but no gossip message of this version
}

// newGossipTransport listens for datagrams of peers. It returns nil where the configuration has no peers.
func newGossipTransport(cfg *Config) (*gossipTransport, error) {
	if !cfg.Policy.CanGossip {
		return nil, nil
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.PeerListen))
	if err != nil {
		return nil, &ConfigError{Field: "peer_listen", Err: err}
	}
	return &gossipTransport{
		conn:      conn,
		broadcast: cfg.PeerBroadcast,
		peerIndex: cfg.Peers,
		outgoing:  make(chan []byte, 1),
	}, nil
}

// run sends what send was given and hands each message of a peer to handle, until ctx ends, which closes the socket.
func (g *gossipTransport) run(ctx context.Context, handle func(from int, message policy.GossipMessage)) {
	if g == nil {
		return
	}
	defer context.AfterFunc(ctx, func() { g.conn.Close() })()
	go g.sendLoop(ctx)
	err := g.receiveLoop(handle)
	if !errors.Is(err, net.ErrClosed) {
		slog.Error("gossip of other sidecars can't be received any more", "error", err)
	}
}

// receiveAll reads datagrams until the socket returns an error.
func (g *gossipTransport) receiveLoop(handle func(from int, message policy.GossipMessage)) error {
	buf := make([]byte, gossip.MaxDatagram+1) // one byte more: a datagram that is too long must not look like a valid one
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return fmt.Errorf("read a datagram: %w", err)
		}
		g.receive(buf[:n], from, handle)
	}
}

// receive hands one datagram on, if it comes from a peer and is a gossip message.
func (g *gossipTransport) receive(raw []byte, from netip.AddrPort, handle func(from int, message policy.GossipMessage)) {
	peer, known := g.peerIndex[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		g.unknownSender.Add(1)
		return
	}
	message, err := gossip.Decode(raw)
	if err != nil {
		g.malformed.Add(1)
		return
	}
	g.received.Add(1)
	handle(peer, message)
}

// send passes a datagram for all peers to the sender. It never blocks: the event loop calls it.
func (g *gossipTransport) send(raw []byte) {
	if g == nil {
		return
	}
	select {
	case g.outgoing <- raw:
	default:
		g.lost.Add(1)
	}
}

// sendOutgoing is the sender. It ends with ctx.
func (g *gossipTransport) sendLoop(ctx context.Context) {
	for {
		select {
		case raw := <-g.outgoing:
			g.sendDatagram(raw)
		case <-ctx.Done():
			return
		}
	}
}

// sendDatagram sends one datagram. Only the first failure is logged, as all later ones are likely to be the same; the
// counters have their number.
func (g *gossipTransport) sendDatagram(raw []byte) {
	if _, err := g.conn.WriteToUDPAddrPort(raw, g.broadcast); err != nil {
		if g.lost.Add(1) == 1 {
			slog.Warn("gossip can't be sent", "to", g.broadcast, "error", err)
		}
		return
	}
	g.sent.Add(1)
}

// gossipCounters are numbers of datagrams since the start; see gossipTransport.
type gossipCounters struct {
	sent          int64
	lost          int64
	received      int64
	unknownSender int64
	malformed     int64
}

// LogValue makes each counter an attribute.
func (c gossipCounters) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("sent", c.sent),
		slog.Int64("lost", c.lost),
		slog.Int64("received", c.received),
		slog.Int64("unknown_sender", c.unknownSender),
		slog.Int64("malformed", c.malformed))
}

func (g *gossipTransport) counters() gossipCounters {
	if g == nil {
		return gossipCounters{}
	}
	return gossipCounters{
		sent:          g.sent.Load(),
		lost:          g.lost.Load(),
		received:      g.received.Load(),
		unknownSender: g.unknownSender.Load(),
		malformed:     g.malformed.Load(),
	}
}
