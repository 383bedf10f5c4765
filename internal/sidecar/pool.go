package sidecar

import (
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// idleTimeoutMargin is the most by which the pool's idle timeout is shorter than the server's.
	idleTimeoutMargin = time.Second
	// minConnIdle is how long a connection must have been idle before it is reused: see acquire. A second copy of
	// a response may be some milliseconds late, and come over a link with jitter.
	minConnIdle = 25 * time.Millisecond
	// minConnIdleAfterCopy is that time once bytes have arrived on an idle connection. Servers of one service
	// run the same program, so it then applies to all of them.
	minConnIdleAfterCopy = 50 * time.Millisecond
)

// endpoint is one process of a server at an address. A server that appears at the address of a removed one, and a
// server that has started again, is a new endpoint and inherits no connections, as those lead to the old process.
type endpoint struct {
	address   string
	startedAt time.Duration // 0: long ago
	removed   bool          // no longer listed, so connections to it are not pooled; guarded by the pool's lock
}

// connPool holds the idle connections to servers and limits the total number of open connections. Its methods
// are safe for concurrent use, except that those whose names end in Locked require mu to be held.
type connPool struct {
	clock       clock
	idleTimeout time.Duration // connections that were idle for this long are not reused
	minIdle     time.Duration // connections that were idle for less are not reused yet
	maxConns    int           // limit on open connections

	mu          sync.Mutex
	idle        map[*endpoint][]*conn // each server's idle connections, the most recently used last
	openConns   int                   // connections that are idle, in use or being dialed
	sweeper     *time.Timer           // runs closeExpired; nil while no sweep is scheduled
	dialedConns int                   // dials begun since the start, including failed ones
	staleConns  int                   // idle connections found closed or with unrequested bytes since the start
}

func newConnPool(cfg *Config, clk clock) *connPool {
	return &connPool{
		clock: clk,
		// Well before the server closes the connection: a request that is sent as the server closes it ends
		// in a reset.
		idleTimeout: cfg.ServerIdleTimeout - min(idleTimeoutMargin, cfg.ServerIdleTimeout/4),
		minIdle:     minConnIdle,
		maxConns:    cfg.maxServerConns(),
		idle:        make(map[*endpoint][]*conn),
	}
}

// acquire returns the connection to a server that has been idle longest. If none may be reused, it reserves a
// new one, counts it as open and returns nil: the caller must dial it or call unreserve. At the limit on open
// connections it first closes the connection that has been idle longest, of any server, and returns
// errConnLimit if none is idle.
//
// Two failures are the reason for using the connection that has been idle longest, and none that was idle for
// less than minIdle. A server may send bytes after a response, even a second copy of it, and nothing in them
// identifies the request that they answer: on a connection that is reused immediately they would be read as
// the next response. A server may also close the connection right after a response: a request sent at that
// moment may or may not have run. connAlive detects bytes and a close that arrive while the connection is
// idle.
func (p *connPool) acquire(to *endpoint) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.popIdleLocked(to); c != nil {
		return c, nil
	}
	return nil, p.reserveLocked()
}

// popIdleLocked removes and returns the connection to a server that has been idle longest, or returns nil if
// none may be reused. It closes the expired connections that it finds.
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

// reserveLocked counts a connection that is about to be dialed, after closing an idle one if the limit is
// reached.
func (p *connPool) reserveLocked() error {
	if p.openConns >= p.maxConns {
		oldest := p.oldestIdleLocked()
		if oldest == nil {
			return errConnLimit
		}
		p.closeOldestLocked(oldest, 1)
	}
	p.openConns++
	p.dialedConns++
	return nil
}

// oldestIdleLocked returns the server with the connection that has been idle longest, or nil if no connection
// is idle.
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

// unreserve stops counting a connection as open. Callers of acquire use it when their dial has failed.
func (p *connPool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// putIdle returns a connection to the pool, or closes it if its server was removed while it was in use.
func (p *connPool) putIdle(to *endpoint, c *conn) {
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, which connAlive detects
	p.mu.Lock()
	defer p.mu.Unlock()
	if to.removed {
		c.Conn.Close()
		p.openConns--
		return
	}
	c.idleSince = p.clock.now()
	p.idle[to] = append(p.idle[to], c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.idleTimeout, p.closeExpired)
	}
}

// discard closes a connection that was acquired or dialed.
func (p *connPool) discard(c *conn) {
	c.Conn.Close()
	p.unreserve()
}

// discardStale closes an acquired connection that may not be used, and counts it as stale. If that is because its
// server has sent bytes on it, connections have to be idle for longer from now on: what has come late once may come
// later the next time.
func (p *connPool) discardStale(c *conn, state connState) {
	p.mu.Lock()
	p.staleConns++
	if state == connHasBytes {
		p.minIdle = max(p.minIdle, minConnIdleAfterCopy)
	}
	p.mu.Unlock()
	p.discard(c)
}

// closeOldestLocked closes the n connections to a server that have been idle longest.
func (p *connPool) closeOldestLocked(to *endpoint, n int) {
	conns := p.idle[to]
	for _, c := range conns[:n] {
		c.Conn.Close()
	}
	p.openConns -= n
	rest := slices.Delete(conns, 0, n) // zeroes the vacated elements, so that closed connections can be freed
	if len(rest) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = rest
}

// closeIdleBefore closes the connections to a server that have been idle since before cutoff. It is called
// when an attempt that was written at cutoff has timed out.
//
// A machine that is cut off from the network responds on no connection, and each request written on one would
// count as possibly run. Dialing a new connection shows, before anything is written, whether the machine can
// be reached. A server that is merely slow keeps the connections on which it has responded since cutoff.
func (p *connPool) closeIdleBefore(to *endpoint, cutoff time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[to]
	n := 0
	for n < len(conns) && conns[n].idleSince < cutoff {
		n++
	}
	p.closeOldestLocked(to, n)
}

// closeExpired closes the connections that have been idle for idleTimeout, and schedules the next sweep for
// when the next one expires.
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

// remove is called when a server is no longer listed. It closes the idle connections to the server; those in
// use are closed when their exchange ends.
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
		slog.Int("open_connections", p.openConns),
		slog.Int("dialed_connections", p.dialedConns),
		slog.Int("stale_connections", p.staleConns),
	)
}
