// What balancers tell one another, and what each believes of it. News only advises: it moves how much a
// balancer lets out, never what the rules allow, and without any each goes by what it sees itself.

package policy

import (
	"cmp"
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

	// What a balancer hears must not grow with the fleet: of a large one, a random sample tells. A datagram is 52
	// bytes with its headers and costs some 30 us of processor time to take: so many a second are 10.4 KB and 0.6%
	// of a core, a third of what control may take. An estimate from n peers errs by the deviation of their rates
	// over the root of n: in 10 aims of 0.5 s they are 1000, for rates that differ as a lognormal of sigma 1 does 4%.
	heardMost = 200.0

	// In a sample every peer speaks for many, so what one tells is bounded by what others do: a tenth of peers that
	// tell nonsense then moves the sum by half, and doubles the crowding seen.
	rateMost    = 8.0  // a peer counts for so many even parts of the quotas: as many as its slots hold (deriveSlots)
	rateFew     = 64.0 // and where all tell, each for itself alone, for so many
	answersMost = 2.0  // its answers for those that so many even parts have in an aim
	crowdOver   = 2.0  // and these, for so many times more than is known, or than the least that eases walls
	evenWeight  = 4.0  // the mean of a sample begins as that of so many peers with even parts
)

// News is what a balancer tells the others of the time since it last told.
type News struct {
	At      time.Duration // when it was told, on the clock that all share
	Rate    float64       // requests a second it is asked
	Answers float64       // attempts that ended and tell how crowded servers are
	Crowd   float64       // mean square of the share of the aim that these took
}

// peer is what another balancer last told of itself. Those believed make a ring, in the order of when
// they told; one that is not is a ring by itself.
type peer struct {
	at             time.Duration
	rate           float64
	earlier, later int32
}

// gossip is what a balancer knows of the fleet and is about to tell.
type gossip struct {
	chance     float64 // that it tells when it is time: 1 where all may
	peers      []peer  // by their numbers; one more begins and ends the ring
	believed   int     // peers in the ring
	rates      float64 // sum of theirs
	changes    int     // to the sum, since it was last added up
	tellAt     time.Duration
	quiet      int     // times in a row that there was nothing to tell
	answers    float64 // since it was last told
	crowd      float64 // sum over these
	known      float64 // answers of all balancers lately, faded
	knownCrowd float64 // sum over these
	knownAt    time.Duration
}

// aims is a multiple of the mean aim as a time.
func (b *Balancer) aims(n float64) time.Duration {
	return time.Duration(n * b.aim * float64(time.Second))
}

// learn adds attempts that ended, its own or a peer's, to what is known of the fleet.
func (b *Balancer) learn(now time.Duration, answers, crowd float64) {
	fade := math.Exp(-float64(now-b.news.knownAt) / float64(b.aims(newsAims)))
	b.news.knownAt = now
	b.news.known = b.news.known*fade + answers
	b.news.knownCrowd = b.news.knownCrowd*fade + answers*crowd
}

// note takes one of its own attempts that tells how crowded servers are.
func (b *Balancer) note(now time.Duration, crowd float64) {
	if !b.cfg.MayTell {
		return
	}
	crowd = min(crowd, crowdMost)
	b.news.answers++
	b.news.crowd += crowd
	b.learn(now, 1, crowd)
}

// tell tells the others what came since the last time, when it is due. In a large fleet it does so only now and
// then, by chance, idle or not: those who hear it take it for a random one, of all alike, in the latest aim.
func (b *Balancer) tell(now time.Duration) {
	if !b.cfg.MayTell || b.cfg.Balancers < 2 || now < b.news.tellAt {
		return
	}
	b.news.tellAt = now + b.aims(tellAims*(0.75+0.5*b.rng.Float64())) // spread: not all at once
	n := News{At: now, Rate: b.asks(now), Answers: b.news.answers}
	switch {
	case n.Answers > 0:
		n.Crowd, b.news.quiet = b.news.crowd/n.Answers, 0
	case b.news.chance == 1:
		if b.news.quiet++; b.news.quiet%tellIdle != 1 {
			return
		}
	}
	b.news.answers, b.news.crowd = 0, 0
	if b.news.chance < 1 && b.rng.Float64() >= b.news.chance {
		return
	}
	b.count.Told++
	b.host.Tell(n)
}

// even is what each balancer is asked where the quotas are and all are asked alike, in requests a second.
func (b *Balancer) even() float64 { return b.quota / float64(b.cfg.Balancers) }

// Heard takes news of the balancer of that number. What is stale, comes twice or out of order, or can't
// be, is dropped and counted.
func (b *Balancer) Heard(now time.Duration, from int, n News) {
	if !b.credible(now, from, n) {
		b.count.Unheard++
		return
	}
	most := rateFew
	if b.news.chance < 1 {
		most = rateMost
		answers := max(1, answersMost*cmp.Or(b.even(), b.asks(now))*b.aim*tellAims)
		n.Answers = min(n.Answers, answers)
		over := 1 + crowdOver*math.Sqrt(answers/max(1, n.Answers)) // the fewer answers, the more is chance
		n.Crowd = min(n.Crowd, over*max(b.crowding(now), b.limit))
	}
	b.count.Heard++
	n.Rate = min(n.Rate, most*cmp.Or(b.even(), math.Inf(1)))
	b.news.believe(int32(from), n)
	b.learn(now, n.Answers, n.Crowd)
}

// credible says whether news can be what a peer told just now.
func (b *Balancer) credible(now time.Duration, from int, n News) bool {
	within := func(f, most float64) bool { return f >= 0 && f <= most }
	return b.cfg.MayTell && from >= 0 && from < b.cfg.Balancers && from != b.cfg.Index &&
		n.At <= now+newsAhead && now-n.At <= b.aims(newsLate) && n.At > b.news.peers[from].at &&
		within(n.Rate, math.MaxUint32) && within(n.Answers, math.MaxUint16) && within(n.Crowd, crowdMost)
}

// asks is how many requests a second come of late.
func (b *Balancer) asks(now time.Duration) float64 {
	return b.rate * math.Exp(-float64(now-b.rateAt)/float64(rateOver))
}

// crowding is how crowded servers are: as all balancers see it, where enough was told, else as it sees it
// itself. One of few requests would take one slow request of its own for a crowded fleet.
func (b *Balancer) crowding(now time.Duration) float64 {
	fade := math.Exp(-float64(now-b.news.knownAt) / float64(b.aims(newsAims)))
	if b.count.Heard == 0 || b.news.known*fade < newsAnswers {
		return b.crowd
	}
	return b.news.knownCrowd / b.news.known
}

// asked is how many requests a second all balancers are asked, this one's own among them. Of those not heard,
// nothing is known: each counts for an even part of the quotas or, in a sample, for the mean of those heard.
func (b *Balancer) asked(now time.Duration, own float64) float64 {
	b.news.forget(now - b.aims(newsFor))
	unknown, heard, each := float64(b.cfg.Balancers-b.news.believed), float64(b.news.believed), b.even()
	if b.cfg.Index < b.cfg.Balancers {
		unknown-- // all but this one
	}
	if b.news.chance < 1 {
		each = (b.news.rates + evenWeight*each) / (heard + evenWeight)
	}
	return own + b.news.rates + unknown*each
}

// share is this balancer's part of what all are asked, where peers tell; else an even one.
func (b *Balancer) share(now time.Duration) float64 {
	if b.count.Heard == 0 || b.quota == 0 {
		return 1 / float64(b.cfg.Balancers)
	}
	own := b.asks(now)
	return own / max(b.asked(now, own), b.even())
}

// wall is how many attempts this balancer may have out: all its slots, less what crowding takes from the slots
// of all. What is left of those is shared by what each is asked, and everyone has one.
func (b *Balancer) wall(now time.Duration) float64 {
	ease := b.ease(b.crowding(now) / wholeLater)
	if b.count.Heard == 0 {
		return max(1, float64(b.slots)*ease)
	}
	return max(1, min(float64(b.slots), float64(b.slots*b.cfg.Balancers)*ease*b.share(now)))
}

// ease is the share of its portion that crowding leaves. Where the slots of all balancers together are
// more than servers can bear, each gives way so many times sooner: then they all do before servers choke.
//
// Answers that take a large share of the aim when nobody crowds are no crowd: the limit is then some times
// what they take at the least, and servers bear what the quotas hold in that time (Little's law).
func (b *Balancer) ease(used float64) float64 { return min(1, b.limit/max(used*b.over, 1e-4)) }

// setEase works out what ease goes by and no single server changes: after each answer and each list.
func (b *Balancer) setEase() {
	servers, share := float64(max(1, b.most)), b.unloaded.leastShare
	bears := max(bearable, bearFor*b.quota*b.unloaded.least.Seconds()/servers)
	b.over = max(1, float64(b.slots*b.cfg.Balancers)/(bears*servers))
	b.limit = max(crowdedAt*crowdedAt, min(crowdFor*share*share, crowdLimit*crowdLimit))
}

// learn takes the time of an answer and the share of its aim that it is. The least drifts up, as what it
// was may hold no more; slowly, or a crowd that stays would pass for what answers take.
func (u *unloaded) learn(took time.Duration, share float64) {
	u.answers = min(u.answers+1, leastOver)
	u.mean += (took - u.mean) / time.Duration(u.answers)
	u.meanShare += (share - u.meanShare) / float64(u.answers)
	switch {
	case u.answers < leastOver: // too few to tell
	case u.least == 0:
		u.least, u.leastShare = u.mean, u.meanShare
	default:
		u.least = min(u.mean, u.least+u.least/leastDrift)
		u.leastShare = min(u.meanShare, u.leastShare+u.leastShare/leastDrift)
	}
}
