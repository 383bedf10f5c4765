// When a client's first try of what it asks for again began. Its answers earn by that time, and the
// request itself tells only that it is a repeat.

package policy

import (
	"slices"
	"time"
)

// givenUpMost bounds what is remembered: a few hundred a second for as long as clients come back.
const givenUpMost = 2048

// givenUp is a request that ended without an answer of a server: its client may ask again.
type givenUp struct {
	class  *class
	tenant *compartment
	key    uint64
	first  time.Duration // when its first try began
	at     time.Duration // when it was given up
}

// remember notes a request that is refused or failed.
func (b *Balancer) remember(now time.Duration, r *request) {
	if !b.cfg.MarksRepeat || r.key == 0 {
		return
	}
	if len(b.gaveUp) >= givenUpMost {
		b.gaveUp = slices.Delete(b.gaveUp, 0, givenUpMost/2)
	}
	b.gaveUp = append(b.gaveUp, givenUp{r.class, r.home, r.key, r.first, now})
}

// firstTry is when the first try of a client's repeat began: that of the latest request alike that was
// given up, as most clients ask again at once. Nothing alike, and it counts as begun now.
func (b *Balancer) firstTry(now time.Duration, r *request) time.Duration {
	for i := len(b.gaveUp) - 1; i >= 0; i-- {
		g := b.gaveUp[i]
		if now-g.at > r.class.Deadline {
			if now-g.at > b.longest {
				b.gaveUp = slices.Delete(b.gaveUp, 0, i+1) // in order of time: these and all before are too old
			}
			break
		}
		if g.class == r.class && g.tenant == r.home && g.key == r.key {
			b.gaveUp = slices.Delete(b.gaveUp, i, i+1)
			return g.first
		}
	}
	return now
}
