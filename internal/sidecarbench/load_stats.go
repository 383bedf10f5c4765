package sidecarbench

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of latency histograms, in nanoseconds, and their precision in significant digits.
const (
	minLatency    = int64(100 * time.Nanosecond)
	maxLatency    = int64(time.Minute)
	latencyDigits = 3
)

// loadStats collects the results of requests from all workers of a load.
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

// recordLatency records a latency, limited to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), minLatency), maxLatency)) // it fails out of range only
}

// record records one request.
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

// result is the result of a load of so many requests, when all have ended.
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
