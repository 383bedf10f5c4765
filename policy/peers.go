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

// tell tells the others what came since the last time, when it is due.
func (b *Balancer) tell(now time.Duration) {
	if !b.cfg.MayTell || b.cfg.Balancers < 2 || now < b.news.tellAt {
		return
	}
	b.news.tellAt = now + b.aims(tellAims*(0.75+0.5*b.rng.Float64())) // spread: not all at once
	n := News{At: now, Rate: b.asks(now), Answers: b.news.answers}
	if n.Answers > 0 {
		n.Crowd = b.news.crowd / n.Answers
	} else if b.news.quiet++; b.news.quiet%tellIdle != 1 {
		return
	}
	if n.Answers > 0 {
		b.news.quiet = 0
	}
	b.news.answers, b.news.crowd = 0, 0
	b.count.Told++
	b.host.Tell(n)
}

// Heard takes news of the balancer of that number. What is stale, comes twice or out of order, or can't
// be, is dropped and counted.
func (b *Balancer) Heard(now time.Duration, from int, n News) {
	if !b.credible(now, from, n) {
		b.count.Unheard++
		return
	}
	b.count.Heard++
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

// share is this balancer's part of what all are asked, where peers tell; else an even one.
func (b *Balancer) share(now time.Duration) float64 {
	even := b.quota / float64(b.cfg.Balancers)
	if b.count.Heard == 0 || even == 0 {
		return 1 / float64(b.cfg.Balancers)
	}
	own := b.asks(now)
	b.news.forget(now - b.aims(newsFor))
	unknown := float64(b.cfg.Balancers - b.news.believed)
	if b.cfg.Index < b.cfg.Balancers {
		unknown-- // all but this one
	}
	return own / max(own+b.news.rates+unknown*even, even)
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
