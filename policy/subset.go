package policy

import (
	"math"
	"time"
)

const (
	// pickInterval is the intended time between two picks of each endpoint in the subset.
	pickInterval = 1 * time.Second

	minSubsetSize = 4.0 // endpoints

	// resizeTolerance is the largest difference between the wanted and the present
	// size, as a fraction of the present size, for which the subset is kept.
	resizeTolerance = 0.25

	// maxSlowStartExtension is the factor by which a subset may grow to include an
	// endpoint that is not in slow start. Without this bound, the few endpoints
	// that are not in slow start would be in all subsets.
	maxSlowStartExtension = 2
)

// subset is the part of the endpoint list to which this balancer sends first attempts. If each of a
// thousand balancers with little traffic used all endpoints, it would hold connections to all of
// them and get too few responses from each to judge its health. So each balancer uses a range of the
// list that is so small that its own traffic shows the health of each endpoint. The ranges start at
// evenly spread positions, by the balancers' indexes.
type subset struct {
	endpoints    []*endpoint
	weight       float64 // total weight of the endpoints
	size         float64 // wanted number of endpoints
	pickInterval float64 // intended time between two picks of an endpoint, in seconds
}

// sizeFor returns the wanted size at a request rate.
func (s *subset) sizeFor(requestsPerSecond float64) float64 {
	return max(minSubsetSize, requestsPerSecond*s.pickInterval)
}

// needsResize reports whether the size no longer fits the request rate.
func (s *subset) needsResize(requestsPerSecond float64) bool {
	size := s.sizeFor(requestsPerSecond)
	return size > (1+resizeTolerance)*s.size || size < (1-resizeTolerance)*s.size
}

// selectSubset selects the subset again. Endpoints in slow start can take hardly
// any requests. If the subset has no others, it is extended up to the next
// endpoint that is not in slow start, within maxSlowStartExtension.
func (b *Balancer) selectSubset(now time.Duration) {
	s := &b.subset
	s.size = s.sizeFor(b.traffic.perSecond)
	ready := b.endpoints.ready()
	// The fractional parts of multiples of the golden ratio are evenly spread.
	_, start := math.Modf(float64(b.cfg.Index) * math.Phi)
	first := int(start * float64(len(ready)))
	s.weight, s.endpoints = 0, nil
	hasEstablished := false // the subset has an endpoint that is not in slow start
	for i := range ready {
		e := ready[(first+i)%len(ready)]
		size := s.size
		if !hasEstablished {
			size *= maxSlowStartExtension
		}
		if float64(i) >= size {
			e.inSubset = false
			continue
		}
		if !e.inSubset {
			b.addToSubset(now, e)
		}
		hasEstablished = hasEstablished || now >= e.slowStartUntil
		s.weight += e.Weight
		s.endpoints = append(s.endpoints, e)
	}
}

// addToSubset makes an endpoint due for its first pick at a random time within
// its stride, so that balancers do not all pick the same endpoints first.
func (b *Balancer) addToSubset(now time.Duration, e *endpoint) {
	e.inSubset = true
	e.nextPick = b.picker.virtualTime + b.rng.Float64()*b.stride(now, e)
}
