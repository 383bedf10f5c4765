package policy

import (
	"slices"
	"time"
)

// maxUnanswered bounds the requests that are remembered: a few hundred per
// second for as long as clients retry.
const maxUnanswered = 2048

// unansweredRequest is a request that was rejected or failed:
// its client may retry.
type unansweredRequest struct {
	class           *class
	bulkhead        *bulkhead
	key             uint64
	clientStartedAt time.Duration
	endedAt         time.Duration
}

// clientRetries finds out when the first try of a client's retry began.
// Responses earn by that time, and the request itself tells only that it is a
// retry.
type clientRetries struct {
	maxDeadline time.Duration       // of all classes: no client retries after it
	unanswered  []unansweredRequest // in order of abandonedAt
}

// remember takes a request that was rejected or failed.
func (c *clientRetries) remember(now time.Duration, r *request) {
	if len(c.unanswered) >= maxUnanswered {
		c.unanswered = slices.Delete(c.unanswered, 0, maxUnanswered/2)
	}
	c.unanswered = append(c.unanswered, unansweredRequest{r.class, r.bulkhead, r.key, r.clientStartedAt, now})
}

// firstTry returns when the first try of a client's retry began: that of the
// latest abandoned request of the same class, tenant and key, as most clients
// retry at once. Without one, the retry counts as a first try.
func (c *clientRetries) firstTry(now time.Duration, r *request) time.Duration {
	for i := len(c.unanswered) - 1; i >= 0; i-- {
		a := c.unanswered[i]
		age := now - a.endedAt
		if age > c.maxDeadline {
			c.unanswered = slices.Delete(c.unanswered, 0, i+1) // these are too old for any class
		}
		if age > r.class.Deadline {
			break
		}
		if a.class == r.class && a.bulkhead == r.bulkhead && a.key == r.key {
			c.unanswered = slices.Delete(c.unanswered, i, i+1)
			return a.clientStartedAt
		}
	}
	return now
}
