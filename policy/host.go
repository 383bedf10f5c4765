// Package policy takes the decisions of one sidecar, a client-side load
// balancer: whether a request is admitted, which endpoint it is sent to and
// when, whether it is retried, and when it is given up.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no
// clock and no I/O. The program that embeds it, its host, calls one method per
// event and passes the time; the Balancer answers by calls of Host. None of
// its methods blocks. The events are in balancer.go; each mechanism has a file
// of its own.
//
// # Contract
//
// Times are durations since a fixed moment, the same for all balancers and for
// Endpoint.StartedAt (on real sockets the Unix epoch). They never go back, and
// all calls for one Balancer come from one goroutine, in the order in which
// things happened: New, Start, UpdateEndpoints with the endpoints cached from
// before, then any other event. Each Host.Send brings exactly one Outcome, also
// after its request has been answered; each Host.SetTimer brings one call of
// TimerFired, rather late than never. A request is answered once: by an Outcome
// with Answered set, or by Host.Reject or Host.Fail.
//
// Bad input does no harm: a request that names no class or tenant, or has no
// time left, is rejected; an outcome, report or departure of something unknown
// is ignored, and so is a repeated one. New returns a *ConfigError for
// settings that cannot be used.
package policy

import (
	"fmt"
	"time"
)

// Host carries out what a Balancer decides. Its methods must not block and
// must not call back into the Balancer.
type Host interface {
	// Send starts the next attempt of a request, given up after timeout, which
	// is above 0. An
	// attempt whose request is not written within writeTimeout (0: no limit)
	// must not be written any more and ends as NotSent: endpoints would no
	// longer recognise it as a duplicate.
	Send(id RequestID, to EndpointID, timeout, writeTimeout time.Duration)
	// Reject ends a request and promises that it had no lasting effect; the
	// client may retry, best after retryAfter.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request with no promise about its effect.
	Fail(id RequestID)
	// Cancel abandons one attempt; its Outcome still comes.
	Cancel(id RequestID, attempt int)
	// SetTimer asks for a call of Balancer.TimerFired after d.
	SetTimer(d time.Duration)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(to EndpointID)
	// HealthCheck asks an endpoint for a load report;
	// Balancer.HealthChecked brings it.
	HealthCheck(to EndpointID)
	// WatchEndpoints subscribes to the endpoint list;
	// Balancer.UpdateEndpoints brings changes.
	WatchEndpoints()
	// Broadcast sends a message to all other balancers; it may be lost.
	// Balancer.ReceiveGossip brings theirs.
	Broadcast(m GossipMessage)
	// Log reports an event to the operators.
	Log(e HealthEvent)
}

// HealthEventKind is the kind of a HealthEvent.
type HealthEventKind int

// The kinds of health events.
const (
	EndpointDegraded  HealthEventKind = iota // slow or failing: it gets fewer turns
	EndpointRecovered                        // answers after a long silence
)

// HealthEvent is a change in how a Balancer sees the health of an endpoint.
type HealthEvent struct {
	Kind         HealthEventKind
	Endpoint     EndpointID
	InFlight     int           // attempts of this Balancer at the endpoint
	Unresponsive time.Duration // EndpointRecovered: how long it did not answer
}

// String returns the event as one line of text.
func (e HealthEvent) String() string {
	if e.Kind == EndpointRecovered {
		return fmt.Sprintf("endpoint %x recovered after %v", e.Endpoint, e.Unresponsive)
	}
	return fmt.Sprintf("endpoint %x degraded, %d attempts in flight", e.Endpoint, e.InFlight)
}

// Counters are what a Balancer did since it was made.
type Counters struct {
	RoundRobinSends    uint64 // first attempts at the endpoint whose turn it was
	DivertedSends      uint64 // attempts that went to the next in turn, as an endpoint was at its limit
	ConcurrencyLimited uint64 // times that the concurrency limit held back a request with a free slot
	Shed               uint64 // requests rejected by admission
	CrossZoneSends     uint64 // attempts to another zone, where crossing has a cost
	Retries            uint64 // attempts after a request's first
	LateRejected       uint64 // rejected on arrival as a response would be late, mostly clients' own retries
	Queued             uint64 // requests that had to wait for a slot or an endpoint
	GossipSent         uint64 // messages broadcast
	GossipReceived     uint64 // messages of peers that were accepted
	GossipDropped      uint64 // messages of peers that were stale, out of order or implausible
	Rejected           uint64 // requests that ended by Host.Reject
	Failed             uint64 // requests that ended by Host.Fail
}
