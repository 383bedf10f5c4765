package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"cranehatch/internal/endpointlist"
)

// The limits below follow from the time at which a sidecar counts as notified of a change, whether or not it
// has read the change. At that time, or at the latest DrainGrace after it, the sidecar must have stopped
// sending new requests to a draining server. A sidecar counts as notified
//
//   - of a change that a watch missed because discovery never answered it: 2 s after the end of the watch's
//     wait;
//   - of a change during an outage of discovery: as soon as discovery is reachable again if the list is pushed,
//     and 6 s after that if the list is polled.
const (
	// maxWatchTime is the longest wait of a watch. The shortest is half of it, see randomWatchTime.
	maxWatchTime = 20 * time.Second

	// watchGracePeriod is how long after the end of its wait a watch without a response times out. Of the 2 s
	// until the sidecar counts as notified, 1.5 s remain for the call that reads the change, which may queue
	// at discovery.
	watchGracePeriod = 500 * time.Millisecond

	// immediateWait is the wait of a call for the changes since a known version that discovery should answer
	// immediately.
	immediateWait = time.Millisecond

	// callTimeout limits a call that discovery should answer immediately.
	callTimeout = 6 * time.Second

	// maxHedgeInterval is the longest interval between the hedged calls of fetch.
	maxHedgeInterval = 2 * time.Second

	// maxConcurrentCalls limits the calls of one fetch that are in flight, as each holds a file descriptor.
	maxConcurrentCalls = 6

	// initialBackoff is the pause after the first failed call, before jitter. It doubles with each failure. A
	// polled list has no backoff, as the Balancer decides when to poll.
	initialBackoff = 200 * time.Millisecond

	// maxBackoff is the longest pause after a failed call, before jitter.
	maxBackoff = 2 * time.Second

	// maxListBytes limits the body of a response, far above the size of any real list.
	maxListBytes = 8 << 20
	// maxFramedListBytes limits that body on the wire, with its framing.
	maxFramedListBytes = maxListBytes + 16<<10
)

var (
	errWatchTimeout    = errors.New("watch timed out")
	errInvalidResponse = errors.New("invalid response")
)

// discoveryClient follows the endpoint list at discovery and passes each update to the event loop.
//
// sidecar.start starts run in a goroutine, which ends with its context. Other goroutines call requestPoll and
// reload.
//
// discovery.go retries after failures and address changes, discovery_follow.go makes the sequence of calls to
// one address, discovery_hedge.go and discovery_call.go make a single call, and discovery_reload.go changes
// the address.
type discoveryClient struct {
	zones     map[string]int
	onUpdate  func(endpointlist.List) // called with each update, on run's goroutine
	onFailure func()                  // called when follow fails, on run's goroutine
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	// pollRequests has an item while a poll is requested. It is nil if the list is pushed: run then follows
	// the list from the start, and again after each failure.
	pollRequests chan struct{}

	randomWatchTime func() time.Duration // returns the wait of the next watch
	watchGrace      time.Duration        // time after a watch's wait in which its response must arrive
	hedgeInterval   time.Duration        // interval between hedged calls, at most maxHedgeInterval
	maxBackoff      time.Duration        // longest pause after a failed call, before jitter

	// version is the version of the last update from the followed address or, before the first update, of the
	// cached list. It is negative if no list is known, after an invalid response and after a change of address.
	// Only run's goroutine uses it.
	version int64

	mu              sync.Mutex // guards the fields below
	address         string
	addressChanged  bool               // reload has changed address since the last call of startFollowing
	cancelFollow    context.CancelFunc // cancels the calls of follow; nil until startFollowing is called
	idleConn        net.Conn           // connection for the next call, or nil
	idleConnAddress string             // address that idleConn is connected to
}

// newDiscoveryClient returns a client that calls onUpdate with each update and onFailure after each failure.
func newDiscoveryClient(cfg *Config, onUpdate func(endpointlist.List), onFailure func()) *discoveryClient {
	d := &discoveryClient{
		zones:           cfg.Zones,
		onUpdate:        onUpdate,
		onFailure:       onFailure,
		dial:            (&net.Dialer{KeepAlive: -1}).DialContext, // timeouts replace TCP keep-alive
		randomWatchTime: randomWatchTime,
		watchGrace:      watchGracePeriod,
		hedgeInterval:   maxHedgeInterval,
		maxBackoff:      maxBackoff,
		version:         unknownVersion,
		address:         cfg.Discovery,
	}
	if cfg.DrainGrace > 0 {
		// With a pushed list, the sidecar counts as notified as soon as discovery is reachable again: the
		// pause, its jitter and the call must fit into DrainGrace.
		d.maxBackoff = min(d.maxBackoff, cfg.DrainGrace/4)
	}
	if cfg.Policy.PollsEndpoints {
		d.pollRequests = make(chan struct{}, 1)
	} else {
		d.hedgeInterval = min(d.hedgeInterval, 2*d.maxBackoff)
	}
	if len(cfg.CachedEndpoints.Endpoints) > 0 {
		d.version = cfg.CachedEndpoints.Version
	}
	return d
}

// requestPoll requests a poll of the endpoint list. It never blocks, and may be called from any goroutine.
func (d *discoveryClient) requestPoll() {
	select {
	case d.pollRequests <- struct{}{}:
	default: // a request is already pending, or the list is pushed
	}
}

// run follows the endpoint list until ctx is cancelled. After a failure it starts again: after a pause if the
// list is pushed, or when the Balancer requests the next poll. After a change of discovery's address it
// starts again immediately and requests the full list, because another discovery does not share the version
// numbers.
func (d *discoveryClient) run(ctx context.Context) {
	pause := newBackoff(min(initialBackoff, d.maxBackoff), d.maxBackoff)
	followCtx := ctx // cancelled when reload changes the address
	for d.waitForPoll(ctx, followCtx) {
		var address string
		var addressChanged bool
		followCtx, address, addressChanged = d.startFollowing(ctx)
		if addressChanged {
			d.version = unknownVersion
			d.closeIdleConn()
			pause.reset()
		}
		received, err := d.follow(followCtx, address)
		if followCtx.Err() != nil {
			continue // ctx is cancelled, or the address changed and no call to the new one has failed yet
		}
		slog.Warn("follow endpoint list failed", "discovery", address, "error", err)
		d.discardPoll()
		d.onFailure()
		if d.pollRequests != nil {
			continue
		}
		if received {
			pause.reset()
		}
		pause.wait(followCtx)
	}
}

// waitForPoll waits until the endpoint list should be requested, and returns false once ctx is cancelled. A
// pushed list is requested immediately, a polled one when a poll is requested or followCtx is cancelled:
// after a change of address the first call does not wait for a poll.
func (d *discoveryClient) waitForPoll(ctx, followCtx context.Context) bool {
	if d.pollRequests != nil {
		select {
		case <-d.pollRequests:
		case <-followCtx.Done():
		}
	}
	return ctx.Err() == nil
}

// discardPoll discards a poll that was requested during a failed call. The failure is reported to the
// Balancer, which then decides when to poll next.
func (d *discoveryClient) discardPoll() {
	select {
	case <-d.pollRequests:
	default:
	}
}
