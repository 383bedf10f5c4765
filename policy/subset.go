package policy

import (
	"math"
	"time"
)

const (
	turnInterval  = 1 * time.Second // each endpoint of the subset gets a turn this often
	minSubsetSize = 4.0
	// resizeTolerance is how far the wanted size may differ from the present
	// one, as a fraction of that, before another subset is selected.
	resizeTolerance = 0.25
	// maxSlowStartExtension bounds by how much a subset grows that has no
	// endpoint but those in slow start: the few others must not be in all.
	maxSlowStartExtension = 2
)

// subset is the endpoints that this balancer sends first attempts to. A thousand balancers of
// little traffic each would hold connections to all endpoints and never learn
// how any of them fares, so each uses a range of the endpoint list that its
// own traffic can keep measured. The ranges begin evenly spread, by the
// balancers' numbers.
type subset struct {
	endpoints    []*endpoint
	weight       float64 // of all of them
	size         float64 // how many are wanted
	turnInterval float64 // seconds in which each gets a turn
}

// sizeFor returns the wanted size at a request rate.
func (s *subset) sizeFor(requestsPerSecond float64) float64 {
	return max(minSubsetSize, requestsPerSecond*s.turnInterval)
}

// outgrown says that the size no longer fits the request rate.
func (s *subset) outgrown(requestsPerSecond float64) bool {
	size := s.sizeFor(requestsPerSecond)
	return size > (1+resizeTolerance)*s.size || size < (1-resizeTolerance)*s.size
}

// selectSubset selects the subset anew. Where all of its endpoints are in slow
// start they can take next to nothing, so it goes on to the next endpoint that
// is not, up to maxSlowStartExtension.
func (b *Balancer) selectSubset(now time.Duration) {
	s := &b.subset
	s.size = s.sizeFor(b.traffic.perSecond)
	ready := b.endpoints.ready()
	_, start := math.Modf(float64(b.cfg.Index) * math.Phi)
	first := int(start * float64(len(ready)))
	s.weight, s.endpoints = 0, nil
	hasWarm := false
	for i := range ready {
		e := ready[(first+i)%len(ready)]
		size := s.size
		if !hasWarm {
			size *= maxSlowStartExtension
		}
		if float64(i) >= size {
			e.inSubset = false
			continue
		}
		if !e.inSubset {
			b.joinSubset(now, e)
		}
		hasWarm = hasWarm || now >= e.slowStartUntil
		s.weight += e.Weight
		s.endpoints = append(s.endpoints, e)
	}
}

// joinSubset gives an endpoint its first turn at a random point of its round:
// balancers must not begin in step.
func (b *Balancer) joinSubset(now time.Duration, e *endpoint) {
	e.inSubset = true
	e.nextTurn = b.picker.virtualTime + b.rng.Float64()*b.stride(now, e)
}
