// Package policy makes the decisions of one sidecar, a client-side load balancer: whether a request
// is admitted, which endpoint it is sent to and when, whether it is retried, and when it is
// rejected or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no clock and no I/O. The
// program that embeds a Balancer, its host, calls one method per event and passes the current time.
// The Balancer responds by calling the methods of Host. None of its own methods blocks. The events
// are in balancer.go; each mechanism has its own file.
//
// # Contract
//
// Times are durations since a fixed moment. All balancers use the same moment, and so does
// Endpoint.StartedAt; in the sidecar it is the Unix epoch. Time never goes backwards. All calls to
// a Balancer come from one goroutine, in the order in which the events happened: New, Start,
// UpdateEndpoints with the cached endpoint list, then any other event. The host reports exactly one
// Outcome for each Host.Send, even if the request has been answered in the meantime. It calls
// TimerFired once for each Host.SetTimer; the call may be late but must not be omitted. Each
// request is answered once: by an Outcome with Answered set, or by Host.Reject or Host.Fail.
//
// Invalid input does no harm: a request with an unknown class or tenant, or without time left, is
// rejected; an outcome, load report or disconnect is ignored if it refers to something unknown or
// is repeated. New returns a *ConfigError if the configuration is invalid.
package policy

import (
	"fmt"
	"time"
)

// Host carries out the decisions of a Balancer. Its methods must not block and must not call back
// into the Balancer.
type Host interface {
	// Send starts the next attempt of a request. The attempt times out after timeout, which is
	// positive. If the request has not been written within writeTimeout (0: no limit), it must not
	// be written at all, and the attempt ends as NotSent: endpoints would no longer recognize the
	// request as a duplicate.
	Send(id RequestID, to EndpointID, timeout, writeTimeout time.Duration)
	// Reject answers a request and guarantees that it had no lasting effect. The client may retry,
	// preferably after retryAfter.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail answers a request without any guarantee about its effect.
	Fail(id RequestID)
	// Cancel abandons one attempt. The host still reports its Outcome.
	Cancel(id RequestID, attempt int)
	// SetTimer requests a call of Balancer.TimerFired after d.
	SetTimer(d time.Duration)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(to EndpointID)
	// HealthCheck requests a load report from an endpoint. The host passes the result to
	// Balancer.HealthChecked.
	HealthCheck(to EndpointID)
	// WatchEndpoints polls the endpoint list by starting a watch of it. The host passes each update,
	// and a failure as UpdateFailed, to Balancer.UpdateEndpoints.
	WatchEndpoints()
	// Broadcast sends a message to all other balancers. The message may be lost. The host passes
	// messages of other balancers to Balancer.ReceiveGossip.
	Broadcast(m GossipMessage)
	// Log reports a health event to the operators.
	Log(e HealthEvent)
}

// HealthEventKind is the kind of a HealthEvent.
type HealthEventKind int

// The kinds of health events.
const (
	EndpointDegraded  HealthEventKind = iota // slow or failing; picked less often
	EndpointRecovered                        // responded after a long silence
)

// HealthEvent is a change in the health of an endpoint as observed by a Balancer.
type HealthEvent struct {
	Kind         HealthEventKind
	Endpoint     EndpointID
	InFlight     int           // attempts of this Balancer in flight at the endpoint
	Unresponsive time.Duration // EndpointRecovered only: time without a response
}

// String returns the event as one line of text.
func (e HealthEvent) String() string {
	if e.Kind == EndpointRecovered {
		return fmt.Sprintf("endpoint %x recovered after %v", e.Endpoint, e.Unresponsive)
	}
	return fmt.Sprintf("endpoint %x degraded, %d attempts in flight", e.Endpoint, e.InFlight)
}

// Counters count the actions of a Balancer since it was made.
type Counters struct {
	RoundRobinSends    uint64 // first attempts sent to the next endpoint in round-robin order
	DivertedSends      uint64 // attempts not sent to the endpoint due first, which was ejected or at its limit
	ConcurrencyLimited uint64 // dispatches refused by the concurrency limit although a slot was free
	Shed               uint64 // requests rejected by admission
	CrossZoneSends     uint64 // attempts sent to another zone, if CrossZoneCost is above 0
	Retries            uint64 // attempts after a request's first
	LateRejected       uint64 // rejected without queueing, as the response would be late; mostly client retries
	Queued             uint64 // requests that had to wait for a slot or an endpoint
	GossipSent         uint64 // gossip messages broadcast
	GossipReceived     uint64 // gossip messages accepted
	GossipDropped      uint64 // gossip messages dropped as stale, out of order or implausible
	Rejected           uint64 // requests answered by Host.Reject
	Failed             uint64 // requests answered by Host.Fail
}
