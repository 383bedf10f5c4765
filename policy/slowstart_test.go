package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestSlowStartOfRestartedEndpoint(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.Balancers = balancers
		list := ready(1, 2)
		b, h := start(t, cfg, list)
		list[0].StartedAt = 10 * time.Second // restarted under the same id
		b.UpdateEndpoints(10*time.Second, DeltaUpdate, list[:1])
		id := RequestID(0)
		sends := map[bool]int{} // by whether in the first window
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.sentTo(1)
			submit(b, now, id, idempotentClass)
			finish(b, now+ms, id, 0, Succeeded)
			id++
			if h.sentTo(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// Capacity by the quotas: 100 a second over two servers; cold at 0.3, budget 3 times that.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: %v sends in the first second, budget of each %.1f", balancers, n, budget)
		}
		if h.sentTo(1) < 500 {
			t.Errorf("%d balancers: only %d sends once it had warmed up", balancers, h.sentTo(1))
		}
	}
}

// Guards against rule 4 at the grown delta-rounds (big-1, big-2 untouched): hundreds of sidecars, each with a
// first send free, push a restarted server over within a second of its listing.
func TestSlowStartOverManyBalancers(t *testing.T) {
	const balancers, servers = 400, 40
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	cfg.Tenants = []Tenant{{Weight: 1, Quota: 4 * balancers}}
	var times []time.Duration
	for n := range balancers {
		cfg.Index = n
		list := ready()
		for id := range EndpointID(servers) {
			list = append(list, Endpoint{ID: id, State: Ready, Weight: 1})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		for id := range EndpointID(servers) {
			if id != 5 {
				b.endpoints.find(id).nextTurn = math.Inf(1) // the others are down: all would go to the cold one
			}
		}
		b.UpdateEndpoints(10*time.Second, DeltaUpdate, []Endpoint{{ID: 5, State: Ready, Weight: 1, StartedAt: 10 * time.Second}})
		for i := range 400 {
			now := 10*time.Second + time.Duration(i)*10*ms
			before := h.sentTo(5)
			if i%10 == n%10 {
				submit(b, now, RequestID(i), nonIdempotentClass)
				if last := h.sends[len(h.sends)-1]; last.to != 5 {
					finish(b, now, last.id, 0, Succeeded)
				}
			}
			b.TimerFired(now)
			if h.sentTo(5) > before {
				times = append(times, now)
				finish(b, now, RequestID(i), 0, Succeeded)
			}
		}
	}
	// It can do 40 a second when warm, 0.3 of that at first; three times that for a second is the limit.
	for from := 10 * time.Second; from < 13*time.Second; from += 100 * ms {
		got := 0
		for _, at := range times {
			if at >= from && at < from+time.Second {
				got++
			}
		}
		warmth := 0.3 + 0.7*(from-10*time.Second).Seconds()/8
		if most := 3 * 40 * warmth; float64(got) > most {
			t.Fatalf("%d sends to the cold server in the second from %v, at most %.0f", got, from, most)
		}
	}
	if len(times) < 20 {
		t.Fatalf("only %d sends: the test shows nothing", len(times))
	}
}

// A server back from silence is taken for cold before the list tells.
func TestSlowStartAfterSilence(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	submit(b, 0, 1, nonIdempotentClass)
	finish(b, time.Second, 1, 0, TimedOut)
	resetAdmission(b)
	submit(b, 1100*ms, 2, nonIdempotentClass)
	finish(b, 2100*ms, 2, 0, TimedOut)
	resetAdmission(b)
	submit(b, 3*time.Second, 3, nonIdempotentClass)
	finish(b, 3100*ms, 3, 0, Succeeded)
	if b.endpoints.find(1).slowStartUntil != 3100*ms+8*time.Second || len(h.log) == 0 {
		t.Fatalf("cold until %v, log %v", b.endpoints.find(1).slowStartUntil, h.log)
	}
}

// slowStartFleet plays balancers that send to the same servers, some of which have just started, and counts what all of
// them together send to each of these. Attempts end well after coldAnswer, but those that fail.
type slowStartFleet struct {
	balancers, established, starting int
	load                             float64 // what is asked, as a share of the quotas
	trafficSpread                    float64 // standard deviation of the logarithm of the balancers' shares of it; 0: even ones
	rejectedFraction                 float64 // share of attempts at warm servers that are turned away, to be sent again
	unknownQuota                     bool    // no tenants, so no quotas tell what servers can do
	balancersRestarted               bool    // all balancers begin anew when the servers have started, with a list that names them
}

const (
	slowStartStep    = 5 * ms
	slowStartLatency = 30 * ms
	overloadWindow   = 2 * time.Second // overload_for_ms
	endpointCapacity = 9.0             // requests a second that a warm server can do; quotas are 0.7 to 0.95 of all that
	quotaFraction    = 0.95
)

// maxOverload returns the most that a cold server got in any window, as a share of what it bears: its budget and what is put
// down to chance. Above 1 it falls. The budget is that of the window's beginning, when the server is coldest.
func (f slowStartFleet) maxOverload(t *testing.T, seed uint64) (worst float64, further int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	all := f.established + f.starting
	cfg := largeFleetConfig(f.balancers)
	cfg.PollsEndpoints, cfg.CrossZoneCost = false, 0
	total := quotaFraction * endpointCapacity * float64(all)
	for i := range cfg.Tenants {
		cfg.Tenants[i].Quota = cfg.Tenants[i].Weight * total
	}
	if f.unknownQuota {
		cfg.Tenants = nil
	}
	started := 10 * time.Second // on the balancers' clock
	var list []Endpoint
	for i := range all {
		s := Endpoint{ID: EndpointID(0x9e3779b97f4a7c15 * uint64(i+1)), State: Ready, Weight: 1}
		list = append(list, s)
	}
	isCold := map[EndpointID]int{}
	fresh := slices.Clone(list[:f.starting])
	for i := range fresh {
		fresh[i].StartedAt = started
		isCold[fresh[i].ID] = i
	}
	rates, sum := make([]float64, f.balancers), 0.0
	for i := range rates {
		rates[i] = math.Exp(f.trafficSpread * rng.NormFloat64())
		sum += rates[i]
	}
	type process struct {
		b    *Balancer
		h    *fakeHost
		seen int
	}
	var processes []*process
	begin := started - 4*time.Second
	if f.balancersRestarted {
		begin = started + 200*ms
	}
	for i := range f.balancers {
		cfg.Index = i
		h := newFakeHost()
		b, err := New(cfg, seed<<20+uint64(i), h)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(begin)
		if f.balancersRestarted {
			b.UpdateEndpoints(begin, CachedUpdate, append(slices.Clone(fresh), list[f.starting:]...))
		} else {
			b.UpdateEndpoints(begin, CachedUpdate, list[f.starting:])
		}
		processes = append(processes, &process{b: b, h: h})
	}
	type ending struct {
		at   time.Duration
		p    *process
		id   RequestID
		n    int
		ends Result
	}
	var endings []ending
	attempts := map[RequestID]int{}
	arrived := make([][]time.Duration, f.starting)
	id := RequestID(0)
	told := false
	for now := begin; now < started+cfg.SlowStartDuration; now += slowStartStep {
		if !f.balancersRestarted && !told && now >= started+300*ms {
			told = true
			for _, p := range processes {
				p.b.UpdateEndpoints(now, DeltaUpdate, fresh)
			}
		}
		for len(endings) > 0 && endings[0].at <= now {
			e := endings[0]
			endings = endings[1:]
			finish(e.p.b, now, e.id, e.n, e.ends)
		}
		for i, p := range processes {
			want := total * f.load * rates[i] / sum * slowStartStep.Seconds()
			for want > 0 && rng.Float64() < want {
				want--
				p.b.Request(now, Request{ID: id, Class: rng.IntN(2), Tenant: rng.IntN(3), Timeout: 2 * time.Second})
				id++
			}
			if (now/slowStartStep+time.Duration(i))%4 == 0 {
				p.b.TimerFired(now)
			}
		}
		for _, p := range processes {
			for ; p.seen < len(p.h.sends); p.seen++ {
				s := p.h.sends[p.seen]
				n := attempts[s.id]
				attempts[s.id]++
				c, cold := isCold[s.to]
				e := ending{now + slowStartLatency, p, s.id, n, Succeeded}
				if cold {
					arrived[c] = append(arrived[c], now)
					if n > 0 {
						further++
					}
				} else if rng.Float64() < f.rejectedFraction {
					e.at, e.ends = now+slowStartStep, Rejected
				}
				at, _ := slices.BinarySearchFunc(endings, e.at+1, func(x ending, at time.Duration) int { return int(x.at - at) })
				endings = slices.Insert(endings, at, e)
			}
		}
	}
	for _, times := range arrived {
		for first, last := 0, 0; first < len(times); first++ {
			for last < len(times) && times[last] < times[first]+overloadWindow {
				last++
			}
			age := float64(times[first]-started) / float64(cfg.SlowStartDuration)
			n := cfg.OverloadFactor * endpointCapacity * overloadWindow.Seconds() * (cfg.SlowStartFraction + (1-cfg.SlowStartFraction)*age)
			worst = max(worst, float64(last-first)/(n+2*math.Sqrt(n)+2))
		}
	}
	return worst, further
}

// A cold server falls under the sum of what all balancers send it, so the ramp of each has to hold for all: with
// few and with many, with even and uneven traffic, in a fleet that has just been restarted and has heard no news
// yet, and with further attempts as well as first ones.
func TestSlowStartOverFleet(t *testing.T) {
	for _, processes := range []int{2, 20, 30, 300} {
		for _, f := range []slowStartFleet{
			{established: 26, starting: 4, load: 1.2},
			{established: 26, starting: 4, load: 1.5, trafficSpread: 1.5},
			{established: 15, starting: 15, load: 1, trafficSpread: 1},
			{established: 26, starting: 4, load: 1, trafficSpread: 1, balancersRestarted: true},
			{established: 10, starting: 20, load: 1.2, trafficSpread: 1, balancersRestarted: true},
			{established: 20, starting: 10, load: 1, trafficSpread: 1, rejectedFraction: 0.3},
			{established: 180, starting: 20, load: 1.2, trafficSpread: 1},
			{established: 27, starting: 3, load: 2, trafficSpread: 1.5, rejectedFraction: 0.9},
			{established: 27, starting: 3, load: 2, trafficSpread: 1.5, rejectedFraction: 0.9, balancersRestarted: true},
			{established: 27, starting: 3, load: 2, rejectedFraction: 0.9},
			{established: 26, starting: 4, load: 1, trafficSpread: 1, unknownQuota: true},
			{established: 27, starting: 3, load: 1, trafficSpread: 1, rejectedFraction: 0.3, unknownQuota: true},
			{established: 10, starting: 20, load: 1, trafficSpread: 1, rejectedFraction: 0.3, unknownQuota: true, balancersRestarted: true},
		} {
			f.balancers = processes
			t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
				top, more := math.Inf(-1), 0
				for seed := range uint64(1 + 60/(processes+20)) { // fewer of the large: there each is a mean already
					worst, further := f.maxOverload(t, seed)
					top, more = max(top, worst), more+further
				}
				t.Logf("worst %.2f, further %d", top, more)
				if top > 1 {
					t.Errorf("a cold server got %.2f times what it bears", top)
				}
			})
		}
	}
}
