package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// sentAttempt is an attempt that a fakeHost was asked to send.
type sentAttempt struct {
	id           RequestID
	to           EndpointID
	timeout      time.Duration
	writeTimeout time.Duration
}

// fakeHost records what a Balancer asks of its host.
type fakeHost struct {
	sends        []sentAttempt
	rejected     map[RequestID]time.Duration // Retry-After by request
	failed       map[RequestID]bool
	cancelled    []RequestID
	healthChecks []EndpointID
	idleCloses   []EndpointID
	polls        int // calls of WatchEndpoints
	broadcasts   []GossipMessage
	log          []HealthEvent
}

func newFakeHost() *fakeHost {
	return &fakeHost{rejected: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}}
}

func (h *fakeHost) Send(id RequestID, to EndpointID, timeout, writeTimeout time.Duration) {
	h.sends = append(h.sends, sentAttempt{id, to, timeout, writeTimeout})
}

func (h *fakeHost) Reject(id RequestID, retryAfter time.Duration) { h.rejected[id] = retryAfter }
func (h *fakeHost) Fail(id RequestID)                             { h.failed[id] = true }
func (h *fakeHost) Cancel(id RequestID, _ int)                    { h.cancelled = append(h.cancelled, id) }
func (h *fakeHost) SetTimer(time.Duration)                        {}
func (h *fakeHost) HealthCheck(to EndpointID)                     { h.healthChecks = append(h.healthChecks, to) }
func (h *fakeHost) CloseIdle(to EndpointID)                       { h.idleCloses = append(h.idleCloses, to) }
func (h *fakeHost) WatchEndpoints()                               { h.polls++ }
func (h *fakeHost) Broadcast(m GossipMessage)                     { h.broadcasts = append(h.broadcasts, m) }
func (h *fakeHost) Log(e HealthEvent)                             { h.log = append(h.log, e) }

// sentTo counts the attempts sent to an endpoint.
func (h *fakeHost) sentTo(id EndpointID) int {
	n := 0
	for _, s := range h.sends {
		if s.to == id {
			n++
		}
	}
	return n
}

// sentFor counts the attempts sent for a request.
func (h *fakeHost) sentFor(id RequestID) int {
	n := 0
	for _, s := range h.sends {
		if s.id == id {
			n++
		}
	}
	return n
}

// The classes of testConfig, named after the idempotency and deduplication scope of their requests.
const (
	idempotentClass = iota
	dedupEverywhereClass
	dedupInZoneClass
	dedupInCellClass
	nonIdempotentClass
)

// testConfig returns the configuration of one of two balancers, with two tenants and a class for each kind of
// idempotency and deduplication scope.
func testConfig() Config {
	class := func(idempotency Idempotency, scope DedupScope) Class {
		return Class{
			LatencyObjective: time.Second,
			Deadline:         3 * time.Second,
			PriorityWeight:   1,
			Idempotency:      idempotency,
			DedupScope:       scope,
			DedupWindow:      700 * ms,
		}
	}
	return Config{
		Balancers: 2,
		Classes: []Class{
			idempotentClass:      class(Idempotent, DedupEverywhere),
			dedupEverywhereClass: class(IdempotentByKey, DedupEverywhere),
			dedupInZoneClass:     class(IdempotentByKey, DedupInZone),
			dedupInCellClass:     class(IdempotentByKey, DedupInCell),
			nonIdempotentClass:   class(NonIdempotent, DedupEverywhere),
		},
		Tenants:           []Tenant{{Weight: 0.75, Quota: 75}, {Weight: 0.25, Quota: 25}},
		Slots:             8,
		MaxAttempts:       3,
		CanCancel:         true,
		MaxRetryAfter:     time.Second,
		EventInterval:     5 * ms,
		PollInterval:      10 * time.Second,
		SlowStartFraction: 0.3,
		SlowStartDuration: 8 * time.Second,
		OverloadFactor:    3,
	}
}

// ready returns list entries of ready endpoints with equal weights.
func ready(ids ...EndpointID) []Endpoint {
	var list []Endpoint
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, State: Ready, Weight: 1})
	}
	return list
}

// start makes and starts a Balancer, and passes it an endpoint list.
func start(t testing.TB, cfg Config, list []Endpoint) (*Balancer, *fakeHost) {
	t.Helper()
	return startSeeded(t, cfg, 1, list)
}

// startSeeded is start with a given seed, for tests with many balancers.
func startSeeded(t testing.TB, cfg Config, seed uint64, list []Endpoint) (*Balancer, *fakeHost) {
	t.Helper()
	h := newFakeHost()
	b, err := New(cfg, seed, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(0)
	b.UpdateEndpoints(0, FullUpdate, list)
	return b, h
}

// submit passes a request of tenant 0 to a Balancer.
func submit(b *Balancer, now time.Duration, id RequestID, class int) {
	b.Request(now, Request{ID: id, Class: class, Timeout: 2 * time.Second})
}

// finish passes the outcome of an attempt to a Balancer. Only a successful attempt answers the request.
func finish(b *Balancer, now time.Duration, id RequestID, attempt int, result Result) {
	b.Outcome(now, Outcome{RequestID: id, Attempt: attempt, Result: result, Answered: result == Succeeded})
}

// resetAdmission resets the counts of admission, so that it sheds no requests in tests of other mechanisms.
func resetAdmission(b *Balancer) {
	for i := range b.admission.demand {
		d := &b.admission.demand[i]
		d.offered, d.goodput = 0, 0
	}
}

// largeFleetConfig returns a configuration typical of a fleet of hundreds of balancers.
func largeFleetConfig(balancers int) Config {
	class := func(priority float64, idempotency Idempotency) Class {
		return Class{
			LatencyObjective: 500 * ms,
			Deadline:         2 * time.Second,
			PriorityWeight:   priority,
			Idempotency:      idempotency,
			DedupWindow:      6 * time.Second,
		}
	}
	return Config{
		Balancers:          balancers,
		Classes:            []Class{class(1, Idempotent), class(8, IdempotentByKey)},
		Tenants:            []Tenant{{Weight: 0.42, Quota: 764}, {Weight: 0.33, Quota: 600}, {Weight: 0.25, Quota: 455}},
		MaxAttempts:        6,
		CanCancel:          true,
		CanGossip:          true,
		MaxRetryAfter:      2 * time.Second,
		ClientsMarkRetries: true,
		EventInterval:      ms,
		PollsEndpoints:     true,
		PollInterval:       10 * time.Second,
		SlowStartFraction:  0.32,
		SlowStartDuration:  8400 * ms,
		OverloadFactor:     4,
		CrossZoneCost:      0.12,
	}
}
