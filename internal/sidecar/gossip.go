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

// gossipTransport exchanges gossip datagrams with the other sidecars (the peers). Delivery is best effort: a
// datagram that cannot be sent is dropped. The methods run, send and counters may be called on a nil
// transport, which neither sends nor receives.
//
// sidecar.start starts run in a goroutine, and run starts sendLoop in another. Both end with run's context.
type gossipTransport struct {
	conn      *net.UDPConn
	broadcast netip.AddrPort         // address that forwards a datagram to all peers
	peerIndex map[netip.AddrPort]int // peer index by the address that the peer sends from
	outgoing  chan []byte            // datagrams for sendLoop

	sent          atomic.Int64 // datagrams sent
	lost          atomic.Int64 // datagrams not sent: outgoing was full, or the socket returned an error
	received      atomic.Int64 // datagrams passed to the handler of run
	unknownSender atomic.Int64 // datagrams dropped because their source address is not a peer's
	malformed     atomic.Int64 // datagrams from peers, dropped by gossip.Decode: invalid or of another version
}

// newGossipTransport opens the UDP socket for gossip. It returns nil if the configuration does not allow
// gossip.
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

// run sends the datagrams passed to send and calls handle with each message from a peer, until ctx is
// cancelled, which closes the socket.
func (g *gossipTransport) run(ctx context.Context, handle func(from int, message policy.GossipMessage)) {
	if g == nil {
		return
	}
	defer context.AfterFunc(ctx, func() { g.conn.Close() })()
	go g.sendLoop(ctx)
	err := g.receiveLoop(handle)
	if !errors.Is(err, net.ErrClosed) {
		slog.Error("receive gossip failed: no more gossip is received", "error", err)
	}
}

// receiveLoop reads datagrams until the socket returns an error.
func (g *gossipTransport) receiveLoop(handle func(from int, message policy.GossipMessage)) error {
	// One extra byte, so that a longer datagram is not truncated to a valid one.
	buf := make([]byte, gossip.MaxDatagram+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return fmt.Errorf("read datagram: %w", err)
		}
		g.receive(buf[:n], from, handle)
	}
}

// receive calls handle with the message in one datagram, if a peer sent it and it is a valid gossip message.
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

// send passes a datagram for all peers to sendLoop, or drops it if the loop is behind. It never blocks,
// because the event loop calls it.
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

// sendLoop sends the datagrams from outgoing until ctx is cancelled.
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

// sendDatagram sends one datagram to all peers. It logs a failure only if no datagram was lost before, since
// later failures probably have the same cause; the counter of lost datagrams includes all of them.
func (g *gossipTransport) sendDatagram(raw []byte) {
	if _, err := g.conn.WriteToUDPAddrPort(raw, g.broadcast); err != nil {
		if g.lost.Add(1) == 1 {
			slog.Warn("send gossip failed", "to", g.broadcast, "error", err)
		}
		return
	}
	g.sent.Add(1)
}

// gossipCounters holds the numbers of datagrams since the start, as described at the fields of
// gossipTransport.
type gossipCounters struct {
	sent          int64
	lost          int64
	received      int64
	unknownSender int64
	malformed     int64
}

// LogValue returns a group with one attribute for each counter.
func (c gossipCounters) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("sent", c.sent),
		slog.Int64("lost", c.lost),
		slog.Int64("received", c.received),
		slog.Int64("unknown_sender", c.unknownSender),
		slog.Int64("malformed", c.malformed))
}

// counters returns the current counters, which are all zero for a nil transport.
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
