package policy

import (
	"cmp"
	"slices"
	"time"
)

// EndpointID identifies an endpoint. It stays the same when the endpoint restarts.
type EndpointID uint64

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState int

// The states of an endpoint. Only ready endpoints get new requests.
const (
	Removed EndpointState = iota
	Draining
	Ready
)

// The zone and the cell of an endpoint for which the list gives none. Two
// endpoints of unknown zone, or of unknown cell, must not be assumed to share it.
const (
	UnknownZone = -1
	UnknownCell = -1
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      int // or UnknownZone
	Cell      int // or UnknownCell; endpoints of one cell share the idempotency keys they have seen
	State     EndpointState
	Weight    float64       // nominal capacity, relative to the other endpoints' weights
	StartedAt time.Duration // time of the last start; 0: long ago
}

// endpoint is what a Balancer knows about one endpoint. A restart of the
// endpoint resets everything except the attempts in flight and a later end of the
// slow start, because earlier observations no longer apply. Its health is judged
// in outlier.go.
type endpoint struct {
	Endpoint
	inFlight int // attempts of this balancer at the endpoint

	inSubset bool
	nextPick float64 // virtual time at which the endpoint is due to be picked: see picker

	relativeLatency     float64       // mean of latency / mean latency of the class; includes failures
	congestion          float64       // mean square of latency / latency objective
	unresponsiveSince   time.Duration // first timeout or failed connection since the last success; 0: none
	consecutiveFailures int
	ejectedUntil        time.Duration // not picked before this time

	slowStartUntil    time.Duration // derived from StartedAt, or from a presumed restart
	nextSlowStartSend time.Duration // in slow start, nothing is sent before this time

	reportedAt     time.Duration // when a load report last came or was found missing; 0: never
	report         LoadReport    // the latest load report
	othersInFlight float64       // other balancers' requests by that report; infinite if it is missing
}

// endpointSet is the endpoint list as last received, ordered by ID.
type endpointSet struct {
	all            []*endpoint
	readyWeight    float64 // total weight of the ready endpoints
	maxReadyWeight float64 // highest readyWeight so far
	maxReady       int     // highest number of ready endpoints so far
}

func (s *endpointSet) search(id EndpointID) (index int, found bool) {
	byID := func(e *endpoint, id EndpointID) int { return cmp.Compare(e.ID, id) }
	return slices.BinarySearchFunc(s.all, id, byID)
}

// find returns the listed endpoint with the given ID, or nil.
func (s *endpointSet) find(id EndpointID) *endpoint {
	if i, found := s.search(id); found {
		return s.all[i]
	}
	return nil
}

// findOrAdd returns the endpoint with the given ID. It adds the endpoint if it is not listed yet;
// the caller must then set its ID, by which the set is ordered.
func (s *endpointSet) findOrAdd(id EndpointID) *endpoint {
	i, found := s.search(id)
	if !found {
		s.all = slices.Insert(s.all, i, &endpoint{relativeLatency: 1})
	}
	return s.all[i]
}

// ready returns the ready endpoints, ordered by ID.
func (s *endpointSet) ready() (ready []*endpoint) {
	for _, e := range s.all {
		if e.State == Ready {
			ready = append(ready, e)
		}
	}
	return ready
}

// markAllRemoved marks every endpoint as removed. It is called before a full list
// is applied, so that endpoints absent from the list remain removed.
func (s *endpointSet) markAllRemoved() {
	for _, e := range s.all {
		e.State = Removed
	}
}

// update drops removed endpoints and recomputes the totals of the ready ones.
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

// proportion returns an endpoint's share of a total: its weight relative to the
// highest total weight of ready endpoints so far. The share does not grow when
// other endpoints leave or fail; otherwise the remaining endpoints would be
// overloaded one after the other.
func (s *endpointSet) proportion(total float64, e *endpoint) float64 {
	return total * e.Weight / max(s.maxReadyWeight, e.Weight)
}
