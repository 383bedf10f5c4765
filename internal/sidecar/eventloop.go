package sidecar

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

const (
	countersInterval = 10 * time.Second // interval between log lines with the counters
	eventQueueLength = 256              // events that may wait for the loop; post blocks while the queue is full
)

// eventLoop owns the Balancer, which is single-threaded, and all state of requests and endpoints. A single
// goroutine, which sidecar.start starts, executes run: it runs every event in order of arrival until its
// context is cancelled. All other code of this package reaches that state only by posting an event.
//
// This guarantees without locks that no request gets a second response, and that each attempt has exactly one
// Outcome.
//
// eventloop.go has the loop and its timers, requests.go the request table, endpoints.go the endpoint table
// and host.go the policy.Host methods, which the Balancer calls.
type eventLoop struct {
	clock          clock
	balancer       *policy.Balancer
	transport      *transport
	watchEndpoints func()           // asks the discovery client to poll the endpoint list; must not block
	peers          *gossipTransport // broadcasts gossip to the other sidecars; nil: no peers or no gossip socket
	clients        *acceptor        // its counters are logged; nil in tests without clients
	maxAttempts    int              // limit on the attempts of one request

	lastID atomic.Uint64                // id of the request submitted last
	events chan func(now time.Duration) // posted events that have not run yet

	// The fields below are used only on the loop's goroutine.

	now           time.Duration // time of the event being run
	requests      map[policy.RequestID]*request
	endpoints     map[policy.EndpointID]*endpoint // the listed endpoints, without removed ones
	deniedSends   []policy.Outcome                // outcomes of denied sends, not reported to the Balancer yet
	pendingTimers []time.Duration                 // times at which to call TimerFired, ascending, without duplicates
	timer         *time.Timer                     // expires at the first of pendingTimers
}

func newEventLoop(cfg *Config, clk clock, tr *transport) (*eventLoop, error) {
	l := &eventLoop{
		clock:          clk,
		transport:      tr,
		watchEndpoints: func() {},
		maxAttempts:    cfg.Policy.MaxAttempts,
		events:         make(chan func(time.Duration), eventQueueLength),
		requests:       make(map[policy.RequestID]*request),
		endpoints:      make(map[policy.EndpointID]*endpoint),
		timer:          time.NewTimer(time.Hour), // if it expires before armTimer resets it, fireTimers does nothing
	}
	var err error
	if l.balancer, err = policy.New(cfg.Policy, cfg.Seed, l); err != nil {
		return nil, err
	}
	return l, nil
}

// post queues an event for the loop, and blocks while eventQueueLength events are queued. It may be called
// from any goroutine but the loop's own, where a full queue would be a deadlock. The loop never blocks on the
// goroutines that post, so the queue always drains.
func (l *eventLoop) post(event func(now time.Duration)) { l.events <- event }

// run starts the Balancer with the cached endpoint list, then runs events until ctx is cancelled. Events that
// are still queued at that point are discarded, as the process is about to exit.
func (l *eventLoop) run(ctx context.Context, cached endpointlist.List) {
	l.start(cached)
	counters := time.NewTicker(countersInterval)
	defer counters.Stop()
	for {
		l.reportDeniedSends()
		select {
		case event := <-l.events:
			l.now = l.clock.now()
			event(l.now)
		case <-l.timer.C:
			l.now = l.clock.now()
			l.fireTimers()
		case <-counters.C:
			l.logCounters()
		case <-ctx.Done():
			return
		}
	}
}

func (l *eventLoop) start(cached endpointlist.List) {
	l.now = l.clock.now()
	l.balancer.Start(l.now)
	cached.Full = true
	l.applyEndpoints(cached, policy.CachedUpdate)
}

// fireTimers removes the expired timers and calls the Balancer once for all of them.
func (l *eventLoop) fireTimers() {
	expired := 0
	for expired < len(l.pendingTimers) && l.pendingTimers[expired] <= l.now {
		expired++
	}
	l.pendingTimers = slices.Delete(l.pendingTimers, 0, expired)
	if expired > 0 {
		l.balancer.TimerFired(l.now)
	}
	l.armTimer()
}

// addTimer schedules a call of the Balancer's TimerFired. Timers for the same time share one call.
func (l *eventLoop) addTimer(at time.Duration) {
	i, found := slices.BinarySearch(l.pendingTimers, at)
	if found {
		return
	}
	l.pendingTimers = slices.Insert(l.pendingTimers, i, at)
	if i == 0 {
		l.armTimer()
	}
}

func (l *eventLoop) armTimer() {
	if len(l.pendingTimers) > 0 {
		l.timer.Reset(l.pendingTimers[0] - l.now)
	}
}

// logCounters logs the counters, which count from the start of the process.
func (l *eventLoop) logCounters() {
	slog.LogAttrs(context.Background(), slog.LevelInfo, "counters", l.counters()...)
}

// counters returns the counters of the Balancer, the client connections, the transport and gossip. Programs
// outside this one depend on the keys: see docs/ARCHITECTURE.md.
func (l *eventLoop) counters() []slog.Attr {
	return []slog.Attr{
		policyCounters(l.balancer.Counters()),
		slog.Any("clients", l.clients.counters()),
		slog.Any("transport", l.transport.counters()),
		slog.Any("gossip", l.peers.counters()),
	}
}

func policyCounters(c policy.Counters) slog.Attr {
	return slog.Group("policy",
		slog.Uint64("round_robin_sends", c.RoundRobinSends),
		slog.Uint64("diverted_sends", c.DivertedSends),
		slog.Uint64("concurrency_limited", c.ConcurrencyLimited),
		slog.Uint64("shed", c.Shed),
		slog.Uint64("cross_zone_sends", c.CrossZoneSends),
		slog.Uint64("retries", c.Retries),
		slog.Uint64("late_rejected", c.LateRejected),
		slog.Uint64("queued", c.Queued),
		slog.Uint64("gossip_sent", c.GossipSent),
		slog.Uint64("gossip_received", c.GossipReceived),
		slog.Uint64("gossip_dropped", c.GossipDropped),
		slog.Uint64("rejected", c.Rejected),
		slog.Uint64("failed", c.Failed))
}
