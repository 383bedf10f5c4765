package policy

import (
	"cmp"
	"slices"
	"time"
)

// EndpointID names an endpoint; it stays the same when the endpoint restarts.
type EndpointID uint64

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState int

// The states of an endpoint. Only ready ones get new requests.
const (
	Removed EndpointState = iota
	Draining
	Ready
)

// The zone and the cell of an endpoint that the list gives none for. Nothing
// says that two such endpoints share a zone, or a cell.
const (
	UnknownZone = -1
	UnknownCell = -1
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      int // or UnknownZone
	Cell      int // or UnknownCell; endpoints of one cell share the idempotency keys that they have seen
	State     EndpointState
	Weight    float64       // nominal size, relative to the other endpoints' weights
	StartedAt time.Duration // time of its last start; 0: long ago
}

// endpoint is what a Balancer knows of one endpoint. A restart resets all of
// it but the attempts in flight: nothing learned before holds any more.
type endpoint struct {
	Endpoint
	inFlight int // this balancer's attempts there

	inSubset bool
	nextTurn float64 // virtual time of its next turn: see picker

	relativeLatency     float64       // mean latency relative to its class's; failures count too: see outlier.go
	congestion          float64       // mean square of latency / latency objective: see concurrency.go
	unresponsiveSince   time.Duration // no response since; 0: it responded last
	consecutiveFailures int
	ejectedUntil        time.Duration // no turns before this

	slowStartUntil    time.Duration // by the list, or by our own guess
	nextSlowStartSend time.Duration // in slow start: nothing more before this

	reportedAt     time.Duration // time of its latest load report; 0: none
	report         LoadReport
	othersInFlight float64 // requests of other balancers by that report
}

// endpointSet is the endpoint list as last received, in order of ids.
type endpointSet struct {
	all            []*endpoint
	readyWeight    float64 // of all ready endpoints
	maxReadyWeight float64 // the highest that it has been
	maxReady       int     // the highest number of ready endpoints so far
}

func (s *endpointSet) search(id EndpointID) (index int, found bool) {
	byID := func(e *endpoint, id EndpointID) int { return cmp.Compare(e.ID, id) }
	return slices.BinarySearchFunc(s.all, id, byID)
}

// find returns the listed endpoint of that id, or nil.
func (s *endpointSet) find(id EndpointID) *endpoint {
	if i, found := s.search(id); found {
		return s.all[i]
	}
	return nil
}

// findOrAdd returns the endpoint of that id, added where it is not listed yet.
func (s *endpointSet) findOrAdd(id EndpointID) *endpoint {
	i, found := s.search(id)
	if !found {
		s.all = slices.Insert(s.all, i, &endpoint{relativeLatency: 1})
	}
	return s.all[i]
}

// ready returns the ready endpoints, in order of their ids.
func (s *endpointSet) ready() (ready []*endpoint) {
	for _, e := range s.all {
		if e.State == Ready {
			ready = append(ready, e)
		}
	}
	return ready
}

// markAllRemoved precedes a complete list: what that does not name is removed.
func (s *endpointSet) markAllRemoved() {
	for _, e := range s.all {
		e.State = Removed
	}
}

// update drops removed endpoints and adds up the weights of the ready ones.
func (s *endpointSet) update() {
	s.all = slices.DeleteFunc(s.all, func(e *endpoint) bool { return e.State == Removed })
	ready := s.ready()
	s.readyWeight = 0
	for _, e := range ready {
		s.readyWeight += e.Weight
	}
	s.maxReadyWeight = max(s.maxReadyWeight, s.readyWeight)
	s.maxReady = max(s.maxReady, len(ready))
}

// proportion returns an endpoint's part of a total, by its weight in the
// largest list so far. It does not grow when other endpoints leave or fail:
// those that remain would be overloaded one after the other.
func (s *endpointSet) proportion(total float64, e *endpoint) float64 {
	return total * e.Weight / max(s.maxReadyWeight, e.Weight)
}
