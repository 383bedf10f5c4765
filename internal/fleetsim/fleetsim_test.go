package fleetsim

import (
	"slices"
	"testing"
	"time"

	"cranehatch/policy"
)

// The same seed brings the same play, whether processor time is taken or not; another seed another one.
func TestSameSeedSamePlay(t *testing.T) {
	play := func(seed uint64, measure bool) (uint64, Counts) {
		cfg := testConfig(seed, 30, 5)
		cfg.Measure = measure
		f := begin(t, cfg)
		loseAZone(f, 10*time.Second, 20*time.Second, 30*time.Second)
		keptRules(t, f)
		return f.Digest(), f.Counts().Exact()
	}
	digest, counts := play(1, false)
	if again, same := play(1, true); again != digest || same != counts {
		t.Errorf("digest %x and %+v, then %x and %+v", digest, counts, again, same)
	}
	if other, _ := play(2, false); other == digest {
		t.Error("seeds 1 and 2 bring the same play")
	}
}

// What one side sends, the other gets or the network loses: nothing is counted twice or left out.
func TestMessagesAddUp(t *testing.T) {
	cfg := testConfig(1, 100, 2)
	f := begin(t, cfg)
	f.Run(20 * time.Second)
	for _, s := range f.sidecars { // until nothing is under way
		s.rate = 1e-9
	}
	c := f.Counts()
	flying := int64(0)
	for _, e := range f.clock.heap {
		flying += int64(len(e.to))
	}
	if got, want := c.Gossip.In.Messages+c.Lost+flying, c.Gossip.Out.Messages*99; got != want {
		t.Errorf("%d datagrams heard, lost or under way, want %d of 99 for each of %d told", got, want, c.Gossip.Out.Messages)
	}
	if c.Gossip.In.Bytes != 52*c.Gossip.In.Messages || c.Gossip.Out.Bytes != 52*c.Gossip.Out.Messages {
		t.Errorf("datagrams %+v, want 52 bytes each", c.Gossip)
	}
	f.Run(30 * time.Second)
	c = f.Counts()
	if c.Requests.Out != c.Server.In || c.Server.Out.Messages < c.Requests.In.Messages || c.Requests.In.Messages == 0 {
		t.Errorf("sidecars %+v, servers %+v", c.Requests, c.Server)
	}
	if c.Asked != c.InTime+c.Late+c.Refused+c.Failed {
		t.Errorf("asked %d, answered %d + %d + %d + %d", c.Asked, c.InTime, c.Late, c.Refused, c.Failed)
	}
	var byClass ClassCounts
	for i := range cfg.Mix {
		byClass.Asked += f.Class(i).Asked
		byClass.InTime += f.Class(i).InTime
	}
	if int64(byClass.Asked) != c.Asked || int64(byClass.InTime) != c.InTime {
		t.Errorf("by class %+v, together %+v", byClass, c)
	}
	keptRules(t, f)
}

// One change costs each sidecar one line, one answer and one more watch, and discovery two turns for each.
func TestOneChangeIsOneLineForEach(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		cfg := testConfig(1, n, 0)
		cfg.Rate = 0
		f := begin(t, cfg)
		f.Run(5 * time.Second)
		f.Recount()
		f.announce(n/2, policy.Draining)
		f.Run(2 * time.Second)
		c, all := f.Counts(), int64(n)
		if c.Lines != all || c.Lists.In.Messages != all || c.Lists.Out.Messages != all {
			t.Errorf("%d sidecars read %d lines in %d answers and called %d times", n, c.Lines, c.Lists.In.Messages, c.Lists.Out.Messages)
		}
		if d := c.Discovery; d.Turns != 2*all || d.Lines != all || d.Changes != 1 || d.In != c.Lists.Out || d.Out != c.Lists.In {
			t.Errorf("%d sidecars: discovery %+v", n, d)
		}
		if want := time.Duration(n) * (2*cfg.Discovery.Call + cfg.Discovery.Line); c.Discovery.Worked != want {
			t.Errorf("%d sidecars: discovery worked %v, want %v", n, c.Discovery.Worked, want)
		}
		if len(f.Known()) != 1 || f.Unknown() != 0 {
			t.Errorf("%d sidecars: known after %v, %d unknown", n, f.Known(), f.Unknown())
		}
	}
}

// A zone is lost and back: who comes back reads a line for each server, everyone is told of the change, no rule
// is broken, and all know within 5 s.
func TestZoneLostAndBack(t *testing.T) {
	f := begin(t, testConfig(0, 100, 5))
	loseAZone(f, 10*time.Second, 20*time.Second, 30*time.Second)
	keptRules(t, f)
	c := f.Counts()
	const zone, stay = 16, 84 // of 100 in 6 zones
	if c.Discovery.Changes != 2*zone {
		t.Errorf("%d changes, want %d to be gone and as many to be back", c.Discovery.Changes, zone)
	}
	// Those that stay read all of the changes; those that come back, whole lists of those ready so far and the rest.
	if least := int64(stay * 2 * zone); c.Lines < least+zone*stay || c.Lines > least+zone*(100+2*zone) {
		t.Errorf("%d lines read, want at least %d", c.Lines, least+zone*stay)
	}
	if known := f.Known(); len(known) != 2*zone || longest(known) > 5*time.Second {
		t.Errorf("all knew of %d changes, the last after %v", len(known), longest(known))
	}
}

// Regions are apart and servers replaced on both sides meanwhile: no rule is broken, and 15 s after they can all
// be told, all know.
func TestRegionsApart(t *testing.T) {
	f := begin(t, testConfig(0, 100, 5))
	partRegions(f, 10, time.Minute)
	keptRules(t, f)
	if known := f.Known(); f.Unknown() > 0 || len(known) < 20 || longest(known) > 15*time.Second {
		t.Errorf("all know %d changes, the last after %v, and not %d", len(known), longest(known), f.Unknown())
	}
}

// A tenth of the fleet is replaced, one after the other: no rule is broken, and all know of each change in 5 s.
func TestReplaced(t *testing.T) {
	f := begin(t, testConfig(0, 100, 5))
	f.Run(2 * time.Second)
	replaceSome(f, 11, 30*time.Second)
	f.Run(time.Minute)
	keptRules(t, f)
	if known := f.Known(); len(known) != 3*11 || f.Unknown() > 0 || longest(known) > 5*time.Second {
		t.Errorf("all know %d changes, want %d, the last after %v, and not %d", len(known), 3*11, longest(known), f.Unknown())
	}
}

// Servers crash with what they hold, again and again: what may have run and is unsafe is not sent again, and every
// request gets its answer in time.
func TestCrashes(t *testing.T) {
	f := begin(t, testConfig(0, 60, 30))
	f.Run(2 * time.Second)
	for k := range 40 {
		f.clock.after(time.Duration(k)*500*ms, func() { f.Crash(k*7%60, 2*time.Second) })
	}
	f.Run(25 * time.Second)
	keptRules(t, f)
	if c := f.Class(unsafeClass); c.Failed == 0 || c.InTime < c.Asked*9/10 {
		t.Errorf("of the unsafe %+v, want some to fail and most to be answered", c)
	}
}

// Servers that are slow at first and bear little then are spared by many sidecars, each of which could send them
// no more than a request at a time.
func TestColdServersAreSpared(t *testing.T) {
	cfg := testConfig(0, 300, 2)
	cfg.Servers, cfg.Policy.SlowStartFraction, cfg.Policy.OverloadFactor = 12, 0.1, 1.2
	f := begin(t, cfg)
	f.Run(2 * time.Second)
	for k := range 6 {
		f.clock.after(time.Duration(k)*time.Second, func() { f.Crash(2*k, 2*time.Second) })
	}
	f.Run(20 * time.Second)
	keptRules(t, f)
}

// Discovery is down while servers leave, and back: no rule is broken, and within 15 s all know.
func TestDiscoveryDown(t *testing.T) {
	f := begin(t, testConfig(0, 60, 5))
	f.Run(5 * time.Second)
	f.StopDiscovery()
	f.Run(3 * time.Second)
	replaceSome(f, 6, 5*time.Second)
	f.Run(20 * time.Second)
	f.StartDiscovery()
	f.Run(30 * time.Second)
	keptRules(t, f)
	if known := f.Known(); f.Unknown() > 0 || len(known) == 0 || longest(known) > 15*time.Second {
		t.Errorf("all know %d changes, the last after %v, and not %d", len(known), longest(known), f.Unknown())
	}
}

// Calls that wait too long for their turn fail; discovery works on no more than one at a time.
func TestDiscoveryOverrun(t *testing.T) {
	cfg := testConfig(1, 60, 0)
	cfg.Rate, cfg.Discovery.Call, cfg.Discovery.Patience = 0, 100*ms, time.Second
	f := begin(t, cfg)
	f.Run(1500 * ms)
	c := f.Counts().Discovery
	if c.Turns > 15 || c.Turns < 10 || c.Longest > time.Second {
		t.Errorf("in 1.5 s %d turns of 100 ms, the longest wait %v", c.Turns, c.Longest)
	}
	if c.Failed == 0 {
		t.Errorf("60 calls at once, %d failed", c.Failed)
	}
}

// Each rule is found broken where it is.
func TestBrokenRulesAreFound(t *testing.T) {
	one := func(r Rule, what string, act func(f *Service, s *sidecar)) {
		t.Helper()
		cfg := testConfig(0, 6, 0)
		cfg.Rate = 0
		f := begin(t, cfg)
		f.Run(time.Second)
		act(f, f.sidecars[0])
		if b := f.Broken(); b.Times[r] != 1 || b.Total() != 1 {
			t.Errorf("%s: %v, want one break of %v: %q", what, b.Times, r, b.Detail)
		}
	}
	hold := func(s *sidecar, class int) *request {
		r := &request{ask: &ask{class: class}, id: 1 << 40, from: s, life: s.life}
		s.held[r.id] = r
		return r
	}
	one(OneAnswer, "answered twice", func(f *Service, s *sidecar) {
		r := hold(s, safeClass)
		r.out = 1
		s.Fail(r.id)
		s.Fail(r.id)
	})
	one(OneAnswer, "unheard of", func(f *Service, s *sidecar) { s.Fail(1 << 50) })
	one(RunsOnce, "runs twice", func(f *Service, s *sidecar) {
		r := hold(s, unsafeClass)
		f.ran(&attempt{owner: r})
		f.ran(&attempt{owner: r})
	})
	one(RunsOnce, "refused after it ran", func(f *Service, s *sidecar) {
		r := hold(s, unsafeClass)
		f.ran(&attempt{owner: r})
		s.Reject(r.id, 0)
	})
	one(Drained, "sent 1 s after it was written", func(f *Service, s *sidecar) {
		s.leaving[f.servers[1].id] = f.clock.now - time.Second - 1
		f.checkSend(s, f.servers[1])
		f.checkSend(s, f.servers[2])
	})
	one(Drained, "sent 7 s after discovery had it", func(f *Service, s *sidecar) {
		f.Run(10 * time.Second)
		f.servers[1].leaving = f.clock.now - 7*time.Second - 1
		f.servers[2].leaving = f.clock.now - 7*time.Second
		f.checkSend(s, f.servers[1])
		f.checkSend(s, f.servers[2])
	})
	one(ColdBudget, "one more than it can bear", func(f *Service, s *sidecar) {
		m := f.servers[1]
		m.start()
		for range int(m.budget(0)) + 1 {
			m.countCold()
		}
	})
	late := func(f *Service, s *sidecar) {
		s.try(&ask{class: safeClass, begun: f.clock.now}, 0)
		// Its Balancer hears nothing more: of what is to happen only the client's look at its watch is left.
		f.clock.heap = slices.DeleteFunc(f.clock.heap, func(e event) bool { return e.at != f.clock.now+clientsWait+answerTick })
		f.Run(2 * time.Second)
	}
	one(OneAnswer, "no answer", late)
}

// What can't be reached counts as told by nobody's clock: it begins once it can be.
func TestUnreachableIsNotTold(t *testing.T) {
	cfg := testConfig(0, 6, 0)
	cfg.Rate = 0
	f := begin(t, cfg)
	f.PartRegions()
	f.servers[1].leaving = f.clock.now
	f.Run(time.Minute)
	far, near := f.sidecars[5], f.sidecars[0]
	if _, told := f.toldAt(far, f.servers[1]); told {
		t.Error("told, though discovery could not be reached")
	}
	if at, told := f.toldAt(near, f.servers[1]); !told || at != f.servers[1].leaving+countsTold {
		t.Errorf("the near one is told %v at %v", told, at)
	}
	f.JoinRegions()
	if at, told := f.toldAt(far, f.servers[1]); !told || at != f.clock.now+countsTold {
		t.Errorf("told %v at %v, want 6 s after %v", told, at, f.clock.now)
	}
}

// A cut swallows datagrams and requests; what goes by a connection arrives once it is healed, at the resend.
func TestNetworkCuts(t *testing.T) {
	cfg := testConfig(0, 6, 0)
	cfg.Rate = 0
	f := begin(t, cfg)
	n := f.network
	if n.delay(0, 0) != cfg.Network.Zone || n.delay(0, 2) != cfg.Network.Cross || n.delay(0, 3) != cfg.Network.Region {
		t.Errorf("delays %v %v %v", n.delay(0, 0), n.delay(0, 2), n.delay(0, 3))
	}
	f.PartRegions()
	if _, arrives := n.datagram(0, 3); arrives {
		t.Error("a datagram crossed the cut")
	}
	n.request(0, 3, func() { t.Error("a request crossed the cut") })
	from, arrived := f.clock.now, time.Duration(0)
	n.stream(3, 0, func() { arrived = f.clock.now })
	f.Run(1500 * ms)
	f.JoinRegions()
	f.Run(5 * time.Second)
	if want := from + 3*time.Second + cfg.Network.Region; arrived != want { // sent again after 1 s, and 2 s more
		t.Errorf("arrived at %v, want %v", arrived, want)
	}
	lost := 0
	for range 10000 {
		if _, arrives := n.datagram(0, 1); !arrives {
			lost++
		}
	}
	if lost < 50 || lost > 150 {
		t.Errorf("%d of 10,000 datagrams lost, want about 100", lost)
	}
}

// Services are dealt out as assumed: 670 of 16.4 on average, the largest over 1,500, none below two.
func TestSizes(t *testing.T) {
	for _, n := range []int{100, 300, 1000, 3000, 11000} {
		services := max(1, n*670/11000)
		for _, sizes := range [][]int{Sizes(n, services), Even(n, 1100)} {
			sum := 0
			for _, size := range sizes {
				sum += size
			}
			if sum != n || slices.Min(sizes) < 2 || slices.Max(sizes) != sizes[0] {
				t.Errorf("%d sidecars are dealt out as %v", n, sizes)
			}
		}
	}
	if sizes := Sizes(11000, 670); len(sizes) != 670 || sizes[0] < 1500 || sizes[335] > 5 {
		t.Errorf("%d services, the largest %d, the middle one %d", len(sizes), sizes[0], sizes[335])
	}
	if sizes := Even(11000, 1100); len(sizes) != 10 || sizes[9] != 1100 {
		t.Errorf("%v", sizes)
	}
}

// Settings that can't be played are errors that say why.
func TestUnusableConfig(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no sidecar":     func(c *Config) { c.Sidecars = 0 },
		"no core":        func(c *Config) { c.Server.Cores = 0 },
		"another mix":    func(c *Config) { c.Mix = nil },
		"more regions":   func(c *Config) { c.Regions = c.Zones + 1 },
		"named by two":   func(c *Config) { c.ID = func(int) policy.EndpointID { return 0 } },
		"no aim":         func(c *Config) { c.Policy.Classes[0].LatencyObjective = 0 },
		"before a first": func(c *Config) { c.Offset = -1 },
	} {
		cfg := testConfig(0, 6, 1)
		change(&cfg)
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: it was played", name)
		}
	}
}
