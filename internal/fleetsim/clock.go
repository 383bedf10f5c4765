package fleetsim

import "time"

// event is something that happens at a time of the fake clock: a call, or a datagram that arrives.
type event struct {
	at  time.Duration
	seq uint64 // events of one time happen in the order in which they were scheduled
	run func()

	// Datagrams are one event for all of one sender that arrive at one time: there are more than of all else.
	recipients []*simSidecar
	sender     int
	datagram   []byte
}

// before says whether an event comes ahead of another.
func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// clock is a fake clock with what is to happen, as a binary heap.
type clock struct {
	now  time.Duration
	seq  uint64
	heap []event
}

// after schedules a call in d from now.
func (c *clock) after(d time.Duration, do func()) { c.push(event{at: c.now + d, run: do}) }

func (c *clock) push(e event) {
	c.seq++
	e.seq = c.seq
	c.heap = append(c.heap, e)
	i := len(c.heap) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !e.before(&c.heap[up]) {
			break
		}
		c.heap[i] = c.heap[up]
		i = up
	}
	c.heap[i] = e
}

// pop takes the first event out; there must be one.
func (c *clock) pop() event {
	first, last := c.heap[0], len(c.heap)-1
	e := c.heap[last]
	c.heap[last] = event{} // what it refers to may go
	c.heap = c.heap[:last]
	if last == 0 {
		return first
	}
	i := 0
	for {
		down := 2*i + 1
		if down >= last {
			break
		}
		if down+1 < last && c.heap[down+1].before(&c.heap[down]) {
			down++
		}
		if !c.heap[down].before(&e) {
			break
		}
		c.heap[i] = c.heap[down]
		i = down
	}
	c.heap[i] = e
	return first
}
