package policy

import (
	"math"
	"time"
)

// Intervals without a unit are in mean latency objectives.
const (
	broadcastInterval = 1.0  // a response in time is broadcast before the next
	idleBroadcasts    = 4    // without traffic only one in so many is sent, to show that the balancer lives
	peerLifetime      = 10.0 // what a peer said of its demand holds this long
	sampleHorizon     = 1.0  // over which what is known of the fleet decays: queues build up no faster
	maxMessageAge     = 2.0
	maxClockSkew      = 100 * time.Millisecond
	minFleetSamples   = 8.0 // with fewer responses of the fleet, one's own count alone
	maxCongestion     = 4.0 // no sample counts for more: a response that took twice the objective
)

// GossipMessage is what a balancer broadcasts to its peers about the time
// since its message before. Peers' messages only advise: they move the
// concurrency limit, down to one attempt in flight, and whether late requests
// are sent; never what eligible allows, nor slots and queues. Without any, each
// balancer goes by what it observes itself.
type GossipMessage struct {
	SentAt      time.Duration // on the clock that all balancers share
	RequestRate float64       // requests per second
	Responses   float64       // attempts that ended and tell of congestion
	Congestion  float64       // mean square of latency / latency objective over these
}

// peer is what another balancer last said of itself.
type peer struct {
	sentAt      time.Duration // 0: nothing yet
	requestRate float64
}

// gossip is what a balancer knows of the fleet and is about to broadcast.
type gossip struct {
	enabled   bool
	index     int // this balancer's number
	objective meanObjective

	peers    []peer // by their numbers
	received bool   // any message has been accepted

	nextBroadcast time.Duration
	emptyRounds   int     // broadcasts in a row that had no responses to report
	ownResponses  float64 // since the latest broadcast
	ownCongestion float64 // sum over these

	fleetResponses  float64 // of all balancers, decaying
	fleetCongestion float64 // sum over these
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

// decay returns by what factor the fleet's samples have decayed by now.
func (g *gossip) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-g.decayedAt) / float64(g.objective.times(sampleHorizon)))
}

// add takes attempts that ended, its own or a peer's.
func (g *gossip) add(now time.Duration, responses, congestion float64) {
	factor := g.decay(now)
	g.decayedAt = now
	g.fleetResponses = g.fleetResponses*factor + responses
	g.fleetCongestion = g.fleetCongestion*factor + responses*congestion
}

// record takes one of this balancer's attempts that tells of congestion.
func (g *gossip) record(now time.Duration, congestion float64) {
	if !g.enabled {
		return
	}
	congestion = min(congestion, maxCongestion)
	g.ownResponses++
	g.ownCongestion += congestion
	g.add(now, 1, congestion)
}

// nextMessage returns what to broadcast, or false if there is nothing to say
// in this round.
func (g *gossip) nextMessage(now time.Duration, requestRate float64) (m GossipMessage, ok bool) {
	m = GossipMessage{SentAt: now, RequestRate: requestRate, Responses: g.ownResponses}
	if m.Responses > 0 {
		m.Congestion = g.ownCongestion / m.Responses
		g.emptyRounds = 0
	} else if g.emptyRounds++; g.emptyRounds%idleBroadcasts != 1 {
		return GossipMessage{}, false
	}
	g.ownResponses, g.ownCongestion = 0, 0
	return m, true
}

// accept takes a message of the balancer of that number. It returns false for
// one that is stale, repeated, out of order or implausible.
func (g *gossip) accept(now time.Duration, from int, m GossipMessage) bool {
	if !g.plausible(now, from, m) {
		return false
	}
	g.received = true
	g.peers[from] = peer{m.SentAt, m.RequestRate}
	g.add(now, m.Responses, m.Congestion)
	return true
}

// plausible says whether a peer can have sent a message just now.
func (g *gossip) plausible(now time.Duration, from int, m GossipMessage) bool {
	if !g.enabled || from < 0 || from >= len(g.peers) || from == g.index {
		return false
	}
	recent := m.SentAt <= now+maxClockSkew && now-m.SentAt <= g.objective.times(maxMessageAge)
	inOrder := m.SentAt > g.peers[from].sentAt
	within := func(f, limit float64) bool { return f >= 0 && f <= limit } // false for NaN
	return recent && inOrder && within(m.RequestRate, math.MaxUint32) &&
		within(m.Responses, math.MaxUint16) && within(m.Congestion, maxCongestion)
}

// congestion returns the fleet's congestion where enough is known of it, else
// this balancer's own. One of little traffic would take a single slow request
// of its own for congestion everywhere.
func (g *gossip) congestion(now time.Duration, own float64) float64 {
	if !g.received || g.fleetResponses*g.decay(now) < minFleetSamples {
		return own
	}
	return g.fleetCongestion / g.fleetResponses
}

// demandFraction returns this balancer's share of the fleet's requests. A peer
// that nothing recent is known of counts with an even share of the quota;
// without any message the share is even.
func (g *gossip) demandFraction(now time.Duration, ownRate, fleetQuota float64) float64 {
	even := fleetQuota / float64(len(g.peers))
	if !g.received || even == 0 {
		return 1 / float64(len(g.peers))
	}
	all := ownRate
	for i := range g.peers {
		switch p := &g.peers[i]; {
		case i == g.index:
		case p.sentAt == 0 || now-p.sentAt > g.objective.times(peerLifetime):
			all += even
		default:
			all += p.requestRate
		}
	}
	return ownRate / max(all, even)
}

// ReceiveGossip takes a message of the balancer of that number.
func (b *Balancer) ReceiveGossip(now time.Duration, from int, m GossipMessage) {
	if b.gossip.accept(now, from, m) {
		b.count.GossipReceived++
	} else {
		b.count.GossipDropped++
	}
}

// broadcast sends this balancer's message when it is due, at intervals with
// jitter so that balancers do not send all at once.
func (b *Balancer) broadcast(now time.Duration) {
	g := &b.gossip
	if !g.enabled || b.cfg.Balancers < 2 || now < g.nextBroadcast {
		return
	}
	g.nextBroadcast = now + b.objective.times(broadcastInterval*(0.75+0.5*b.rng.Float64()))
	if m, ok := g.nextMessage(now, b.traffic.current(now)); ok {
		b.count.GossipSent++
		b.host.Broadcast(m)
	}
}
