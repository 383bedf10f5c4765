package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// What decisions go by is kept as events come, so that no request walks all peers or servers. Here it is worked
// out anew each time, as slowly as it reads: both must agree, whatever happened.

// referenceEase is ease, worked out for one server.
func referenceEase(b *Balancer, used float64) float64 {
	servers, share := float64(max(1, b.most)), b.unloaded.leastShare
	bears := max(bearable, bearFor*b.quota*b.unloaded.least.Seconds()/servers)
	over := float64(b.slots*b.cfg.Balancers) / (bears * servers)
	limit := max(crowdedAt*crowdedAt, min(crowdFor*share*share, crowdLimit*crowdLimit))
	return min(1, limit/max(used*max(1, over), 1e-4))
}

// referenceTurn looks at all servers of the arc, in the order in which they are in the list.
func referenceTurn(b *Balancer, now time.Duration, r *request) (best *server, walled bool) {
	lost := math.Inf(1)
	for _, s := range b.arc {
		portion := max(1, b.part(float64(b.slots), s)*b.weight/b.reach*referenceEase(b, s.used))
		switch {
		case r.tried(s) || !b.mayGo(now, r, s):
		case now < s.backAt, float64(s.out) >= portion, b.fuller(now, r, s):
			lost = min(lost, s.due)
		case best == nil || s.due < best.due:
			best = s
		}
	}
	return best, best != nil && lost < best.due
}

// referenceShare walks all peers.
func referenceShare(b *Balancer, now time.Duration) float64 {
	even := b.quota / float64(b.cfg.Balancers)
	if b.count.Heard == 0 || even == 0 {
		return 1 / float64(b.cfg.Balancers)
	}
	own := b.asks(now)
	heard, unknown, sum := 0, 0, 0.0
	for i, p := range b.news.peers[:b.cfg.Balancers] {
		switch {
		case i == b.cfg.Index:
		case p.at == 0 || now-p.at > b.aims(newsFor):
			unknown++
		default:
			heard++
			sum += p.rate
		}
	}
	each := even
	if b.news.chance < 1 {
		each = (sum + evenWeight*even) / (float64(heard) + evenWeight)
	}
	return own / max(own+sum+float64(unknown)*each, even)
}

// compare has the turn of each request that is open, and of a new one, found both ways, and the share.
func compare(t testing.TB, b *Balancer, now time.Duration) {
	t.Helper()
	fresh := &request{class: &b.classes[0], home: &b.parts[0], deadline: now + time.Second}
	for _, r := range append([]*request{fresh}, b.open...) {
		s, walled := b.turnOf(now, r, b.turns, true)
		if want, lost := referenceTurn(b, now, r); s != want || walled != lost {
			t.Fatalf("at %v: the turn of request %d is that of %+v (walled: %v), want %+v (%v)", now, r.id, s, walled, want, lost)
		}
	}
	if got, want := b.share(now), referenceShare(b, now); math.Abs(got-want) > 1e-6*want {
		t.Fatalf("at %v: a share of %v, want %v", now, got, want)
	}
	all := 0
	for _, s := range b.servers {
		if s.State != Ready {
			continue
		}
		all++
		if s.ours != slices.Contains(b.arc, s) || s.ours != slices.Contains(b.turns, s) {
			t.Fatalf("at %v: server %d is taken to be in the arc: %v", now, s.ID, s.ours)
		}
	}
	if all != len(b.ready) || len(b.turns) != len(b.arc) {
		t.Fatalf("at %v: %d servers ready, want %d; %d turns for %d servers", now, len(b.ready), all, len(b.turns), len(b.arc))
	}
}

// Guards against errors of rounding that add up, and peers kept beyond their time: rates of any size, told in
// any order within what is credible, for many times the time that they are believed.
func TestSumOfPeersStaysExact(t *testing.T) {
	for _, balancers := range []int{50, 3000} { // all tell, and a sample
		sumStaysExact(t, balancers)
	}
}

func sumStaysExact(t *testing.T, balancers int) {
	cfg := sizeConfig(balancers)
	b, _ := start(t, cfg, ready(1, 2, 3))
	rng := rand.New(rand.NewPCG(1, 5)).Float64
	now := time.Minute
	for i := range 20000 {
		now += time.Duration(rng() * 4 * float64(ms))
		if i%4000 > 3000 {
			now += time.Duration(rng() * 400 * float64(ms)) // fewer tell, some fall silent
		}
		rate := rng() * 50
		if rng() < 0.1 {
			rate = rng() * math.MaxUint32
		}
		b.Heard(now, 1+int(rng()*49), News{At: now - time.Duration(rng()*float64(time.Second)), Rate: rate})
		compare(t, b, now)
	}
	if b.count.Heard < 5000 || b.count.Unheard < 1000 {
		t.Fatalf("%d taken and %d dropped: not what this is to test", b.count.Heard, b.count.Unheard)
	}
	if compare(t, b, now+time.Hour); b.news.believed != 0 || b.news.rates != 0 {
		t.Fatalf("%d still believed an hour later, with %v requests a second", b.news.believed, b.news.rates)
	}
}
