package policy

import (
	"math"
	"time"
)

// requestRateHorizon is the time constant of the decay of a requestRate.
const requestRateHorizon = 10 * time.Second

// requestRate is an exponentially decaying mean of the requests per second.
type requestRate struct {
	perSecond float64       // at the time of the latest update
	at        time.Duration // time of the latest update
}

// observe counts a request.
func (r *requestRate) observe(now time.Duration) {
	r.perSecond = r.current(now) + 1/requestRateHorizon.Seconds()
	r.at = now
}

// current returns the rate, decayed until now.
func (r *requestRate) current(now time.Duration) float64 {
	return r.perSecond * math.Exp(-float64(now-r.at)/float64(requestRateHorizon))
}

// assume sets the rate to an estimate, unless the observed rate is higher.
func (r *requestRate) assume(now time.Duration, perSecond float64) {
	*r = requestRate{max(perSecond, r.current(now)), now}
}

// meanObjective is the mean latency objective of all classes, in seconds. Several intervals are
// multiples of it, so that they fit any deployment.
type meanObjective float64

// times returns n times the objective.
func (o meanObjective) times(n float64) time.Duration {
	return time.Duration(n * float64(o) * float64(time.Second))
}

// slidingWindow holds the times of recent events, in order.
type slidingWindow []time.Duration

// countSince drops the events before t and returns the number of the others.
func (w *slidingWindow) countSince(t time.Duration) int {
	n := 0
	for n < len(*w) && (*w)[n] < t {
		n++
	}
	*w = (*w)[n:]
	return len(*w)
}
