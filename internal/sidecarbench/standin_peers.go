package sidecarbench

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// uncongested is the congestion in the gossip of peers whose latency is a small fraction of the latency
// objective.
const uncongested = 0.01

// gossipLoad describes the gossip that the stand-in for peers sends to the sidecar.
type gossipLoad struct {
	Target string  // gossip address of the sidecar
	Rate   float64 // datagrams per second, the sum over all senders
	Count  int     // number of datagrams
	Seed   uint64  // seed of the random intervals between datagrams
}

// startPeers starts the stand-in for the other sidecars. The first address that it returns is the broadcast
// address, at which it counts received datagrams. The others are the addresses of the senders. POST /gossip
// of the control interface sends the gossipLoad in its body.
func (s *standInRunner) startPeers() ([]string, error) {
	broadcast, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	go s.countDatagrams(broadcast)
	addresses := []string{broadcast.LocalAddr().String()}
	var senders []*net.UDPConn
	for _, address := range s.config.Addresses {
		sender, err := listenUDP(address)
		if err != nil {
			return nil, err
		}
		senders = append(senders, sender)
		addresses = append(addresses, sender.LocalAddr().String())
	}
	s.control.HandleFunc("POST /gossip", func(w http.ResponseWriter, r *http.Request) {
		var load gossipLoad
		err := json.NewDecoder(r.Body).Decode(&load)
		if err == nil {
			err = load.run(r.Context(), senders, s.counters)
		}
		reply(w, s.counters.counts(), err)
	})
	return addresses, nil
}

// listenUDP opens a UDP socket bound to an IPv4 address with port.
func listenUDP(address string) (*net.UDPConn, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addrPort))
}

// countDatagrams counts the datagrams and bytes that a socket receives. It returns when a read fails.
func (s *standInRunner) countDatagrams(conn *net.UDPConn) {
	buf := make([]byte, gossip.MaxDatagram+1)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		s.counters.datagrams.Add(1)
		s.counters.bytesReceived.Add(int64(n))
	}
}

// run sends the datagrams from the senders in round-robin order. The send times are a Poisson process, which
// approximates many peers with independent timers.
func (l gossipLoad) run(ctx context.Context, senders []*net.UDPConn, c *counters) error {
	target, err := netip.ParseAddrPort(l.Target)
	if err != nil {
		return err
	}
	if len(senders) == 0 || l.Rate <= 0 {
		return errors.New("send gossip: no senders, or rate not positive")
	}
	rng := rand.New(rand.NewPCG(l.Seed, 0))
	offset := time.Duration(0)
	nextOffset := func(int) time.Duration {
		offset += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		return offset
	}
	return runSchedule(ctx, l.Count, nextOffset, func(i int, _ time.Time) error {
		message := policy.GossipMessage{SentAt: time.Duration(time.Now().UnixNano()), RequestRate: meanRequestRate, Responses: meanRequestRate, Congestion: uncongested}
		n, err := senders[i%len(senders)].WriteToUDPAddrPort(gossip.Encode(message), target)
		c.bytesSent.Add(int64(n))
		return err
	})
}
