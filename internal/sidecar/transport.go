package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cranehatch/internal/simprotocol"
	"cranehatch/policy"
)

const (
	maxBodyBytes        = 64 << 10  // bytes of a body, either way
	maxResponseBytes    = 512 << 10 // bytes of a whole answer on the wire, headers and framing included
	maxInterimResponses = 8         // 1xx answers that are read over before the one that counts
	idleTimeoutMargin   = time.Second
	minConnIdle         = 10 * time.Millisecond // see take
)

// outboundRequest is a request as it goes on to an upstream, but for its time-out.
type outboundRequest struct {
	method       string
	uri          string // as the client sent it
	host         string
	header       http.Header // end-to-end ones; not changed any more
	body         []byte
	clientClosed func() bool // tells whether its client has closed its connection; nil: nobody knows
}

// newOutboundRequest is the request of a client that was read in full.
func newOutboundRequest(r *http.Request, body []byte, clientClosed func() bool) *outboundRequest {
	return &outboundRequest{
		method:       r.Method,
		uri:          r.RequestURI,
		host:         r.Host,
		header:       endToEnd(r.Header),
		body:         body,
		clientClosed: clientClosed,
	}
}

// abandoned tells whether nobody waits for the answer any more.
func (m *outboundRequest) abandoned() bool { return m.clientClosed != nil && m.clientClosed() }

// attemptResult is how an attempt ended.
type attemptResult struct {
	outcome policy.Result
	header  http.Header
	body    []byte
	report  policy.LoadReport
}

// transport carries attempts and probes to the servers, over connections that it keeps. It is not
// http.Transport because that sends again by itself when a kept connection breaks: an attempt that
// nobody decided on.
type transport struct {
	clock        clock
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	dialTimeout  time.Duration
	idleTimeout  time.Duration // connections idle for longer are not used again
	minIdle      time.Duration // connections rest so long after an answer
	maxConns     int           // connections at most
	reportFields []string
	columns      simprotocol.Columns
	healthPath   string

	mu        sync.Mutex
	idle      map[*endpoint][]*conn   // the most recently used last
	unwritten map[*exchange]*endpoint // attempts that nothing is written of yet
	open      int                     // idle, in use or being opened
	sweeper   *time.Timer             // set while there are idle ones
	dialed    int
	stale     int // idle ones found closed by their server, or with bytes left over
}

// endpoint is a server at an address. One that comes to a gone one's address is another host: connections
// to the old one are not its own.
type endpoint struct {
	address string
	removed bool // no longer listed: connections to it are not kept. Under upstream's lock.
}

// conn is a connection to a server; it carries one exchange at a time.
type conn struct {
	net.Conn
	reader        *bufio.Reader
	responseLimit io.LimitedReader // what may still be read for this answer
	idleSince     time.Duration
}

func newTransport(cfg *Config, c clock) *transport {
	u := &transport{
		clock: c,
		// Keep-alive is no use against a silent machine; the time-outs are.
		dial:        (&net.Dialer{KeepAlive: -1}).DialContext,
		dialTimeout: cfg.DialTimeout, reportFields: cfg.ReportFields, columns: cfg.ReportFormat,
		// Well before the server closes it: a request written from then on would end as a reset.
		idleTimeout: cfg.ServerIdleTimeout - min(idleTimeoutMargin, cfg.ServerIdleTimeout/4),
		minIdle:     minConnIdle,
		maxConns:    cfg.maxServerConns(),
		healthPath:  "/alive",
		idle:        make(map[*endpoint][]*conn),
		unwritten:   make(map[*exchange]*endpoint),
	}
	if cfg.Policy.ReportFields != 0 {
		u.healthPath = "/metrics/load"
	}
	return u
}

// exchange is one attempt or probe under way.
type exchange struct {
	mu        sync.Mutex
	abandoned bool          // it is given up
	outcome   policy.Result // and ends so
	written   bool          // some of its request may be on the way
	stop      func()        // ends what it is at: dialling, or its connection
}

// cancel gives the exchange up. If its request is not yet on the way, it will not be sent.
func (x *exchange) cancel() { x.abandon(policy.Cancelled, false) }

// withhold gives the exchange up if nothing of its request is on the way yet.
func (x *exchange) withhold(ending policy.Result) { x.abandon(ending, true) }

func (x *exchange) abandon(ending policy.Result, unwritten bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if unwritten && x.written {
		return
	}
	if !x.abandoned {
		x.abandoned, x.outcome = true, ending
	}
	if x.stop != nil {
		x.stop()
	}
}

// begin enters what cancel has to end from now on, and whether the request goes on its way. It returns
// false if the exchange is given up already, and then enters nothing: a second cancel must not close a
// connection that has gone back to the pool and may serve another exchange by then.
func (x *exchange) begin(writes bool, stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned {
		return false
	}
	x.written, x.stop = x.written || writes, stop
	return true
}

func (x *exchange) abandonedAs() (policy.Result, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.outcome, x.abandoned
}

// send starts an attempt that is given up at until, and whose request is on the way before by (0: until), or never.
// Its end goes to done, once.
func (u *transport) send(to *endpoint, m *outboundRequest, until, by time.Duration, done func(attemptResult)) *exchange {
	if by == 0 {
		by = until
	}
	x := new(exchange)
	u.mu.Lock()
	u.unwritten[x] = to // from now on: retire may come before it has got anywhere
	u.mu.Unlock()
	go func() {
		res, body, ending := u.exchange(x, to, m, by, until)
		u.requestWritten(x) // also where it came to nothing
		if res == nil {
			done(attemptResult{outcome: ending})
			return
		}
		out := attemptResult{outcome: policy.ServerError, report: u.parseReport(res.Header.Get("X-Server-Load"))}
		switch never := res.Header.Get("X-Not-Processed") == "1"; {
		case res.StatusCode == http.StatusOK:
			out.outcome, out.header, out.body = policy.Succeeded, res.Header, body
		case never && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout):
			out.outcome = policy.Rejected
		}
		done(out)
	}()
	return x
}

// requestWritten takes that an attempt's request goes on its way.
func (u *transport) requestWritten(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.unwritten, x)
}

// stopUnwritten takes that nothing new may go to a host, which drains or is no longer listed. Attempts that have come no
// further than to dial there could yet be written long after the news: they end as not sent, and may go elsewhere.
func (u *transport) stopUnwritten(to *endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for x, at := range u.unwritten {
		if at == to {
			x.withhold(policy.NotSent)
		}
	}
}

// healthCheck asks a server for its load report. The result goes to told, once.
func (u *transport) healthCheck(to *endpoint, now time.Duration, told func(ok bool, load policy.LoadReport)) {
	go func() {
		m := &outboundRequest{method: http.MethodGet, uri: u.healthPath, host: to.address}
		until := now + u.dialTimeout
		res, body, _ := u.exchange(new(exchange), to, m, until, until)
		if res == nil {
			told(false, policy.LoadReport{})
			return
		}
		told(res.StatusCode == http.StatusOK, u.parseReport(string(body)))
	}()
}

// encode is the request as it is written, told how long its answer is waited for. A client's headers
// have been read by net/http, so none holds what would end it early.
func (m *outboundRequest) encode(left time.Duration) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(m.body))
	line := func(name, value string) { out.WriteString(name + ": " + value + "\r\n") }
	out.WriteString(m.method + " " + m.uri + " HTTP/1.1\r\n")
	line("Host", m.host)
	if m.header.Get("X-Request-ID") != "" {
		line("X-Timeout", strconv.FormatInt(max(1, left.Milliseconds()), 10)+"m")
	}
	for name, values := range m.header {
		for _, value := range values {
			if name != "X-Timeout" {
				line(name, value)
			}
		}
	}
	if m.method != http.MethodGet {
		line("Content-Length", strconv.Itoa(len(m.body)))
	}
	out.WriteString("\r\n")
	out.Write(m.body)
	return out.Bytes()
}

// exchange sends a request and reads its answer. Without a whole answer the ending says what is
// known: NoConnection until the last byte of the request is written, as it cannot have run before.
func (u *transport) exchange(x *exchange, to *endpoint, m *outboundRequest, by, until time.Duration) (*http.Response, []byte, policy.Result) {
	unsent := func(err error) policy.Result {
		ending, over := x.abandonedAs()
		switch {
		case over:
			return ending
		case errors.Is(err, errConnLimit), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			return policy.NotSent // our own lack: no word on the server
		case by < until && u.clock.now() >= by:
			return policy.NotSent // nor was it waited for as long as usual
		}
		return policy.ConnectFailed
	}
	// The word of a client's leaving may be long in coming, where CPU is short and much is under way: what is about
	// to be dialled or written looks for itself.
	if m.abandoned() {
		x.withhold(policy.NotSent)
		return nil, nil, unsent(nil)
	}
	c, err := u.connect(x, to, by)
	if err != nil {
		return nil, nil, unsent(err)
	}
	if m.abandoned() || u.clock.now() >= by { // a connection that was late in coming up: see policy.Host
		x.withhold(policy.NotSent)
	}
	if !x.begin(true, func() { c.Conn.Close() }) { // given up in the meantime: nothing may go out any more
		u.putIdle(to, c)
		return nil, nil, unsent(nil)
	}
	u.requestWritten(x)
	begun := u.clock.now()
	_ = c.SetDeadline(u.clock.at(until)) // fails only on a closed connection, as the write then does
	// One write: it tells whether the last byte went out.
	if _, err := c.Write(m.encode(until - begun)); err != nil {
		u.discard(c)
		return nil, nil, unsent(err)
	}
	res, body, err := c.readResponse(m.method)
	switch {
	case err == nil && !res.Close && c.reader.Buffered() == 0 && x.begin(true, nil):
		u.putIdle(to, c)
	default: // broken, to be closed, with bytes left over behind the answer, or given up
		u.discard(c)
	}
	if err == nil {
		return res, body, policy.Succeeded
	}
	var timeout net.Error
	ending, over := x.abandonedAs()
	switch {
	case over:
		return nil, nil, ending
	case errors.As(err, &timeout) && timeout.Timeout():
		if u.clock.now()-begun >= u.dialTimeout { // a shorter wait tells nothing of the machine
			u.closeIdleBefore(to, begun)
		}
		return nil, nil, policy.TimedOut
	}
	return nil, nil, policy.ConnectionLost // or malformed: it may have run
}

var (
	errBodyTooLong = errors.New("the body is too long")
	errConnLimit   = errors.New("no descriptor is left for a connection")
)

// readResponse reads one whole answer.
func (c *conn) readResponse(method string) (*http.Response, []byte, error) {
	c.responseLimit.N = maxResponseBytes
	req := &http.Request{Method: method} // tells whether the answer has a body
	for range maxInterimResponses {
		res, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, nil, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		switch {
		case res.ContentLength > maxBodyBytes:
			return nil, nil, errBodyTooLong // known before any of it is read
		case res.ContentLength >= 0:
			body := make([]byte, res.ContentLength)
			_, err := io.ReadFull(res.Body, body)
			return res, body, err
		case len(res.TransferEncoding) == 0:
			// It would end with the connection: nothing tells a whole one from a cut one, and servers
			// keep their connections.
			return nil, nil, errors.New("the answer has neither a length nor chunks")
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
		if err == nil && len(body) > maxBodyBytes {
			err = errBodyTooLong
		}
		return res, body, err
	}
	return nil, nil, errors.New("too many interim answers")
}

// connect returns a kept connection that still stands, or opens one that is up before by.
func (u *transport) connect(x *exchange, to *endpoint, by time.Duration) (*conn, error) {
	for {
		c, err := u.takeIdle(to)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if connAlive(c.Conn) {
			return c, nil
		}
		u.mu.Lock()
		u.stale++
		u.mu.Unlock()
		u.discard(c)
	}
	limit := min(u.dialTimeout, by-u.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if !x.begin(false, cancel) {
		cancel()
	}
	raw, err := u.dial(ctx, "tcp", to.address)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw}
	c.responseLimit.R = raw
	c.reader = bufio.NewReader(&c.responseLimit)
	return c, nil
}

// takeIdle returns the idle connection that has rested longest, or nil once it has counted a new one that
// is to be opened. An answer may bring more than belongs to it, a second copy even, and nothing in it tells
// whose it is: on a connection that is used again at once it would be read as the next request's answer.
// So may a server close right after an answer, and a request that crosses this may have run. What has come
// while the connection rested is found by standing: so it rests for settle at least, and the longest
// rested goes first. At the limit an idle connection to another server makes room.
func (u *transport) takeIdle(to *endpoint) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.now()
	for list := u.idle[to]; len(list) > 0 && now-list[0].idleSince >= u.minIdle; list = u.idle[to] {
		c := list[0]
		if now-c.idleSince >= u.idleTimeout {
			u.closeIdleConns(to, 1)
			continue
		}
		u.idle[to] = slices.Delete(list, 0, 1)
		return c, nil
	}
	if u.open >= u.maxConns {
		var oldest *endpoint
		since := time.Duration(math.MaxInt64)
		for h, list := range u.idle {
			if len(list) > 0 && list[0].idleSince < since {
				oldest, since = h, list[0].idleSince
			}
		}
		if oldest == nil {
			return nil, errConnLimit
		}
		u.closeIdleConns(oldest, 1)
	}
	u.open++
	u.dialed++
	return nil, nil
}

// closeIdleConns closes the first n idle connections to a host. The caller holds the lock.
func (u *transport) closeIdleConns(to *endpoint, n int) {
	list := u.idle[to]
	for _, c := range list[:n] {
		c.Conn.Close()
	}
	u.open -= n
	if rest := slices.Delete(list, 0, n); len(rest) > 0 { // in place: nothing closed stays referred to
		u.idle[to] = rest
	} else {
		delete(u.idle, to)
	}
}

// putIdle puts a connection back.
func (u *transport) putIdle(to *endpoint, c *conn) {
	_ = c.SetDeadline(time.Time{}) // a closed one is found out before it is used
	u.mu.Lock()
	defer u.mu.Unlock()
	if to.removed { // it was in use when its server left the list
		c.Conn.Close()
		u.open--
		return
	}
	c.idleSince = u.clock.now()
	u.idle[to] = append(u.idle[to], c)
	if u.sweeper == nil {
		u.sweeper = time.AfterFunc(u.idleTimeout, u.closeExpired)
	}
}

// closeIdleBefore closes the idle connections to a host that were last used before a time since when it has
// let an attempt run into its time-out: a machine that is cut off says nothing on them either, and
// what is written there may have run. A new one tells at once whether the machine is there. One that
// is only slow keeps those that it has answered on since.
func (u *transport) closeIdleBefore(to *endpoint, since time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[to]
	n := 0
	for n < len(list) && list[n].idleSince < since {
		n++
	}
	u.closeIdleConns(to, n)
}

// closeExpired closes the connections that have been idle for too long.
func (u *transport) closeExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, next := u.clock.now(), time.Duration(math.MaxInt64)
	for to, list := range u.idle {
		old := 0
		for old < len(list) && now-list[old].idleSince >= u.idleTimeout {
			old++
		}
		if old < len(list) {
			next = min(next, list[old].idleSince+u.idleTimeout-now)
		}
		u.closeIdleConns(to, old)
	}
	u.sweeper = nil
	if len(u.idle) > 0 {
		u.sweeper = time.AfterFunc(next, u.closeExpired)
	}
}

// closeIdle closes the idle connections to a host.
func (u *transport) closeIdle(to *endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeIdleConns(to, len(u.idle[to]))
}

// remove takes that a host is no longer listed.
func (u *transport) remove(to *endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	to.removed = true
	u.closeIdleConns(to, len(u.idle[to]))
}

func (u *transport) discard(c *conn) {
	c.Conn.Close()
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// connAlive tells whether an idle connection still stands: the other side has neither closed or reset it (a server
// does at its idle time-out, when it drains, when it restarts) nor sent what nobody asked for.
func connAlive(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true // nothing is known
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	stands := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		stands = err == syscall.EAGAIN
		return true // never wait
	})
	return err == nil && stands
}

// counters are for the log.
func (u *transport) counters() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return map[string]int{"open": u.open, "dialled": u.dialed, "stale": u.stale}
}

// parseReport reads a report of the form "TEXT name=value, name=value".
func (u *transport) parseReport(report string) policy.LoadReport {
	report, ok := strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	if !ok {
		return policy.LoadReport{}
	}
	values := simprotocol.Report{N: min(len(u.reportFields), len(simprotocol.Report{}.Values))}
	for i := range values.N {
		values.Values[i] = float32(math.NaN()) // absent
	}
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i := range values.N {
			if u.reportFields[i] == name {
				if v, err := strconv.ParseFloat(value, 32); err == nil {
					values.Values[i] = float32(v)
				}
			}
		}
	}
	return u.columns.Load(values)
}
