package sidecar

import (
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	idleTimeoutMargin = time.Second
	minConnIdle       = 10 * time.Millisecond // see acquire
)

// endpoint is a server at an address. A server that appears at the address of a removed one is another
// endpoint: it inherits no connection, as those lead to the old server.
type endpoint struct {
	address string
	removed bool // no longer listed: connections to it are not pooled; under the pool's lock
}

// connPool holds the idle connections to servers and limits how many connections are open in all. Its methods
// may be called by any goroutine. Those whose names end in Locked need the lock to be held.
type connPool struct {
	clock       clock
	idleTimeout time.Duration // connections idle for longer are not used again
	minIdle     time.Duration // connections are not used again before this
	maxConns    int           // connections open at once

	mu      sync.Mutex
	idle    map[*endpoint][]*conn // the most recently used last
	open    int                   // idle, in use or being dialled
	sweeper *time.Timer           // runs closeExpired; nil while there is nothing to expire
	dialed  int                   // connections dialled since the start
	stale   int                   // idle connections since the start that had been closed, or held unrequested bytes
}

func newConnPool(cfg *Config, c clock) *connPool {
	return &connPool{
		clock: c,
		// Well before the server closes the connection: a request that crosses the close ends in a reset.
		idleTimeout: cfg.ServerIdleTimeout - min(idleTimeoutMargin, cfg.ServerIdleTimeout/4),
		minIdle:     minConnIdle,
		maxConns:    cfg.maxServerConns(),
		idle:        make(map[*endpoint][]*conn),
	}
}

// acquire returns the connection to a server that has been idle for longest. If there is none it returns nil,
// with one more counted as open: the caller must dial it, or call unreserve. At the limit it closes an idle
// connection to another server, and returns errConnLimit where there is none.
//
// Two failures are the reason for taking the longest idle one, and none that was idle for less than minIdle:
// a server may send more than belongs to a response, even a second copy of it, and nothing in those bytes
// says which request they answer. On a connection that is used again at once they would be read as the next
// response. And a server may close the connection right after a response: a request that crosses the close
// may or may not have run. What has arrived while the connection was idle is found by connAlive.
func (p *connPool) acquire(to *endpoint) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.popIdleLocked(to); c != nil {
		return c, nil
	}
	return nil, p.reserveLocked()
}

// popIdleLocked takes out the connection that has been idle for longest, and closes expired ones on the way.
func (p *connPool) popIdleLocked(to *endpoint) *conn {
	now := p.clock.now()
	for {
		conns := p.idle[to]
		if len(conns) == 0 || now-conns[0].idleSince < p.minIdle {
			return nil
		}
		c := conns[0]
		if now-c.idleSince < p.idleTimeout {
			p.idle[to] = slices.Delete(conns, 0, 1)
			return c
		}
		p.closeOldestLocked(to, 1)
	}
}

// reserveLocked counts a connection that is about to be dialled.
func (p *connPool) reserveLocked() error {
	if p.open >= p.maxConns {
		oldest := p.oldestIdleLocked()
		if oldest == nil {
			return errConnLimit
		}
		p.closeOldestLocked(oldest, 1)
	}
	p.open++
	p.dialed++
	return nil
}

// oldestIdleLocked returns the server with the connection that has been idle for longest, nil if none is idle.
func (p *connPool) oldestIdleLocked() *endpoint {
	var oldest *endpoint
	since := time.Duration(math.MaxInt64)
	for to, conns := range p.idle {
		if len(conns) > 0 && conns[0].idleSince < since {
			oldest, since = to, conns[0].idleSince
		}
	}
	return oldest
}

// unreserve takes back the count of a connection that acquire reserved and that was not opened.
func (p *connPool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// putIdle returns a connection to the pool, or closes it if its server was removed while it was in use.
func (p *connPool) putIdle(to *endpoint, c *conn) {
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, which connAlive finds
	p.mu.Lock()
	defer p.mu.Unlock()
	if to.removed {
		c.Conn.Close()
		p.open--
		return
	}
	c.idleSince = p.clock.now()
	p.idle[to] = append(p.idle[to], c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.idleTimeout, p.closeExpired)
	}
}

// discard closes a connection that was acquired.
func (p *connPool) discard(c *conn) {
	c.Conn.Close()
	p.unreserve()
}

// discardStale closes a connection that was acquired and turned out not to be alive.
func (p *connPool) discardStale(c *conn) {
	p.mu.Lock()
	p.stale++
	p.mu.Unlock()
	p.discard(c)
}

// closeOldestLocked closes the n connections to a server that have been idle for longest.
func (p *connPool) closeOldestLocked(to *endpoint, n int) {
	conns := p.idle[to]
	for _, c := range conns[:n] {
		c.Conn.Close()
	}
	p.open -= n
	rest := slices.Delete(conns, 0, n) // clears the slots behind, so that closed connections can be freed
	if len(rest) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = rest
}

// closeIdleBefore closes the connections to a server that have been idle since before a moment. It is called
// when an attempt that began at that moment has timed out.
//
// A machine that is cut off from the network is silent on all connections, and what is written on them may
// have run. A new connection shows at once whether the machine can be reached. A server that is merely slow
// keeps the connections on which it has responded since.
func (p *connPool) closeIdleBefore(to *endpoint, moment time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[to]
	n := 0
	for n < len(conns) && conns[n].idleSince < moment {
		n++
	}
	p.closeOldestLocked(to, n)
}

// closeExpired closes the connections that have been idle for too long, and has the sweeper run again when the
// next one expires.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, next := p.clock.now(), time.Duration(math.MaxInt64)
	for to, conns := range p.idle {
		expired := 0
		for expired < len(conns) && now-conns[expired].idleSince >= p.idleTimeout {
			expired++
		}
		if expired < len(conns) {
			next = min(next, conns[expired].idleSince+p.idleTimeout-now)
		}
		p.closeOldestLocked(to, expired)
	}
	p.sweeper = nil
	if len(p.idle) > 0 {
		p.sweeper = time.AfterFunc(next, p.closeExpired)
	}
}

// closeIdle closes the idle connections to a server.
func (p *connPool) closeIdle(to *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOldestLocked(to, len(p.idle[to]))
}

// remove is called when a server is no longer listed. Connections to it are closed, those in use when their
// exchange is over.
func (p *connPool) remove(to *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.removed = true
	p.closeOldestLocked(to, len(p.idle[to]))
}

// counters returns the pool's counters for the log.
func (p *connPool) counters() slog.Value {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slog.GroupValue(
		slog.Int("open_connections", p.open),
		slog.Int("dialed_connections", p.dialed),
		slog.Int("stale_connections", p.stale),
	)
}
