package sidecarbench

import (
	"context"
	"errors"
	"time"
)

// Interval is what a sidecar used and got in a time.
type Interval struct {
	Duration     time.Duration
	CPU          time.Duration // processor time of the sidecar
	Datagrams    int           // gossip datagrams that were sent to it
	Dropped      int           // of these, by the kernel, as the socket's buffer was full
	Requests, OK int           // that were sent to it, and of these answered 200
}

// traffic is what a sidecar gets in an interval.
type traffic struct {
	gossip    gossipLoad // none if its Count is 0
	generator *standIn   // nil: no requests
	requests  Load
}

// measureInterval measures the sidecar for d, or longer if its traffic takes longer.
func (tb *testbed) measureInterval(ctx context.Context, t traffic, d time.Duration) (Interval, error) {
	droppedBefore, _, err := udpSocketState(tb.gossipAddress)
	if err != nil {
		return Interval{}, err
	}
	started := time.Now()
	cpuBefore, err := cpuTime(tb.sidecar.pid())
	if err != nil {
		return Interval{}, err
	}
	result, err := tb.sendTraffic(ctx, t, d)
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

// sendTraffic sends gossip and requests, and returns when both have ended and d is over.
func (tb *testbed) sendTraffic(ctx context.Context, t traffic, d time.Duration) (result LoadResult, err error) {
	errs, senders := make(chan error, 2), 0
	if t.gossip.Count > 0 {
		senders++
		go func() { errs <- tb.peers.call(ctx, "/gossip", t.gossip, new(Counts)) }()
	}
	if t.generator != nil {
		senders++
		go func() { errs <- t.generator.call(ctx, "/load", t.requests, &result) }()
	}
	err = wait(ctx, d)
	for range senders {
		err = errors.Join(err, <-errs)
	}
	return result, err
}
