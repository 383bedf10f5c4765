package policy

import (
	"math"
	"time"
)

const (
	// broadcastInterval is the mean time between two broadcast rounds, in mean latency objectives. A
	// response is thus usually broadcast within one latency objective.
	broadcastInterval = 1.0

	// While it has no responses to report, a balancer broadcasts only in the first of every
	// idleBroadcastRounds rounds, to show that it is running.
	idleBroadcastRounds = 4

	// peerRateLifetime is how long the request rate in a peer's message is used, in
	// mean latency objectives.
	peerRateLifetime = 10.0

	// sampleHorizon is the time in which the fleet's samples decay by a factor of e,
	// in mean latency objectives. They remain valid for about as long, because
	// queues build up no faster.
	sampleHorizon = 1.0

	maxMessageAge = 2.0                    // age above which a message is dropped, in mean latency objectives
	maxClockSkew  = 100 * time.Millisecond // how far ahead of this balancer's clock a peer's may be

	// minFleetSamples is the number of responses of the fleet below which only this
	// balancer's own congestion is used.
	minFleetSamples = 8.0

	// maxCongestion is the highest value of a sample: that of a response that took
	// twice the latency objective.
	maxCongestion = 4.0
)

// GossipMessage is what a balancer broadcasts to its peers about the time since
// its previous message. Peers' messages are advisory: they affect the concurrency
// limit, which is always at least one attempt in flight, and whether late
// requests are sent. They never affect what eligible allows, nor slots and
// queues. Without any messages, each balancer uses only its own observations.
type GossipMessage struct {
	SentAt      time.Duration // on the clock that all balancers share
	RequestRate float64       // requests per second
	Responses   float64       // attempts that ended and are samples of congestion
	Congestion  float64       // mean square of latency / latency objective of these attempts
}

// peer is the content of the latest message from another balancer.
type peer struct {
	sentAt      time.Duration // 0: no message yet
	requestRate float64       // requests per second
}

// gossip holds what a balancer knows about the fleet, and its own observations
// that are yet to be broadcast.
type gossip struct {
	enabled   bool
	index     int // Config.Index of this balancer
	objective meanObjective

	peers    []peer // by index
	received bool   // a message has been accepted

	nextBroadcast time.Duration
	emptyRounds   int     // consecutive rounds without responses to report
	ownResponses  float64 // this balancer's responses since its latest message
	ownCongestion float64 // sum over ownResponses

	fleetResponses  float64 // responses of all balancers; decays
	fleetCongestion float64 // sum over fleetResponses; decays
	decayedAt       time.Duration
}

func newGossip(cfg Config, objective meanObjective) gossip {
	return gossip{
		enabled:   cfg.CanGossip,
		index:     cfg.Index,
		objective: objective,
		peers:     make([]peer, cfg.Balancers),
	}
}

// decay returns the factor by which the fleet's samples have decayed by now.
func (g *gossip) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-g.decayedAt) / float64(g.objective.times(sampleHorizon)))
}

// addFleetSamples adds ended attempts of this balancer or of a peer, with their
// mean congestion.
func (g *gossip) addFleetSamples(now time.Duration, responses, congestion float64) {
	factor := g.decay(now)
	g.decayedAt = now
	g.fleetResponses = g.fleetResponses*factor + responses
	g.fleetCongestion = g.fleetCongestion*factor + responses*congestion
}

// record adds an ended attempt of this balancer, as a sample of congestion.
func (g *gossip) record(now time.Duration, congestion float64) {
	if !g.enabled {
		return
	}
	congestion = min(congestion, maxCongestion)
	g.ownResponses++
	g.ownCongestion += congestion
	g.addFleetSamples(now, 1, congestion)
}

// nextMessage returns the message of this round. ok is false if nothing is to be
// broadcast in this round.
func (g *gossip) nextMessage(now time.Duration, requestRate float64) (m GossipMessage, ok bool) {
	m = GossipMessage{SentAt: now, RequestRate: requestRate, Responses: g.ownResponses}
	if m.Responses > 0 {
		m.Congestion = g.ownCongestion / m.Responses
		g.emptyRounds = 0
	} else if g.emptyRounds++; g.emptyRounds%idleBroadcastRounds != 1 {
		return GossipMessage{}, false
	}
	g.ownResponses, g.ownCongestion = 0, 0
	return m, true
}

// accept processes a message of the balancer with the index from. It ignores a
// message that is stale, repeated, out of order or implausible, and returns false.
func (g *gossip) accept(now time.Duration, from int, m GossipMessage) bool {
	if !g.plausible(now, from, m) {
		return false
	}
	g.received = true
	g.peers[from] = peer{m.SentAt, m.RequestRate}
	g.addFleetSamples(now, m.Responses, m.Congestion)
	return true
}

// plausible reports whether a peer can have sent a message just now.
func (g *gossip) plausible(now time.Duration, from int, m GossipMessage) bool {
	if !g.enabled || from < 0 || from >= len(g.peers) || from == g.index {
		return false
	}
	recent := m.SentAt <= now+maxClockSkew && now-m.SentAt <= g.objective.times(maxMessageAge)
	inOrder := m.SentAt > g.peers[from].sentAt
	within := func(f, limit float64) bool { return f >= 0 && f <= limit } // false if f is NaN
	return recent && inOrder && within(m.RequestRate, math.MaxUint32) &&
		within(m.Responses, math.MaxUint16) && within(m.Congestion, maxCongestion)
}

// congestion returns the fleet's congestion, or this balancer's own if there are
// too few recent samples of the fleet. With its own observations alone, a balancer
// with little traffic would mistake a single slow request for congestion of all
// endpoints.
func (g *gossip) congestion(now time.Duration, own float64) float64 {
	if !g.received || g.fleetResponses*g.decay(now) < minFleetSamples {
		return own
	}
	return g.fleetCongestion / g.fleetResponses
}

// demandFraction returns this balancer's fraction of the fleet's requests. A peer
// without a recent message counts with an equal share of the quota. Without any
// message, or if the quota is unknown, all balancers have equal fractions.
func (g *gossip) demandFraction(now time.Duration, ownRate, fleetQuota float64) float64 {
	equalShare := fleetQuota / float64(len(g.peers))
	if !g.received || equalShare == 0 {
		return 1 / float64(len(g.peers))
	}
	fleetRate := ownRate
	for i := range g.peers {
		switch p := &g.peers[i]; {
		case i == g.index:
		case p.sentAt == 0 || now-p.sentAt > g.objective.times(peerRateLifetime):
			fleetRate += equalShare
		default:
			fleetRate += p.requestRate
		}
	}
	return ownRate / max(fleetRate, equalShare)
}

// ReceiveGossip processes a message of the balancer with the index from.
func (b *Balancer) ReceiveGossip(now time.Duration, from int, m GossipMessage) {
	if b.gossip.accept(now, from, m) {
		b.counters.GossipReceived++
	} else {
		b.counters.GossipDropped++
	}
}

// broadcast sends this balancer's message if it is due. The intervals have
// jitter, so that balancers do not all send at the same time.
func (b *Balancer) broadcast(now time.Duration) {
	g := &b.gossip
	if !g.enabled || b.cfg.Balancers < 2 || now < g.nextBroadcast {
		return
	}
	g.nextBroadcast = now + b.objective.times(broadcastInterval*(0.75+0.5*b.rng.Float64()))
	if m, ok := g.nextMessage(now, b.traffic.current(now)); ok {
		b.counters.GossipSent++
		b.host.Broadcast(m)
	}
}
