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
	countersInterval = 10 * time.Second // between two log lines with the counters
	eventQueueLength = 256              // events that may wait for the loop before post blocks
)

// eventLoop owns the Balancer, which is single-threaded, and all state of requests and endpoints. One goroutine,
// which serve starts with run and ends through its context, carries out every event in the order of arrival;
// everything else in this package reaches that state only by posting an event.
//
// So what must happen exactly once is ensured here without locks: a request's response and an attempt's Outcome.
//
// The files: eventloop.go has the loop and its timers, requests.go the request table, endpoints.go the endpoint
// table, host.go the methods that the Balancer calls.
type eventLoop struct {
	clock          clock
	balancer       *policy.Balancer
	transport      *transport
	watchEndpoints func()           // asks the discovery client for the endpoint list; must not block
	peers          *gossipTransport // sends gossip to the other sidecars; nil: there is no way to them
	maxAttempts    int              // limit on the attempts of one request

	lastID atomic.Uint64                // of the requests submitted so far
	events chan func(now time.Duration) // posted, not yet run

	// The rest belongs to the loop's goroutine.

	now            time.Duration // the time of the event being run
	requests       map[policy.RequestID]*request
	endpoints      map[policy.EndpointID]*endpoint // the servers listed and not removed
	unsentOutcomes []policy.Outcome                // see reportUnsent
	timersAt       []time.Duration                 // when TimerFired is to be called, ascending, no duplicates
	timer          *time.Timer                     // set for the first of timersAt
}

func newEventLoop(cfg *Config, c clock, t *transport) (*eventLoop, error) {
	l := &eventLoop{
		clock:          c,
		transport:      t,
		watchEndpoints: func() {},
		maxAttempts:    cfg.Policy.MaxAttempts,
		events:         make(chan func(time.Duration), eventQueueLength),
		requests:       make(map[policy.RequestID]*request),
		endpoints:      make(map[policy.EndpointID]*endpoint),
		timer:          time.NewTimer(time.Hour), // armTimer sets it; if it fires before, fireTimers finds nothing expired
	}
	var err error
	if l.balancer, err = policy.New(cfg.Policy, cfg.Seed, l); err != nil {
		return nil, err
	}
	return l, nil
}

// post hands an event to the loop. It may be called from any goroutine but the loop's own, and blocks while
// eventQueueLength events are waiting. The loop never blocks on those who post, so the queue always empties;
// from the loop's own goroutine a full queue would be a deadlock.
func (l *eventLoop) post(event func(now time.Duration)) { l.events <- event }

// run starts the Balancer with the cached endpoint list and runs event after event until ctx ends. Events posted
// after that stay in the queue: the process is about to exit.
func (l *eventLoop) run(ctx context.Context, cached endpointlist.List) {
	l.start(cached)
	counters := time.NewTicker(countersInterval)
	defer counters.Stop()
	for {
		l.reportUnsent()
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
	cached.Complete = true
	l.applyEndpoints(cached, policy.CachedUpdate)
}

// fireTimers calls the Balancer once for all timers that have expired.
func (l *eventLoop) fireTimers() {
	expired := 0
	for expired < len(l.timersAt) && l.timersAt[expired] <= l.now {
		expired++
	}
	l.timersAt = slices.Delete(l.timersAt, 0, expired)
	if expired > 0 {
		l.balancer.TimerFired(l.now)
	}
	l.armTimer()
}

// addTimer has the Balancer called at a time. Timers for the same time share one call.
func (l *eventLoop) addTimer(at time.Duration) {
	i, found := slices.BinarySearch(l.timersAt, at)
	if found {
		return
	}
	l.timersAt = slices.Insert(l.timersAt, i, at)
	if i == 0 {
		l.armTimer()
	}
}

func (l *eventLoop) armTimer() {
	if len(l.timersAt) > 0 {
		l.timer.Reset(l.timersAt[0] - l.now)
	}
}

// logCounters writes the counters since the start.
func (l *eventLoop) logCounters() {
	slog.LogAttrs(context.Background(), slog.LevelInfo, "counters", l.counters()...)
}

// counters returns the counters of the Balancer, the transport and gossip. Their keys are relied on outside this
// program: see docs/ARCHITECTURE.md.
func (l *eventLoop) counters() []slog.Attr {
	return []slog.Attr{
		policyCounters(l.balancer.Counters()),
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
		slog.Uint64("expired_retries", c.ExpiredRetries),
		slog.Uint64("queued", c.Queued),
		slog.Uint64("gossip_sent", c.GossipSent),
		slog.Uint64("gossip_received", c.GossipReceived),
		slog.Uint64("gossip_dropped", c.GossipDropped),
		slog.Uint64("rejected", c.Rejected),
		slog.Uint64("failed", c.Failed))
}
