package policy

import (
	"maps"
	"slices"
	"time"
)

// minKeyQueues is how many key queues are kept before empty ones are removed.
const minKeyQueues = 64

// keyQueue is the requests of one key that run in order of arrival: each until
// it has ended and none of its attempts is in flight.
type keyQueue struct {
	requests     []*request
	blockedUntil time.Duration // an attempt may still be running until then
}

// remove takes a request out of the queue.
func (q *keyQueue) remove(r *request) {
	i := slices.Index(q.requests, r)
	q.requests = slices.Delete(q.requests, i, i+1)
}

// keyOrdering holds the queues of all keys.
type keyOrdering struct {
	delay  time.Duration // a key is blocked this long after an attempt that may still be running
	queues map[uint64]*keyQueue
}

// join puts a request at the end of its key's queue. Once there are many more
// queues than requests, those that nobody waits in are removed.
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

// attemptEnded blocks the key for a while where the endpoint may still be
// working on the attempt.
func (o *keyOrdering) attemptEnded(now time.Duration, r *request, result Result) {
	if r.keyQueue == nil {
		return
	}
	switch result {
	case TimedOut, ConnectionLost, Cancelled:
		r.keyQueue.blockedUntil = max(r.keyQueue.blockedUntil, now+o.delay)
	}
}

// firstOfKey says that a request is the first of its key, and that no attempt
// of an earlier one may still be running.
func (r *request) firstOfKey(now time.Duration) bool {
	if r.keyQueue == nil {
		return true
	}
	if r.keyQueue.requests[0] != r {
		return false
	}
	return len(r.attempts) > 0 || now >= r.keyQueue.blockedUntil
}
