package policy

import (
	"slices"
	"time"
)

// maxUnserved bounds the number of unserved requests that are kept. It allows for a few hundred per
// second over the time in which clients retry.
const maxUnserved = 2048

// unservedRequest is a request that was rejected or failed. Its client may retry.
type unservedRequest struct {
	class      *class
	bulkhead   *bulkhead
	key        uint64
	firstTryAt time.Duration
	endedAt    time.Duration // when it was rejected or failed
}

// clientRetries determines when the first try of a client retry began. The value of a response
// depends on that time, but the request itself only shows that it is a retry.
type clientRetries struct {
	maxDeadline time.Duration     // longest over all classes: no client retries after it
	unserved    []unservedRequest // in order of endedAt
}

// record stores a request that was rejected or failed.
func (c *clientRetries) record(now time.Duration, r *request) {
	if len(c.unserved) >= maxUnserved {
		c.unserved = slices.Delete(c.unserved, 0, maxUnserved/2)
	}
	c.unserved = append(c.unserved, unservedRequest{r.class, r.bulkhead, r.key, r.firstTryAt, now})
}

// firstTryStart returns when the first try of a client retry began. The retry is assumed to repeat
// the latest unserved request of the same class, tenant and key, as most clients retry at once, and
// that request is no longer kept. Without such a request, the retry counts as a first try.
func (c *clientRetries) firstTryStart(now time.Duration, r *request) time.Duration {
	for i := len(c.unserved) - 1; i >= 0; i-- {
		candidate := c.unserved[i]
		age := now - candidate.endedAt
		if age > c.maxDeadline {
			c.unserved = slices.Delete(c.unserved, 0, i+1) // too old for every class
		}
		if age > r.class.Deadline {
			break
		}
		if candidate.class == r.class && candidate.bulkhead == r.bulkhead && candidate.key == r.key {
			c.unserved = slices.Delete(c.unserved, i, i+1)
			return candidate.firstTryAt
		}
	}
	return now
}
