package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"
)

// A gathering is a fleet that tells what it is asked, and a few real Balancers among it that hear some of it. The
// others are figures alone, so that 11,000 fit: they tell as Balancer.tell does (TestLargeFleetsTellByChance).
type gathering struct {
	rng       *rand.Rand
	now       time.Duration
	members   []member
	observers []*Balancer // the first of the members
	heardBy   [][]bool    // by observer and member: whether there is a way between them
	loss      float64
	exact     gossip // what one knows who hears all that is true, at once
	heard     int
}

type member struct {
	rate, crowd float64 // requests a second; mean square of the share of the aim
	nextAt      time.Duration
	quiet       int
	nonsense    *News
}

const (
	sampleAim    = 500 * ms
	sampleEven   = 20.0 // requests a second in each balancer's part of the quotas
	sampleRates  = 1.3  // and so many times as many are asked
	observerMost = 3
	sampleSeeds  = 3 // as all observers hear much the same sample
)

func sampleConfig(balancers int) Config {
	cfg := sizeConfig(balancers)
	cfg.Tenants = []Tenant{{Share: 1, Quota: sampleEven * float64(balancers)}}
	return cfg
}

func gather(t testing.TB, seed uint64, members int) *gathering {
	g := &gathering{rng: rand.New(rand.NewPCG(seed, uint64(members))), now: time.Minute}
	sum := 0.0
	for range members {
		m := member{rate: math.Exp(g.rng.NormFloat64()), crowd: 0.16 * math.Exp(0.5*g.rng.NormFloat64()-0.125)}
		m.nextAt = g.now + time.Duration(g.rng.Float64()*float64(sampleAim))
		g.members = append(g.members, m)
		sum += m.rate
	}
	for i := range g.members {
		g.members[i].rate *= sampleRates * sampleEven * float64(members) / sum
	}
	for range min(observerMost, members/2) {
		g.heardBy = append(g.heardBy, make([]bool, members))
		for i := range members {
			g.heardBy[len(g.heardBy)-1][i] = true
		}
	}
	g.observers = make([]*Balancer, len(g.heardBy))
	for i := range g.observers {
		g.restart(t, i)
	}
	return g
}

// restart has an observer begin anew, with nothing known.
func (g *gathering) restart(t testing.TB, i int) {
	cfg := sampleConfig(len(g.members))
	cfg.Index = i
	b, err := New(cfg, uint64(i), newFakeHost())
	if err != nil {
		t.Fatal(err)
	}
	b.Start(g.now)
	b.List(g.now, ListFull, ready(1, 2, 3, 4))
	g.observers[i] = b
}

// play lets d go by.
func (g *gathering) play(d time.Duration) {
	const tick = 25 * ms
	for end := g.now + d; g.now < end; g.now += tick {
		for i := range g.members {
			if m := &g.members[i]; g.now >= m.nextAt {
				g.tell(i, m)
			}
		}
		for i, b := range g.observers {
			b.rate, b.rateAt = g.members[i].rate, g.now
		}
	}
}

func (g *gathering) tell(i int, m *member) {
	apart := time.Duration((0.75 + 0.5*g.rng.Float64()) * float64(sampleAim))
	m.nextAt = g.now + apart
	n := News{At: g.now, Rate: max(0, m.rate+g.rng.NormFloat64()*math.Sqrt(m.rate/2/rateOver.Seconds()))}
	mean := m.rate * sampleAim.Seconds()
	n.Answers = max(0, math.Round(mean+g.rng.NormFloat64()*math.Sqrt(mean)))
	if n.Answers > 0 {
		for range min(int(n.Answers), 12) { // squares of times that are spread as an exponential
			x := g.rng.ExpFloat64()
			n.Crowd += min(x*x/2*m.crowd, crowdMost) / min(n.Answers, 12)
		}
		m.quiet = 0
	}
	exactly(&g.exact, g.now, n)
	if i < len(g.observers) {
		for range int(n.Answers) {
			g.observers[i].note(g.now, n.Crowd)
		}
	}
	chance := g.observers[0].news.chance
	if n.Answers == 0 && chance == 1 {
		if m.quiet++; m.quiet%tellIdle != 1 {
			return
		}
	}
	if chance < 1 && g.rng.Float64() >= chance {
		return
	}
	if m.nonsense != nil {
		n = *m.nonsense
		n.At = g.now
	}
	for o, b := range g.observers {
		if o != i && g.heardBy[o][i] && g.rng.Float64() >= g.loss {
			b.Heard(g.now, i, n)
			g.heard++
		}
	}
}

// exactly adds what was truly answered to what is known of it, which fades as a Balancer's knowledge does.
func exactly(k *gossip, now time.Duration, n News) {
	fade := math.Exp(-float64(now-k.knownAt) / float64(sampleAim) / newsAims)
	k.knownAt = now
	k.known = k.known*fade + n.Answers
	k.knownCrowd = k.knownCrowd*fade + n.Answers*n.Crowd
}

// errors are those of an estimate over its exact value, all observers and looks together.
type errors struct{ square, worst, bias, n float64 }

func (e *errors) add(estimate, exact float64) {
	x := estimate/exact - 1
	e.square, e.worst, e.bias, e.n = e.square+x*x, max(e.worst, math.Abs(x)), e.bias+x, e.n+1
}
func (e *errors) rms() float64 { return math.Sqrt(e.square / e.n) }

// measure looks at the estimates after an aim, and then a few times more.
func (g *gathering) measure(looks int, rates, crowd *errors) {
	sum := 0.0
	for i := range g.members {
		sum += g.members[i].rate
	}
	for look := range looks {
		if g.play(sampleAim); look > 0 {
			g.play(2 * sampleAim) // so that most of what is believed is new
		}
		for _, b := range g.observers {
			rates.add(b.asked(g.now, b.asks(g.now)), sum)
			crowd.add(b.crowding(g.now), g.exact.knownCrowd/g.exact.known)
		}
	}
}

// Guards against estimates that err so far that walls shut or open by them: of all that is asked and of how
// crowded servers are, in fleets of all sizes, where much is lost, half is cut off, peers begin anew or tell
// nonsense, and most are idle. Errors are shares of the exact value. Run with -v for the table.
func TestEstimatesOfTheFleet(t *testing.T) {
	absurd := &News{Rate: math.MaxUint32, Answers: math.MaxUint16, Crowd: crowdMost}
	const aims = sampleAim
	type limits struct{ rates, crowd float64 } // root of the mean square of errors; 0: not bounded
	cases := []struct {
		name      string
		few, many limits // where all tell, and in samples
		play      func(g *gathering)
		looks     int
	}{
		{"calm", limits{0.05, 0.05}, limits{0.1, 0.2}, func(g *gathering) {}, 6},
		{"3 in 10 lost", limits{0.05, 0.15}, limits{0.1, 0.2}, func(g *gathering) { g.loss = 0.3 }, 6},
		{"half cut off", limits{0.3, 0.3}, limits{0.12, 0.25}, func(g *gathering) {
			for o := range g.heardBy {
				for i := range g.members {
					g.heardBy[o][i] = i == o || g.rng.IntN(2) == 0
				}
			}
			g.play(12 * aims)
		}, 6},
		{"1 aim after a restart", limits{0.2, 0.2}, limits{0.25, 0.25}, func(g *gathering) { restartAll(t, g) }, 1},
		{"5 aims after a restart", limits{0.05, 0.05}, limits{0.12, 0.2}, func(g *gathering) {
			restartAll(t, g)
			g.play(4 * aims)
		}, 1},
		{"6 in 10 idle", limits{0.05, 0.05}, limits{0.15, 0.25}, func(g *gathering) {
			for i := range g.members {
				if i >= len(g.observers) && i%10 < 6 {
					g.members[i].rate = 0.05
				}
			}
			g.play(12 * aims)
		}, 6},
		{"1 aim into a crowd", limits{0.05, 0.05}, limits{0.12, 0.6}, func(g *gathering) { crowdAll(g) }, 1},
		{"3 aims into a crowd", limits{0.05, 0.05}, limits{0.12, 0.25}, func(g *gathering) {
			crowdAll(g)
			g.play(2 * aims)
		}, 1},
		// Where all tell, their answers are taken as told, and those of a few that tell nonsense outweigh the rest:
		// what is seen is then as false as crowdMost allows, and no more.
		{"a tenth tell the most", limits{9, 0}, limits{0.8, 3}, func(g *gathering) {
			for i := range g.members {
				if i%10 == 9 {
					g.members[i].nonsense = absurd
				}
			}
			g.play(12 * aims)
		}, 6},
		{"a tenth tell of nothing", limits{0.35, 0}, limits{0.25, 0.3}, func(g *gathering) {
			for i := range g.members {
				if i%10 == 9 {
					g.members[i].nonsense = &News{Answers: math.MaxUint16}
				}
			}
			g.play(12 * aims)
		}, 6},
	}
	table := fmt.Sprintf("%-24s %8s %9s  %22s  %22s\n", "", "", "heard", "asked: error", "crowding: error")
	table += fmt.Sprintf("%-24s %8s %9s  %6s %7s %7s  %6s %7s %7s\n", "", "sidecars", "a second", "rms", "bias", "worst", "rms", "bias", "worst")
	for _, c := range cases {
		for _, n := range []int{16, 100, 300, 1000, 3000, 11000} {
			var rates, crowd errors
			perSecond, chance := 0.0, 0.0
			for seed := range uint64(sampleSeeds) {
				g := gather(t, seed, n)
				g.play(12 * aims)
				c.play(g)
				begun := g.now
				g.heard = 0
				g.measure(c.looks, &rates, &crowd)
				perSecond += float64(g.heard) / float64(len(g.observers)) / (g.now - begun).Seconds() / sampleSeeds
				chance = g.observers[0].news.chance
			}
			table += fmt.Sprintf("%-24s %8d %9.0f  %6.3f %+7.3f %7.3f  %6.3f %+7.3f %7.3f\n", c.name, n, perSecond,
				rates.rms(), rates.bias/rates.n, rates.worst, crowd.rms(), crowd.bias/crowd.n, crowd.worst)
			most := c.many
			if chance == 1 {
				most = c.few
			}
			if rates.rms() > most.rates || most.crowd > 0 && crowd.rms() > most.crowd {
				t.Errorf("%s, %d sidecars: errors of %.3f and %.3f, at most %+v", c.name, n, rates.rms(), crowd.rms(), most)
			}
			if perSecond > 1.3*heardMost {
				t.Errorf("%s, %d sidecars: %.0f news heard a second, want %v on average", c.name, n, perSecond, heardMost)
			}
		}
	}
	t.Logf("a Balancer among 11,000 holds %d bytes of peers\n%s", 11001*unsafe.Sizeof(peer{}), table)
}

func restartAll(t *testing.T, g *gathering) {
	for i := range g.observers {
		g.restart(t, i)
	}
}

// crowdAll has servers become crowded that were calm.
func crowdAll(g *gathering) {
	for i := range g.members {
		g.members[i].crowd /= 20
	}
	g.play(12 * sampleAim)
	for i := range g.members {
		g.members[i].crowd *= 100
	}
}

// Guards against talk that grows with the fleet, and against samples in which the idle or those with more to tell
// are not as often as others. Where all may tell, nothing changes.
func TestLargeFleetsTellByChance(t *testing.T) {
	told := func(balancers int, busy bool) (n int) {
		for i := range 10 {
			cfg := sampleConfig(balancers)
			cfg.Index = i
			b, h := startSeeded(t, cfg, uint64(i), ready(1, 2))
			for now := time.Second; now < 101*time.Second; now += 10 * ms { // 200 aims
				if busy && b.news.answers == 0 {
					b.note(now, 0.1)
				}
				b.Wake(now)
			}
			n += len(h.tells)
		}
		return n
	}
	for _, c := range []struct {
		balancers   int
		busy        bool
		least, most int
	}{
		// Each aim, or a tenth of it later, as an idle balancer looks no sooner; then one in four; then a share.
		{100, true, 1750, 2000}, {100, false, 430, 500},
		{1000, true, 140, 230}, {1000, false, 140, 230},
		{11000, true, 8, 30}, {11000, false, 8, 30},
	} {
		if n := told(c.balancers, c.busy); n < c.least || n > c.most {
			t.Errorf("10 of %d, busy: %v, told %d times in 200 aims, want %d to %d", c.balancers, c.busy, n, c.least, c.most)
		}
	}
}
