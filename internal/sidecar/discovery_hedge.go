package sidecar

import (
	"context"
	"errors"
	"time"

	"cranehatch/internal/endpointlist"
)

// fetch makes a call that discovery answers immediately, and returns the first valid response. After every
// hedgeInterval without one it makes the same call again on another connection, concurrently with those in
// flight (a hedged call). It fails once all calls in flight have failed, or after one invalid response.
//
// Hedging guards against calls that start before discovery is reachable: such a call may never be answered,
// and a sidecar that waits for it would read a drain too late. A shorter timeout is no alternative, as it
// would lose slow responses. With a polled list, the sidecar counts as notified 6 s after discovery is
// reachable. A new call every 2 s leaves discovery 4 s of these 6 s to answer. With a pushed list the sidecar
// counts as notified as soon as discovery is reachable, and each sidecar has its own discovery, so
// newDiscoveryClient sets a shorter interval.
func (d *discoveryClient) fetch(ctx context.Context, address string, query listQuery) (endpointlist.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := hedgedCalls{client: d, address: address, query: query, results: make(chan callResult)}
	h.start(ctx)
	hedge := time.NewTicker(d.hedgeInterval)
	defer hedge.Stop()
	for {
		select {
		case r := <-h.results:
			h.inFlight--
			if r.err == nil || h.inFlight == 0 || errors.Is(r.err, errInvalidResponse) {
				return r.update, r.err
			}
		case <-hedge.C:
			h.start(ctx)
		case <-ctx.Done():
			return endpointlist.List{}, ctx.Err()
		}
	}
}

// hedgedCalls tracks the calls of one fetch. Only the goroutine of fetch uses it.
type hedgedCalls struct {
	client   *discoveryClient
	address  string
	query    listQuery
	results  chan callResult
	inFlight int
	cancels  []context.CancelFunc // cancel the latest calls, oldest first; a call may have ended already
}

// callResult is the result of one call.
type callResult struct {
	update endpointlist.List
	err    error
}

// start starts a call in a goroutine, which ends after callTimeout at the latest, or when ctx is cancelled;
// in that case the result is discarded. At maxConcurrentCalls it first cancels the oldest call.
func (h *hedgedCalls) start(ctx context.Context) {
	if len(h.cancels) == maxConcurrentCalls {
		h.cancels[0]()
		h.cancels = h.cancels[1:]
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	h.cancels = append(h.cancels, cancel)
	h.inFlight++
	go func() {
		defer cancel()
		update, err := h.client.call(callCtx, h.address, h.query)
		select {
		case h.results <- callResult{update, err}:
		case <-ctx.Done():
		}
	}()
}
