package soak

import (
	"sync"
	"time"
)

// attempt is a request as a server read it.
type attempt struct {
	server   int
	id       string
	class    string
	begun    time.Time     // its first byte had come
	complete time.Time     // its last byte had come
	timeout  time.Duration // that it told the server
	mayRun   bool          // it was not answered that it has not run
	body     string        // of the response made for it; empty: none
}

// clientRequest is a request as its client sent it.
type clientRequest struct {
	id           string
	class        string
	behind       *clientRequest // on its connection (pipelined), open when this one was sent; nil: none
	conn         int            // number of its connection
	idle         time.Duration  // no request had been open on its connection for so long
	sent         time.Time      // its last byte was written
	timeout      time.Duration  // of the client, from sent on
	disconnected time.Time      // the client closed its connection; zero: it waited
	ended        time.Time      // the response was complete, or the connection ended; zero: not at the run's end
	status       int            // 0: no response
	body         string
	failure      string // how the connection ended without a whole response
	answered     bool   // a whole response came
}

// withdrawal is a time in which a server is to get nothing new.
type withdrawal struct {
	server   int
	from     time.Time // discovery had the change
	notified time.Time // discovery wrote it to the sidecar; zero: not yet
	forced   time.Time // from here on it counts as notified; zero: discovery has not been in reach for so long
	until    time.Time // the server is back; zero: not within the run
}

// listCall is a call for the endpoint list, as a discovery read it.
type listCall struct {
	discovery int
	at        time.Time
	query     string
}

// move is a new configuration that names another discovery.
type move struct {
	to int
	at time.Time
}

// slowStart is a start of a server that the settings give a slow start.
type slowStart struct {
	server   int
	at       time.Time
	notified time.Time // discovery wrote it to the sidecar; zero: not yet
}

// stalledClient is a client that stopped in the middle of a request.
type stalledClient struct {
	opened time.Time
	waited time.Duration // for a response, or the end of its connection
}

// usage is what the process held at a moment.
type usage struct {
	descriptors int
	memoryKB    int
}

// journal is what the stand-ins of one run have seen. Its methods may be called from any goroutine.
type journal struct {
	mu          sync.Mutex
	attempts    []*attempt
	requests    []*clientRequest
	withdrawals []*withdrawal
	calls       []listCall
	moves       []move
	slowStarts  []*slowStart
	stalls      []stalledClient
	peak        usage

	started   time.Time // of the process
	ready     time.Time // it answered that it is
	stopped   time.Time // SIGTERM
	killed    time.Time // SIGKILL; zero: it had ended before
	exited    time.Time
	exitError error         // nil: status 0
	suspended time.Duration // by SIGSTOP, in all
	cpuTime   time.Duration // that the process has used
	impaired  []interval    // in which less than half of the servers were well, or other faults excuse a low share
	log       string
}

// interval is a part of a run.
type interval struct{ from, to time.Time }

func (j *journal) addAttempt(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, a)
}

// answer enters the response that a server makes for an attempt.
func (j *journal) answer(a *attempt, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.body = body
}

// neverRan enters that a server says so of an attempt.
func (j *journal) neverRan(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.mayRun = false
}

func (j *journal) addRequest(r *clientRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests = append(j.requests, r)
}

// update changes what was entered before.
func (j *journal) update(change func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change()
}

func (j *journal) addCall(c listCall) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}
