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

// peers sends datagrams to the other sidecars and takes theirs. Nothing waits for it: a datagram that
// can't go out is lost, as it may be on its way. A nil one tells and hears nothing.
type peers struct {
	conn  *net.UDPConn
	all   netip.AddrPort
	known map[netip.AddrPort]int
	out   chan []byte

	sent, lost, heard, foreign, malformed atomic.Int64
}

// newPeers listens for other sidecars, or returns nil where the configuration names none.
func newPeers(cfg *Config) (*peers, error) {
	if !cfg.Policy.CanGossip {
		return nil, nil
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.PeerListen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &peers{conn: conn, all: cfg.PeersAll, known: cfg.Peers, out: make(chan []byte, 1)}, nil
}

// run sends what is told and hands what is heard to heard, until ctx ends.
func (p *peers) run(ctx context.Context, heard func(from int, n policy.GossipMessage)) {
	if p == nil {
		return
	}
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	go p.send(ctx)
	buf := make([]byte, gossip.MaxDatagram+1) // a longer one shows in a byte too many
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Error("other sidecars can't be heard any more", "error", err)
			return
		}
		p.take(buf[:n], from, heard)
	}
}

// take hands on one datagram, if it is one: from a sidecar that the configuration names, in gossip's form.
func (p *peers) take(raw []byte, from netip.AddrPort, heard func(from int, n policy.GossipMessage)) {
	number, known := p.known[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		p.foreign.Add(1)
		return
	}
	news, err := gossip.Decode(raw)
	if err != nil {
		p.malformed.Add(1)
		return
	}
	p.heard.Add(1)
	heard(number, news)
}

func (p *peers) send(ctx context.Context) {
	for {
		select {
		case raw := <-p.out:
			if _, err := p.conn.WriteToUDPAddrPort(raw, p.all); err != nil {
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

// tell sends a datagram to all other sidecars. It never waits.
func (p *peers) tell(raw []byte) {
	if p == nil {
		return
	}
	select {
	case p.out <- raw:
	default:
		p.lost.Add(1)
	}
}

// counters are for the log.
func (p *peers) counters() map[string]int64 {
	if p == nil {
		return nil
	}
	return map[string]int64{"sent": p.sent.Load(), "lost": p.lost.Load(), "heard": p.heard.Load(),
		"foreign": p.foreign.Load(), "malformed": p.malformed.Load()}
}
