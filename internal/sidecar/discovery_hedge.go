package sidecar

import (
	"context"
	"errors"
	"time"

	"cranehatch/internal/endpointlist"
)

// fetch makes a call that discovery answers at once, and returns the first valid response. While none comes it makes
// the same call again beside those in flight (hedging), each on a connection of its own. It fails once all calls in
// flight have failed, or one brought an invalid response.
//
// This guards against calls that begin before discovery can be reached: such a call may never be answered, and a
// sidecar that waits for it would learn of a drain too late. Ending it early instead would lose responses that take
// long. With a new call every 2 s, 4 of the 6 s until a change counts as notified remain for discovery to answer.
// Where lists are pushed the change counts at once, and each sidecar has a discovery of its own: there new calls come
// sooner (newDiscoveryClient sets callInterval).
func (d *discoveryClient) fetch(ctx context.Context, address string, query listQuery) (endpointlist.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := hedgedCalls{client: d, address: address, query: query, results: make(chan callResult)}
	h.start(ctx)
	interval := time.NewTicker(d.hedgeInterval)
	defer interval.Stop()
	for {
		select {
		case r := <-h.results:
			h.inFlight--
			if r.err == nil || h.inFlight == 0 || errors.Is(r.err, errInvalidResponse) {
				return r.update, r.err
			}
		case <-interval.C:
			h.start(ctx)
		case <-ctx.Done():
			return endpointlist.List{}, ctx.Err()
		}
	}
}

// hedgedCalls are the calls in flight of one fetch, whose goroutine alone uses it.
type hedgedCalls struct {
	client   *discoveryClient
	address  string
	query    listQuery
	results  chan callResult
	inFlight int
	cancels  []context.CancelFunc // of the latest calls, oldest first; they may have ended
}

type callResult struct {
	update endpointlist.List
	err    error
}

// begin starts one call in a goroutine, which ends with callTimeout at the latest, or with ctx: then nobody takes its
// result. At maxConcurrentCalls it ends the oldest.
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
