package policy

import (
	"slices"
	"time"
)

// maxUnanswered bounds the requests that are remembered: a few hundred per
// second for as long as clients retry.
const maxUnserved = 2048

// unansweredRequest is a request that was rejected or failed:
// its client may retry.
type unservedRequest struct {
	class      *class
	bulkhead   *bulkhead
	key        uint64
	firstTryAt time.Duration
	endedAt    time.Duration
}

// clientRetries finds out when the first try of a client's retry began.
// Responses earn by that time, and the request itself tells only that it is a
// retry.
type clientRetries struct {
	maxDeadline time.Duration     // of all classes: no client retries after it
	unserved    []unservedRequest // in order of abandonedAt
}

// remember takes a request that was rejected or failed.
func (c *clientRetries) record(now time.Duration, r *request) {
	if len(c.unserved) >= maxUnserved {
		c.unserved = slices.Delete(c.unserved, 0, maxUnserved/2)
	}
	c.unserved = append(c.unserved, unservedRequest{r.class, r.bulkhead, r.key, r.firstTryAt, now})
}

// firstTry returns when the first try of a client's retry began: that of the
// latest abandoned request of the same class, tenant and key, as most clients
// retry at once. Without one, the retry counts as a first try.
func (c *clientRetries) firstTryStart(now time.Duration, r *request) time.Duration {
	for i := len(c.unserved) - 1; i >= 0; i-- {
		a := c.unserved[i]
		age := now - a.endedAt
		if age > c.maxDeadline {
			c.unserved = slices.Delete(c.unserved, 0, i+1) // these are too old for any class
		}
		if age > r.class.Deadline {
			break
		}
		if a.class == r.class && a.bulkhead == r.bulkhead && a.key == r.key {
			c.unserved = slices.Delete(c.unserved, i, i+1)
			return a.firstTryAt
		}
	}
	return now
}
