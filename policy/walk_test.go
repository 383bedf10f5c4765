package policy_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"arrowgw/internal/fleet"
	"arrowgw/policy"
)

// Guards against a turn or a share that is not what a walk over all servers and peers comes to: servers that
// leave, drain and come back, other weights, walls, failures, and peers that fall silent.
func TestTurnsAndSharesAreThoseOfTheWholeWalk(t *testing.T) {
	for seed := range uint64(2) {
		const sidecars, servers = 24, 60
		cfg := fleetConfig(seed, sidecars, servers, 2700)
		balancers := make([]*policy.Balancer, sidecars)
		n, compared, started := 0, 0, 0
		cfg.Observe = func(now time.Duration, sidecar int, b *policy.Balancer) {
			if balancers[sidecar] == nil {
				balancers[sidecar] = b
				started++
			}
			if started < sidecars {
				return
			}
			switch n++; n % 4 { // all in turn, and the one that the event was for
			case 0, 2:
				policy.Compare(t, balancers[n/2%sidecars], now)
			case 1:
				policy.Compare(t, b, now)
			default:
				return
			}
			compared++
		}
		f, err := fleet.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		var list []policy.Server
		for i := range servers {
			id := cfg.ID(i)
			list = append(list, policy.Server{ID: id, Zone: int(id % 2), State: policy.Ready, Weight: 1 + float64(id%3)})
		}
		slices.SortFunc(list, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
		for step := range 8 {
			f.Run(300 * ms)
			e := list[step]
			e.State = policy.State(step % 3)
			for i, b := range balancers {
				if i%3 < 2 {
					b.List(f.Now(), policy.ListDelta, []policy.Server{e})
				}
				if step == 3 {
					b.List(f.Now(), policy.ListFull, list[:50])
				}
			}
		}
		if broken := f.Broken(); broken.Total() > 0 || compared < 15000 {
			t.Errorf("compared %d times; rules broken %v: %q", compared, broken.Times, broken.Detail)
		}
	}
}
