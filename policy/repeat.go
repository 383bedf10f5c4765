// When a client's first try of what it asks for again began. Its answers earn by that time, and the
// request itself tells only that it is a repeat.

package policy

import (
	"slices"
	"time"
)

// maxAbandoned bounds what is remembered: a few hundred a second for as long as clients come back.
const maxAbandoned = 2048

// abandonedRequest is a request that ended without an answer of a server: its client may ask again.
type abandonedRequest struct {
	class           *class
	bulkhead        *bulkhead
	key             uint64
	clientStartedAt time.Duration // when its first try began
	abandonedAt     time.Duration // when it was given up
}

// rememberAbandoned notes a request that is refused or failed.
func (b *Balancer) rememberAbandoned(now time.Duration, r *request) {
	if !b.cfg.ClientsMarkRetries || r.key == 0 {
		return
	}
	if len(b.abandoned) >= maxAbandoned {
		b.abandoned = slices.Delete(b.abandoned, 0, maxAbandoned/2)
	}
	b.abandoned = append(b.abandoned, abandonedRequest{r.class, r.bulkhead, r.key, r.clientStartedAt, now})
}

// clientStart is when the first try of a client's repeat began: that of the latest request alike that was
// given up, as most clients ask again at once. Nothing alike, and it counts as begun now.
func (b *Balancer) clientStart(now time.Duration, r *request) time.Duration {
	for i := len(b.abandoned) - 1; i >= 0; i-- {
		g := b.abandoned[i]
		if now-g.abandonedAt > r.class.Deadline {
			if now-g.abandonedAt > b.maxDeadline {
				b.abandoned = slices.Delete(b.abandoned, 0, i+1) // in order of time: these and all before are too old
			}
			break
		}
		if g.class == r.class && g.bulkhead == r.bulkhead && g.key == r.key {
			b.abandoned = slices.Delete(b.abandoned, i, i+1)
			return g.clientStartedAt
		}
	}
	return now
}
