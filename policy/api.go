// Package policy decides, for one client-side load balancer (a sidecar), when
// and where each request is sent, sent again, refused or failed.
//
// A Balancer is single-threaded and deterministic: it has no goroutines, no
// clock and no I/O. The program that embeds it calls one method per event and
// passes the time; the Balancer answers through the Host it was given. This
// file is the interface; the decisions are in policy.go, peers.go and repeat.go.
//
// Times are durations since a fixed moment of the embedding program's choice; they must never go
// back, and all calls for one Balancer come from one goroutine, in the order of what happened. The
// order of calls: New, Start, List with the servers known so far, then Request, Outcome, Wake,
// List, Probed, Heard, ClientGone and StreamBegun as they occur. Each Host.Send brings exactly one Outcome,
// also after the request has been answered; each Host.SetTimer one call of Wake, late rather than never.
// A request is answered once: by an Outcome with Settled set, or by Host.Reject or Host.Fail.
//
// Bad input does no harm: a request that names no class or tenant, or has no time left, is refused;
// an outcome, probe or departure of something unknown is passed over, and so is a repeated one.
// New returns an error that names the field for settings that cannot be used.
package policy

import "time"

// RequestID names a request; the host picks it and never uses one twice.
type RequestID uint64

// EndpointID names a server; it stays the same when the server restarts.
type EndpointID uint64

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may be repeated and refused at will
	IdempotentByKey                    // repeats are dropped within a group of servers, for a while
	NonIdempotent                      // must never run twice
)

// DedupScope is the group of servers that drops repeats of a keyed request.
type DedupScope int

// The scopes of a keyed class.
const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInCell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective time.Duration // answers within this earn full worth
	ObjectivePerWork float64       // the aim grows by this multiple of the request's expected work
	Deadline         time.Duration // the client's whole wait, over all its tries
	LateValue        float64       // share of the worth that an answer after the aim still earns
	PriorityWeight   float64
	Idempotency      Idempotency
	DedupScope       DedupScope    // keyed only
	DedupWindow      time.Duration // keyed only: how long repeats are dropped, from the first send on
	OrderedByKey     bool          // requests of such classes that share a Request.Key run one at a time, in order
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Weight float64 // share of the service, set against the other tenants' shares
	Quota  float64 // requests a second within its share over all balancers; 0 where unknown
}

// RetryBudget limits attempts after each request's first: within any Span they number at most
// Free plus Share for each request taken in that Span.
type RetryBudget struct {
	Interval   time.Duration // 0: no limit
	MinRetries float64
	RetryRatio float64
}

// Config holds the settings a Balancer starts with; it does not change them.
type Config struct {
	Balancers int // balancers that send to the same servers, this one included
	Index     int // this balancer's number among them, from 0
	Zone      int // the zone this balancer is in
	Classes   []Class
	Tenants   []Tenant // may be empty: then there is one compartment

	Slots int // slots of this balancer over all compartments; 0 derives them from the rest

	MaxAttempts        int           // attempts for one request at most
	CanCancel          bool          // Host.Cancel may be used
	CanHealthCheck     bool          // Host.HealthCheck may be used
	CanGossip          bool          // Host.Broadcast may be used
	MaxRetryAfter      time.Duration // the longest pause that clients heed
	ClientsMarkRetries bool          // clients mark their own further tries: Request.ClientRetry

	RetryBudget       RetryBudget   // the zero value: no limit
	OrderingDelay     time.Duration // a key rests this long after an attempt that may still be running
	DrainCloseTimeout time.Duration // idle connections to a draining server are closed this soon; 0: left alone

	EventInterval time.Duration // events come at most this often

	PollsEndpoints bool          // the server list must be asked for
	PollInterval   time.Duration // without asking this long, a change counts as told; 0: not known

	SlowStartFraction float64       // a server starts with at least this share of its capacity
	SlowStartDuration time.Duration // and has all of it after this
	OverloadFactor    float64       // sent more than this multiple of what it can do at that moment, it falls over

	ReportFields ReportFields // what servers' load reports hold

	CrossZoneCost float64 // price of an attempt that leaves the zone, against a worth of 1
}

// EndpointState is what the server list says of a server.
type EndpointState int

// The states of a server.
const (
	Removed EndpointState = iota
	Draining
	Ready
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Cell      int // servers of one cell share the keys they have seen
	State     EndpointState
	Weight    float64       // nominal size, set against the other servers' weights
	StartedAt time.Duration // time of its last start; 0 means long ago
}

// UpdateKind says how the entries of a list event apply.
type UpdateKind int

// The kinds of list events.
const (
	FullUpdate   UpdateKind = iota // all servers; one that is absent has left
	DeltaUpdate                    // only changed entries
	CachedUpdate                   // all servers as last known, maybe old
	UpdateFailed                   // the call failed or the subscription broke; no entries
)

// Request is one client request.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Key          uint64        // what it is about; 0: nothing in particular
	Timeout      time.Duration // until the client gives up
	ExpectedWork time.Duration // expected work; 0 where unknown
	ClientRetry  bool          // known to be a client's own further try
}

// Result says how an attempt ended.
type Result int

// The endings of an attempt. TurnedAway, NoConnection and NotSent prove that
// it never ran; every other one but Served means that it may have run, and so
// does a value not listed here.
const (
	Succeeded Result = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotSent
)

// Outcome is the end of one attempt.
type Outcome struct {
	RequestID RequestID
	Attempt   int // numbered from 0 in the order of Host.Send for this request
	Result    Result
	Answered  bool       // the request is over; nothing more is owed for it
	Report    LoadReport // the server's report, where one came along
}

// ReportFields is a set of the fields of a Load.
type ReportFields uint8

// The fields of a Load.
const (
	HasInFlight ReportFields = 1 << iota
	HasQueued
	HasUtilization
	HasServiceTime
	HasThroughput
	HasErrorRate
)

// LoadReport is what a server reports of itself. The zero value is no report at all.
type LoadReport struct {
	Fields      ReportFields  // the fields that hold; the others are unknown
	InFlight    float64       // requests it holds
	Queued      float64       // of these, requests that wait
	Utilization float64       // share of its cores that is busy
	ServiceTime time.Duration // its usual time for a request of late, without waiting
	Throughput  float64       // requests served a second
	ErrorRate   float64       // errors a second
}

// Host carries out what the Balancer decides. Its methods must not call back
// into the Balancer.
type Host interface {
	// Send starts the next attempt of a request, given up after timeout. Unless its request is on the way within
	// that time (0: no limit) it must not be any more, and ends as NotSent: it would be a repeat that is not dropped.
	Send(id RequestID, to EndpointID, timeout, within time.Duration)
	// Refuse ends a request; trying again is harmless, best after the pause.
	Reject(id RequestID, pause time.Duration)
	// Fail ends a request with no promise about its effect.
	Fail(id RequestID)
	// Cancel calls off one attempt; its Outcome still comes.
	Cancel(id RequestID, attempt int)
	// Wake asks for a call of Balancer.TimerFired after d.
	SetTimer(d time.Duration)
	// Close closes the idle connections to a server.
	CloseIdle(to EndpointID)
	// Probe asks a server for a load report; Balancer.HealthChecked brings it.
	HealthCheck(to EndpointID)
	// WatchList subscribes to the server list; Balancer.UpdateEndpoints brings changes.
	WatchEndpoints()
	// Tell sends news to all other balancers; it may be lost. Balancer.ReceiveGossip brings theirs.
	Broadcast(n GossipMessage)
	// Log writes a line for the people on call.
	Log(line string)
}

// Counters tell what a Balancer did since it was made.
type Counters struct {
	RoundRobinSends    uint64 // first sends by the ordinary path: a slot, and the server whose turn it was
	DivertedSends      uint64 // sends moved on because a server held its portion
	ConcurrencyLimited uint64 // times that a request with a slot free was held back, as all servers were crowded
	Shed               uint64 // requests refused at once, as too few were lately answered in time
	CrossZoneSends     uint64 // sends of any kind to another zone, where that has a price
	Retries            uint64 // further attempts after one that failed
	ExpiredRetries     uint64 // clients' later tries refused as their aim was gone
	Queued             uint64 // requests that had to wait for a slot or a server
	GossipSent         uint64 // times that it told the other balancers news
	GossipReceived     uint64 // news of theirs that it took
	GossipDropped      uint64 // and that it dropped: stale, out of order, or such as can't be
	Rejected           uint64
	Failed             uint64
}
