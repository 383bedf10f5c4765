package soak

import (
	"sync"
	"time"
)

// attempt is an attempt of a request as the server's stand-in received it.
type attempt struct {
	server       int    // index of the server
	id           string // of the request
	class        string
	startedAt    time.Time     // when its first byte arrived
	readAt       time.Time     // when its last byte arrived
	timeout      time.Duration // from its X-Timeout header
	mayHaveRun   bool          // false if the server answered that the request did not run
	responseBody string        // body that the server sent in response; empty: none
	noLength     bool          // the response had no length and ended with the connection
}

// clientRequest is a request as its client sent it.
type clientRequest struct {
	id             string
	class          string
	previous       *clientRequest // pipelined request before this one, open when this one was sent; nil: none
	connection     int            // number of its connection
	idleBefore     time.Duration  // how long its connection had no open request before this one was sent
	sentAt         time.Time      // when its last byte was written
	timeout        time.Duration  // of the client, counted from sentAt
	disconnectedAt time.Time      // when the client closed the connection early; zero: it waited for the response
	endedAt        time.Time      // when the response was complete or the connection closed; zero: not in this run
	status         int            // zero: no response
	responseBody   string
	failure        string // error with which the connection ended before a complete response
	answered       bool   // whether a complete response came
}

// withdrawal is a period in which a server may get no new attempts.
type withdrawal struct {
	server         int
	withdrawnAt    time.Time // when the endpoint list changed
	notifiedAt     time.Time // when discovery wrote the change to the sidecar; zero: not yet
	notifyDeadline time.Time // when it counts as notified even if it was not written; zero: not within the run
	returnedAt     time.Time // when the server was listed as ready again; zero: not within the run
}

// listCall is a call for the endpoint list, as a discovery received it.
type listCall struct {
	discovery int // index of the discovery
	at        time.Time
	query     string
}

// discoveryChange is a change of the configuration that names another discovery.
type discoveryChange struct {
	to int // index of the discovery that the sidecar follows from then on
	at time.Time
}

// slowStart is a start of a server, for which the settings may require a slow start.
type slowStart struct {
	server     int
	at         time.Time // when the server was listed as ready again
	notifiedAt time.Time // when discovery wrote the start to the sidecar; zero: not yet
}

// stalledClient is a connection of a client that stopped sending in the middle of a request.
type stalledClient struct {
	connectedAt time.Time
	waited      time.Duration // until a response came or the connection was closed
}

// resourceUsage is the maximum resource usage of the process in a run.
type resourceUsage struct {
	descriptors int // open descriptors
	memoryKB    int // resident memory
}

// journal records what the stand-ins observe in one run. Its methods are safe for concurrent use.
type journal struct {
	mu               sync.Mutex
	attempts         []*attempt
	requests         []*clientRequest
	withdrawals      []*withdrawal
	listCalls        []listCall
	discoveryChanges []discoveryChange
	slowStarts       []*slowStart
	stalledClients   []stalledClient
	peakUsage        resourceUsage

	startedAt    time.Time // when the process was started
	readyAt      time.Time // when the sidecar first answered that it is ready
	terminatedAt time.Time // when SIGTERM was sent
	killedAt     time.Time // when SIGKILL was sent; zero: the process had exited before
	exitedAt     time.Time
	exitError    error         // nil: status 0
	suspended    time.Duration // total time for which SIGSTOP suspended the process
	cpuTime      time.Duration // used by the process

	// Times in which faults excuse a low served fraction: less than half of the servers were healthy or discovery
	// was not reachable, at that time or less than recoveryGrace earlier.
	impaired []interval
	log      string // of the sidecar
}

// interval is a period within a run.
type interval struct{ from, to time.Time }

func (j *journal) addAttempt(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, a)
}

// recordResponse records the body of the response that a server is about to send for an attempt.
func (j *journal) recordResponse(a *attempt, responseBody string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.responseBody = responseBody
}

// recordNoLength records that a server sends its response without a length.
func (j *journal) recordNoLength(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.noLength = true
}

// recordNotProcessed records that a server answers that an attempt did not run.
func (j *journal) recordNotProcessed(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.mayHaveRun = false
}

func (j *journal) addRequest(r *clientRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, r)
}

// update calls change, which may read and change any part of the journal, with the journal locked.
func (j *journal) update(change func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change()
}

func (j *journal) addListCall(c listCall) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.listCalls = append(j.listCalls, c)
}
