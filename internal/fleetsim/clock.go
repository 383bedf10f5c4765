package fleetsim

import "time"

// event is a scheduled event on the fake clock: a function call or the arrival of a datagram.
type event struct {
	at  time.Duration
	seq uint64 // orders events with the same time by when they were scheduled
	run func() // nil for the arrival of a datagram

	// A datagram that arrives at several recipients at the same time is a single event, because datagrams
	// outnumber all other events.
	recipients []*simSidecar
	sender     int
	datagram   []byte
}

// before reports whether the event comes before another one.
func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// fire executes the event.
func (e *event) fire() {
	if e.run != nil {
		e.run()
		return
	}
	for _, s := range e.recipients {
		s.receiveGossip(e.sender, e.datagram)
	}
}

// clock is a fake clock that keeps the scheduled events in a binary heap.
type clock struct {
	now  time.Duration
	seq  uint64
	heap []event
}

// after schedules a function call after the duration d.
func (c *clock) after(d time.Duration, run func()) { c.push(event{at: c.now + d, run: run}) }

// hasEventUntil reports whether an event is scheduled for the given time or earlier.
func (c *clock) hasEventUntil(end time.Duration) bool { return len(c.heap) > 0 && c.heap[0].at <= end }

// push schedules an event and sets its sequence number.
func (c *clock) push(e event) {
	c.seq++
	e.seq = c.seq
	c.heap = append(c.heap, e)
	i := len(c.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(&c.heap[parent]) {
			break
		}
		c.heap[i] = c.heap[parent]
		i = parent
	}
	c.heap[i] = e
}

// pop removes and returns the earliest event. The heap must not be empty.
func (c *clock) pop() event {
	first, last := c.heap[0], len(c.heap)-1
	moved := c.heap[last]
	c.heap[last] = event{} // release its references to the garbage collector
	c.heap = c.heap[:last]
	if last > 0 {
		c.siftDown(moved)
	}
	return first
}

// siftDown places an event in the heap, starting at the vacant root.
func (c *clock) siftDown(e event) {
	i, size := 0, len(c.heap)
	for {
		child := 2*i + 1
		if child >= size {
			break
		}
		if child+1 < size && c.heap[child+1].before(&c.heap[child]) {
			child++
		}
		if !c.heap[child].before(&e) {
			break
		}
		c.heap[i] = c.heap[child]
		i = child
	}
	c.heap[i] = e
}
