package sidecarbench

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency    = int64(100 * time.Nanosecond) // lowest value in a latency histogram, in nanoseconds
	maxLatency    = int64(time.Minute)           // highest value in a latency histogram, in nanoseconds
	latencyDigits = 3                            // precision of a latency histogram, in significant digits
)

// loadStats collects the results of a load's requests. All workers record to it concurrently.
type loadStats struct {
	ok, wrongResponses, failed atomic.Int64

	mu                     sync.Mutex
	firstError             error
	latency, scheduleDelay *hdrhistogram.Histogram
}

func newLoadStats() *loadStats {
	return &loadStats{latency: newHistogram(), scheduleDelay: newHistogram()}
}

// newHistogram returns an empty histogram of latencies.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencyDigits)
}

// recordLatency records a latency, clamped to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), minLatency), maxLatency)) // fails only for values out of range
}

// record records the result of one request. A nil error means that it was OK.
func (s *loadStats) record(scheduledAt, startedAt, endedAt time.Time, err error) {
	switch {
	case err == nil:
		s.ok.Add(1)
	case errors.Is(err, errWrongResponse):
		s.wrongResponses.Add(1)
	default:
		s.failed.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && s.firstError == nil {
		s.firstError = err
	}
	recordLatency(s.latency, endedAt.Sub(scheduledAt))
	recordLatency(s.scheduleDelay, startedAt.Sub(scheduledAt))
}

// result returns the result of a load. requests is the number of requests sent, all of which have ended.
func (s *loadStats) result(requests int) LoadResult {
	r := LoadResult{
		Requests:       requests,
		OK:             int(s.ok.Load()),
		WrongResponses: int(s.wrongResponses.Load()),
		Failed:         int(s.failed.Load()),
		Latency:        s.latency.Export(),
		ScheduleDelay:  s.scheduleDelay.Export(),
	}
	if s.firstError != nil {
		r.FirstError = s.firstError.Error()
	}
	return r
}
