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

// gossipTransport sends datagrams to the other sidecars and takes theirs. Nothing waits for it: a datagram that
// can't go out is lost, as it may be on its way. A nil one tells and hears nothing.
type gossipTransport struct {
	conn      *net.UDPConn
	broadcast netip.AddrPort
	peerIndex map[netip.AddrPort]int
	outgoing  chan []byte

	sent, lost, received, unknownSender, malformed atomic.Int64
}

// newGossipTransport listens for other sidecars, or returns nil where the configuration names none.
func newGossipTransport(cfg *Config) (*gossipTransport, error) {
	if !cfg.Policy.CanGossip {
		return nil, nil
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.PeerListen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &gossipTransport{conn: conn, broadcast: cfg.PeerBroadcast, peerIndex: cfg.Peers, outgoing: make(chan []byte, 1)}, nil
}

// run sends what is told and hands what is heard to heard, until ctx ends.
func (p *gossipTransport) run(ctx context.Context, heard func(from int, n policy.GossipMessage)) {
	if p == nil {
		return
	}
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	go p.sendOutgoing(ctx)
	buf := make([]byte, gossip.Most+1) // a longer one shows in a byte too many
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Error("other sidecars can't be heard any more", "error", err)
			return
		}
		p.receive(buf[:n], from, heard)
	}
}

// receive hands on one datagram, if it is one: from a sidecar that the configuration names, in gossip's form.
func (p *gossipTransport) receive(raw []byte, from netip.AddrPort, heard func(from int, n policy.GossipMessage)) {
	number, known := p.peerIndex[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		p.unknownSender.Add(1)
		return
	}
	news, err := gossip.Decode(raw)
	if err != nil {
		p.malformed.Add(1)
		return
	}
	p.received.Add(1)
	heard(number, news)
}

func (p *gossipTransport) sendOutgoing(ctx context.Context) {
	for {
		select {
		case raw := <-p.outgoing:
			if _, err := p.conn.WriteToUDPAddrPort(raw, p.broadcast); err != nil {
				if p.lost.Add(1) == 1 {
					slog.Warn("a message to other sidecars can't be sent", "error", err)
				}
				continue
			}
			p.sent.Add(1)
		case <-ctx.Done():
			return
		}
	}
}

// send sends a datagram to all other sidecars. It never waits.
func (p *gossipTransport) send(raw []byte) {
	if p == nil {
		return
	}
	select {
	case p.outgoing <- raw:
	default:
		p.lost.Add(1)
	}
}

// counters are for the log.
func (p *gossipTransport) counters() map[string]int64 {
	if p == nil {
		return nil
	}
	return map[string]int64{"sent": p.sent.Load(), "lost": p.lost.Load(), "heard": p.received.Load(),
		"foreign": p.unknownSender.Load(), "malformed": p.malformed.Load()}
}
