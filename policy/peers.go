// What balancers tell one another, and what each believes of it. News only advises: it moves how much a
// balancer lets out, never what the rules allow, and without any each goes by what it sees itself.

package policy

import (
	"math"
	"time"
)

const (
	tellAims    = 1.0  // aims between what a balancer tells: an answer in time is told before the next
	tellIdle    = 4    // one with no requests tells only every so many times, so as not to be taken for lost
	newsFor     = 10.0 // aims that what a peer told of itself is believed
	newsAims    = 1.0  // aims over which what is known of the fleet fades: queues build up no faster
	newsLate    = 2.0  // aims after which news is stale
	newsAhead   = 100 * time.Millisecond
	newsAnswers = 8.0 // answers that tell more than one's own: fewer are chance
	crowdMost   = 4.0 // no answer counts for more: one that takes twice the aim
)

// GossipMessage is what a balancer tells the others of the time since it last told.
type GossipMessage struct {
	SentAt      time.Duration // when it was told, on the clock that all share
	RequestRate float64       // requests a second it is asked
	Responses   float64       // attempts that ended and tell how crowded servers are
	Congestion  float64       // mean square of the share of the aim that these took
}

// peer is what another balancer last told of itself.
type peer struct {
	sentAt      time.Duration
	requestRate float64
}

// gossipState is what a balancer knows of the fleet and is about to tell.
type gossipState struct {
	peers           []peer // by their numbers
	nextBroadcast   time.Duration
	emptyRounds     int     // times in a row that there was nothing to tell
	ownResponses    float64 // since it was last told
	ownCongestion   float64 // sum over these
	fleetResponses  float64 // answers of all balancers lately, faded
	fleetCongestion float64 // sum over these
	decayedAt       time.Duration
}

// objectives is a multiple of the mean aim as a time.
func (b *Balancer) objectives(n float64) time.Duration {
	return time.Duration(n * b.meanObjective * float64(time.Second))
}

// addSamples adds attempts that ended, its own or a peer's, to what is known of the fleet.
func (b *Balancer) addSamples(now time.Duration, answers, crowd float64) {
	fade := math.Exp(-float64(now-b.gossip.decayedAt) / float64(b.objectives(newsAims)))
	b.gossip.decayedAt = now
	b.gossip.fleetResponses = b.gossip.fleetResponses*fade + answers
	b.gossip.fleetCongestion = b.gossip.fleetCongestion*fade + answers*crowd
}

// recordSample takes one of its own attempts that tells how crowded servers are.
func (b *Balancer) recordSample(now time.Duration, crowd float64) {
	if !b.cfg.CanGossip {
		return
	}
	crowd = min(crowd, crowdMost)
	b.gossip.ownResponses++
	b.gossip.ownCongestion += crowd
	b.addSamples(now, 1, crowd)
}

// broadcast tells the others what came since the last time, when it is due.
func (b *Balancer) broadcast(now time.Duration) {
	if !b.cfg.CanGossip || b.cfg.Balancers < 2 || now < b.gossip.nextBroadcast {
		return
	}
	b.gossip.nextBroadcast = now + b.objectives(tellAims*(0.75+0.5*b.rng.Float64())) // spread: not all at once
	n := GossipMessage{SentAt: now, RequestRate: b.currentRate(now), Responses: b.gossip.ownResponses}
	if n.Responses > 0 {
		n.Congestion = b.gossip.ownCongestion / n.Responses
	} else if b.gossip.emptyRounds++; b.gossip.emptyRounds%tellIdle != 1 {
		return
	}
	if n.Responses > 0 {
		b.gossip.emptyRounds = 0
	}
	b.gossip.ownResponses, b.gossip.ownCongestion = 0, 0
	b.count.GossipSent++
	b.host.Broadcast(n)
}

// ReceiveGossip takes news of the balancer of that number. What is stale, comes twice or out of order, or can't
// be, is dropped and counted.
func (b *Balancer) ReceiveGossip(now time.Duration, from int, n GossipMessage) {
	if !b.credible(now, from, n) {
		b.count.GossipDropped++
		return
	}
	b.count.GossipReceived++
	b.gossip.peers[from] = peer{n.SentAt, n.RequestRate}
	b.addSamples(now, n.Responses, n.Congestion)
}

// credible says whether news can be what a peer told just now.
func (b *Balancer) credible(now time.Duration, from int, n GossipMessage) bool {
	within := func(f, most float64) bool { return f >= 0 && f <= most }
	return b.cfg.CanGossip && from >= 0 && from < b.cfg.Balancers && from != b.cfg.Index &&
		n.SentAt <= now+newsAhead && now-n.SentAt <= b.objectives(newsLate) && n.SentAt > b.gossip.peers[from].sentAt &&
		within(n.RequestRate, math.MaxUint32) && within(n.Responses, math.MaxUint16) && within(n.Congestion, crowdMost)
}

// currentRate is how many requests a second come of late.
func (b *Balancer) currentRate(now time.Duration) float64 {
	return b.requestRate * math.Exp(-float64(now-b.requestRateAt)/float64(rateOver))
}

// fleetCongestion is how crowded servers are: as all balancers see it, where enough was told, else as it sees it
// itself. One of few requests would take one slow request of its own for a crowded fleet.
func (b *Balancer) fleetCongestion(now time.Duration) float64 {
	fade := math.Exp(-float64(now-b.gossip.decayedAt) / float64(b.objectives(newsAims)))
	if b.count.GossipReceived == 0 || b.gossip.fleetResponses*fade < newsAnswers {
		return b.congestion
	}
	return b.gossip.fleetCongestion / b.gossip.fleetResponses
}

// demandShare is this balancer's part of what all are asked, where peers tell; else an even one.
func (b *Balancer) demandShare(now time.Duration) float64 {
	even := b.quota / float64(b.cfg.Balancers)
	if b.count.GossipReceived == 0 || even == 0 {
		return 1 / float64(b.cfg.Balancers)
	}
	own := b.currentRate(now)
	all := own
	for i := range b.gossip.peers {
		switch p := &b.gossip.peers[i]; {
		case i == b.cfg.Index:
		case p.sentAt == 0 || now-p.sentAt > b.objectives(newsFor):
			all += even // nothing is known of it
		default:
			all += p.requestRate
		}
	}
	return own / max(all, even)
}

// concurrencyLimit is how many attempts this balancer may have out: all its slots, less what crowding takes from the slots
// of all. What is left of those is shared by what each is asked, and everyone has one.
func (b *Balancer) concurrencyLimit(now time.Duration) float64 {
	ease := b.limitFraction(b.fleetCongestion(now) / wholeLater)
	if b.count.GossipReceived == 0 {
		return max(1, float64(b.slots)*ease)
	}
	return max(1, min(float64(b.slots), float64(b.slots*b.cfg.Balancers)*ease*b.demandShare(now)))
}
