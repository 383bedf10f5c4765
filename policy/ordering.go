package policy

import (
	"maps"
	"slices"
	"time"
)

// minKeyQueues is how many key queues, besides two for each open request, are kept before unused
// ones are removed.
const minKeyQueues = 64

// keyQueue holds the requests of one key, which run one at a time in order of arrival. A request
// leaves the queue when it is closed and none of its attempts is in flight.
type keyQueue struct {
	requests     []*request
	blockedUntil time.Duration // an attempt of an earlier request may still be running until then
}

// remove removes a request from the queue.
func (q *keyQueue) remove(r *request) {
	i := slices.Index(q.requests, r)
	q.requests = slices.Delete(q.requests, i, i+1)
}

// keyOrdering holds the queues of all keys.
type keyOrdering struct {
	delay  time.Duration        // how long a key is blocked after an attempt that may still be running
	queues map[uint64]*keyQueue // by Request.Key
}

// join adds a request to the end of its key's queue. If there are many more queues than open
// requests, it removes the queues that are empty and not blocked.
func (o *keyOrdering) join(now time.Duration, r *request, openRequests int) {
	if len(o.queues) > minKeyQueues+2*openRequests {
		maps.DeleteFunc(o.queues, func(_ uint64, q *keyQueue) bool {
			return len(q.requests) == 0 && now >= q.blockedUntil
		})
	}
	q := o.queues[r.key]
	if q == nil {
		q = new(keyQueue)
		o.queues[r.key] = q
	}
	q.requests = append(q.requests, r)
	r.keyQueue = q
}

// attemptEnded blocks the key for a while if the endpoint may still be processing the attempt.
func (o *keyOrdering) attemptEnded(now time.Duration, r *request, result Result) {
	if r.keyQueue == nil {
		return
	}
	switch result {
	case TimedOut, ConnectionLost, Cancelled:
		r.keyQueue.blockedUntil = max(r.keyQueue.blockedUntil, now+o.delay)
	}
}

// firstOfKey reports whether the request is the first of its key and no attempt of an earlier
// request may still be running. Retries of a request are not blocked by its own attempts.
func (r *request) firstOfKey(now time.Duration) bool {
	if r.keyQueue == nil {
		return true
	}
	if r.keyQueue.requests[0] != r {
		return false
	}
	return len(r.attempts) > 0 || now >= r.keyQueue.blockedUntil
}
