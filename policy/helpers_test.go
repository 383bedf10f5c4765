package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// sentAttempt is one attempt that a test host was asked to start.
type sentAttempt struct {
	id           RequestID
	to           EndpointID
	timeout      time.Duration
	writeTimeout time.Duration
}

// fakeHost records the actions of a Balancer.
type fakeHost struct {
	sends        []sentAttempt
	rejected     map[RequestID]time.Duration
	failed       map[RequestID]bool
	cancelled    []RequestID
	timers       []time.Duration
	healthChecks []EndpointID
	idleCloses   []EndpointID
	polls        int
	broadcasts   []GossipMessage
	log          []HealthEvent
	trace        []string
}

func newFakeHost() *fakeHost {
	return &fakeHost{rejected: map[RequestID]time.Duration{}, failed: map[RequestID]bool{}}
}

func (h *fakeHost) record(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

func (h *fakeHost) Send(id RequestID, to EndpointID, timeout, within time.Duration) {
	h.sends = append(h.sends, sentAttempt{id, to, timeout, within})
	h.record("send %d %d %v", id, to, timeout)
}

func (h *fakeHost) Reject(id RequestID, pause time.Duration) {
	h.rejected[id] = pause
	h.record("refuse %d %v", id, pause)
}

func (h *fakeHost) Fail(id RequestID) {
	h.failed[id] = true
	h.record("fail %d", id)
}

func (h *fakeHost) Cancel(id RequestID, attempt int) {
	h.cancelled = append(h.cancelled, id)
	h.record("cancel %d %d", id, attempt)
}

func (h *fakeHost) SetTimer(d time.Duration) {
	h.timers = append(h.timers, d)
	h.record("wake %v", d)
}

func (h *fakeHost) HealthCheck(to EndpointID) {
	h.healthChecks = append(h.healthChecks, to)
	h.record("probe %d", to)
}

func (h *fakeHost) CloseIdle(to EndpointID) {
	h.idleCloses = append(h.idleCloses, to)
	h.record("close %d", to)
}

func (h *fakeHost) WatchEndpoints() {
	h.polls++
	h.record("watch")
}

func (h *fakeHost) Broadcast(n GossipMessage) {
	h.broadcasts = append(h.broadcasts, n)
	h.record("tell %+v", n)
}

func (h *fakeHost) Log(e HealthEvent) {
	h.log = append(h.log, e)
	h.record("log %s", e)
}

// sentTo counts the attempts sent to a server.
func (h *fakeHost) sentTo(id EndpointID) int {
	n := 0
	for _, s := range h.sends {
		if s.to == id {
			n++
		}
	}
	return n
}

// sentFor counts the attempts of a request.
func (h *fakeHost) sentFor(id RequestID) int {
	n := 0
	for _, s := range h.sends {
		if s.id == id {
			n++
		}
	}
	return n
}

// The classes of testConfig.
const (
	idempotentClass = iota
	dedupEverywhereClass
	dedupInZoneClass
	dedupInCellClass
	nonIdempotentClass
)

func testConfig() Config {
	class := func(e Idempotency, s DedupScope) Class {
		return Class{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, Idempotency: e, DedupScope: s, DedupWindow: 700 * ms}
	}
	return Config{
		Balancers: 2,
		Classes: []Class{
			class(Idempotent, DedupEverywhere), class(IdempotentByKey, DedupEverywhere), class(IdempotentByKey, DedupInZone), class(IdempotentByKey, DedupInCell),
			class(NonIdempotent, DedupEverywhere),
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

func ready(ids ...EndpointID) []Endpoint {
	var list []Endpoint
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, State: Ready, Weight: 1})
	}
	return list
}

// start makes a Balancer that holds a list of servers.
func start(t testing.TB, cfg Config, list []Endpoint) (*Balancer, *fakeHost) {
	t.Helper()
	return startSeeded(t, cfg, 1, list)
}

// startSeeded is start with a seed, for tests of many balancers.
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

// submit hands in a request of tenant 0.
func submit(b *Balancer, now time.Duration, id RequestID, class int) {
	b.Request(now, Request{ID: id, Class: class, Timeout: 2 * time.Second})
}

// finish ends an attempt of a request.
func finish(b *Balancer, now time.Duration, id RequestID, attempt int, e Result) {
	b.Outcome(now, Outcome{RequestID: id, Attempt: attempt, Result: e, Answered: e == Succeeded})
}

// resetAdmission has admission begin anew, where a test is not about it.
func resetAdmission(b *Balancer) {
	for i := range b.admission.demand {
		d := &b.admission.demand[i]
		d.offered, d.goodput = 0, 0
	}
}

// largeFleetConfig is like the settings of the days at size.
func largeFleetConfig(balancers int) Config {
	class := func(worth float64, e Idempotency) Class {
		return Class{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: worth, Idempotency: e, DedupWindow: 6 * time.Second}
	}
	return Config{
		Balancers: balancers, Classes: []Class{class(1, Idempotent), class(8, IdempotentByKey)},
		Tenants:     []Tenant{{Weight: 0.42, Quota: 764}, {Weight: 0.33, Quota: 600}, {Weight: 0.25, Quota: 455}},
		MaxAttempts: 6, CanCancel: true, CanGossip: true, MaxRetryAfter: 2 * time.Second, ClientsMarkRetries: true, EventInterval: ms,
		PollsEndpoints: true, PollInterval: 10 * time.Second, SlowStartFraction: 0.32, SlowStartDuration: 8400 * ms, OverloadFactor: 4, CrossZoneCost: 0.12,
	}
}
