package sidecarbench

import (
	"context"
	"errors"
	"time"
)

// Interval is the CPU time of a sidecar and its traffic during a period.
type Interval struct {
	Duration     time.Duration
	CPU          time.Duration // CPU time of the sidecar
	Datagrams    int           // gossip datagrams sent to the sidecar
	Dropped      int           // gossip datagrams dropped by the kernel because the socket's buffer was full
	Requests, OK int           // requests sent to the sidecar, and requests answered 200
}

// traffic is the traffic to send to a sidecar during an interval.
type traffic struct {
	gossip    gossipLoad // no gossip is sent if its Count is 0
	generator *standIn   // sends the requests; nil: no requests
	requests  Load
}

// measureInterval sends traffic to the sidecar and measures it for minLength, or until the traffic has ended
// if that takes longer.
func (tb *testbed) measureInterval(ctx context.Context, t traffic, minLength time.Duration) (Interval, error) {
	droppedBefore, _, err := udpSocketState(tb.gossipAddress)
	if err != nil {
		return Interval{}, err
	}
	started := time.Now()
	cpuBefore, err := cpuTime(tb.sidecar.pid())
	if err != nil {
		return Interval{}, err
	}
	result, err := tb.sendTraffic(ctx, t, minLength)
	if err != nil {
		return Interval{}, err
	}
	cpuAfter, err := cpuTime(tb.sidecar.pid())
	if err != nil {
		return Interval{}, err
	}
	interval := Interval{
		Duration: time.Since(started), CPU: cpuAfter - cpuBefore,
		Datagrams: t.gossip.Count, Requests: result.Requests, OK: result.OK,
	}
	droppedAfter, _, err := udpSocketState(tb.gossipAddress)
	interval.Dropped = int(droppedAfter - droppedBefore)
	return interval, err
}

// sendTraffic sends gossip and requests. It returns when both have ended and minLength has elapsed.
func (tb *testbed) sendTraffic(ctx context.Context, t traffic, minLength time.Duration) (result LoadResult, err error) {
	errs, senders := make(chan error, 2), 0
	if t.gossip.Count > 0 {
		senders++
		go func() { errs <- tb.peers.call(ctx, "/gossip", t.gossip, new(Counts)) }()
	}
	if t.generator != nil {
		senders++
		go func() { errs <- t.generator.call(ctx, "/load", t.requests, &result) }()
	}
	err = wait(ctx, minLength)
	for range senders {
		err = errors.Join(err, <-errs)
	}
	return result, err
}
