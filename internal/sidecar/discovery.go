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

// The limits below follow from when a sidecar counts as notified of a change. From then on, or within DrainGrace of
// it, nothing new may be sent to a draining server, whether or not the sidecar knows of the drain:
//
//   - of a change that a watch missed because it was never answered: 2 s after the watch's wait is over
//   - of a change while discovery was out of reach: at once on its return where lists are pushed, 6 s after it where
//     they are polled
const (
	// A watch is drawn between half of this and all of it, see drawWatchTime.
	maxWatchTime = 20 * time.Second

	// A watch with no response so long after its wait is over has timed out. Of the 2 s until what it missed counts
	// as notified, 1.5 s remain for the call that reads it, which may have to queue at discovery.
	watchGracePeriod = 500 * time.Millisecond

	// What a call for the changes since a cached list asks discovery to wait: it is to be answered at once.
	immediateWait = time.Millisecond

	// A call that is answered at once ends after callTimeout. Every hedgedCallInterval another one is made beside
	// it, see fetch, with at most maxConcurrentCalls in flight: each takes a descriptor.
	callTimeout        = 6 * time.Second
	maxHedgeInterval   = 2 * time.Second
	maxConcurrentCalls = 6

	// The pause after a failed call where lists are pushed, see backoff: it doubles with each failure.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second

	maxListBytes = 8 << 20 // limit on the body of a response; far above any real list
)

var (
	errWatchTimeout    = errors.New("the watch timed out")
	errInvalidResponse = errors.New("the response is invalid")
)

// discoveryClient follows the endpoint list at discovery and hands each update to the event loop.
//
// serve starts run in a goroutine, which its context ends; poll and reload are called from others. The files:
// discovery.go has the loop over failures and address changes, discovery_follow.go the calls at one address,
// discovery_hedge.go and discovery_call.go how a call is made, discovery_reload.go the change of address.
type discoveryClient struct {
	zones     map[string]int
	onUpdate  func(endpointlist.List) // takes each update, on run's goroutine
	onFailure func()                  // called when following the list has failed, on run's goroutine
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	// An item asks for the list. nil: the list is pushed, so it is followed from the start and after each failure.
	pollRequests chan struct{}

	randomWatchTime func() time.Duration // how long the next watch may take
	watchGrace      time.Duration        // how long its response may take besides
	hedgeInterval   time.Duration        // see hedgedCallInterval
	maxBackoff      time.Duration

	version int64 // of the list known from the followed address; below 0: none, or not to be built on. Owned by run's goroutine

	mu              sync.Mutex
	address         string
	addressChanged  bool               // the address has changed since followedAddress returned it
	cancelFollow    context.CancelFunc // ends the calls at the address before; nil: run has not begun
	idleConn        net.Conn           // for the next call; nil: there is none
	idleConnAddress string             // where it is connected
}

// newDiscoveryClient returns a client that hands each update to updated and each failure to failed.
func newDiscoveryClient(cfg *Config, updated func(endpointlist.List), failed func()) *discoveryClient {
	d := &discoveryClient{
		zones:           cfg.Zones,
		onUpdate:        updated,
		onFailure:       failed,
		dial:            (&net.Dialer{KeepAlive: -1}).DialContext, // as with servers: the time limits find a dead peer
		randomWatchTime: randomWatchTime,
		watchGrace:      watchGracePeriod,
		hedgeInterval:   maxHedgeInterval,
		maxBackoff:      maxBackoff,
		version:         unknownVersion,
		address:         cfg.Discovery,
	}
	if cfg.DrainGrace > 0 {
		// A pushed change counts as notified on discovery's return: the pause, its jitter and the call must fit
		// into the time in which sends must stop.
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

// poll asks for the endpoint list. It never blocks, and may be called from any goroutine.
func (d *discoveryClient) poll() {
	select {
	case d.pollRequests <- struct{}{}:
	default: // already asked, or the list is pushed
	}
}

// run follows the endpoint list until ctx ends, and begins again after each failure: where lists are pushed after a
// pause, where they are polled when the Balancer asks for it. At a new address it begins at once, with the full list,
// as the versions of one discovery mean nothing to another.
func (d *discoveryClient) run(ctx context.Context) {
	pause := newBackoff(min(initialBackoff, d.maxBackoff), d.maxBackoff)
	following := ctx // ends when reload brings a new address
	for d.waitForPoll(ctx, following) {
		var address string
		var moved bool
		following, address, moved = d.startFollowing(ctx)
		if moved {
			d.version = unknownVersion
			d.closeIdle()
			pause.reset()
		}
		received, err := d.follow(following, address)
		if following.Err() != nil {
			continue // nothing has failed at the new address
		}
		slog.Warn("following the endpoint list failed", "discovery", address, "error", err)
		d.discardPoll()
		d.onFailure()
		if d.pollRequests != nil {
			continue
		}
		if received {
			pause.reset()
		}
		pause.wait(following)
	}
}

// awaitPoll waits until the list is to be called for: where it is polled, until that is asked for or following ends,
// as a new address is called at once. It returns false once ctx has ended.
func (d *discoveryClient) waitForPoll(ctx, following context.Context) bool {
	if d.pollRequests != nil {
		select {
		case <-d.pollRequests:
		case <-following.Done():
		}
	}
	return ctx.Err() == nil
}

// dropPoll discards a poll that came during a call that failed: the Balancer learns of that failure instead, and
// decides when to poll next.
func (d *discoveryClient) discardPoll() {
	select {
	case <-d.pollRequests:
	default:
	}
}
