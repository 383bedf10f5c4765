package sidecar

import (
	"context"
	"errors"
	"math"
	"slices"
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
			h.ended(r.call)
			if r.err == nil || len(h.inFlight) == 0 || errors.Is(r.err, errInvalidResponse) {
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
	inFlight []*hedgedCall // oldest first
}

// hedgedCall is one call of a fetch.
type hedgedCall struct {
	startedAt time.Time
	cancel    context.CancelFunc
}

// callResult is the result of one call.
type callResult struct {
	call   *hedgedCall
	update endpointlist.List
	err    error
}

// start starts a call in a goroutine, which ends after callTimeout at the latest, or when ctx is cancelled;
// in that case the result is discarded. At maxConcurrentCalls it first cancels another one.
func (h *hedgedCalls) start(ctx context.Context) {
	now := time.Now()
	if len(h.inFlight) == maxConcurrentCalls {
		h.cancelOne(now)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	call := &hedgedCall{startedAt: now, cancel: cancel}
	h.inFlight = append(h.inFlight, call)
	go func() {
		defer cancel()
		update, err := h.client.call(callCtx, h.address, h.query)
		select {
		case h.results <- callResult{call, update, err}:
		case <-ctx.Done():
		}
	}()
}

// ended removes a call that has ended.
func (h *hedgedCalls) ended(call *hedgedCall) {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(c *hedgedCall) bool { return c == call })
}

// cancelOne cancels a call to make room for another one, and never the oldest: if discovery is slow, only a call
// that lasts is ever answered. It keeps calls of all ages, so that there is also an old one among those that
// started after discovery had become reachable: it cancels the call whose neighbours are closest in age, in
// proportion.
func (h *hedgedCalls) cancelOne(now time.Time) {
	closest, smallest := 1, math.Inf(1)
	for i := 1; i < len(h.inFlight); i++ {
		younger := time.Duration(0) // the call that is about to start
		if i+1 < len(h.inFlight) {
			younger = now.Sub(h.inFlight[i+1].startedAt)
		}
		older := now.Sub(h.inFlight[i-1].startedAt)
		if ratio := float64(older+h.client.hedgeInterval) / float64(younger+h.client.hedgeInterval); ratio < smallest {
			closest, smallest = i, ratio
		}
	}
	h.inFlight[closest].cancel()
	h.inFlight = slices.Delete(h.inFlight, closest, closest+1)
}
