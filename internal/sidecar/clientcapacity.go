package sidecar

import "time"

// minClientIdle is how long a connection must have been idle before it may be closed to admit another one.
// With a longer time, clients that open a new connection for each request and leave the old ones open would
// delay all others.
const minClientIdle = 100 * time.Millisecond

// waitForCapacity waits until one more connection may be open. It returns false once the acceptor is closed.
func (a *acceptor) waitForCapacity() bool {
	for {
		retryAfter, ok := a.makeCapacity()
		if ok {
			return true
		}
		select {
		case <-a.capacityFreed:
		case <-time.After(retryAfter):
		case <-a.closed:
			return false
		}
	}
}

// makeCapacity reports whether one more connection may be open, closing another connection if necessary. If
// not, it returns the time to wait before the next try, unless capacityFreed has an item earlier.
func (a *acceptor) makeCapacity() (retryAfter time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.openConns < a.maxConns {
		return 0, true
	}
	if next := a.closingConns.Front(); next != nil {
		a.closeForCapacity(next.Value.(*clientConn))
		return 0, true
	}
	if retryAfter, ok = a.closeIdle(); ok {
		return 0, true
	}
	return min(retryAfter, a.evictStalled()), false
}

// closeIdle closes the connection that has been idle longest, if it has been idle for long enough. Otherwise it
// returns the time until it may be closed. A connection on which a request has arrived is not idle, although its
// goroutine may not have read it yet while the process is short of CPU time. The caller holds the lock.
func (a *acceptor) closeIdle() (retryAfter time.Duration, ok bool) {
	for range a.idleConns.Len() {
		longestIdle := a.idleConns.Front()
		c := longestIdle.Value.(*clientConn)
		if retryAfter = minClientIdle - time.Since(c.idleSince); retryAfter > 0 {
			return retryAfter, false
		}
		if !c.hasUnreadBytes() {
			a.evictedIdle++
			a.closeForCapacity(c)
			return 0, true
		}
		c.idleSince = time.Now()
		a.idleConns.MoveToBack(longestIdle)
	}
	return minClientIdle, false
}

// closeForCapacity closes a connection at once to admit another one. The caller holds the lock.
func (a *acceptor) closeForCapacity(c *clientConn) {
	a.release(c)
	c.Conn.Close()
}

// notifyCapacityFreed makes waitForCapacity check again.
func (a *acceptor) notifyCapacityFreed() {
	select {
	case a.capacityFreed <- struct{}{}:
	default:
	}
}

// evictStalled evicts connections with an incomplete request whose time has come, up to an eighth of the limit: each
// is closed by its own goroutine, and while the process is short of CPU time that takes too long for one after the
// other. It returns the time until the next one may be evicted, at most maxReceiveAtLimit. The caller holds the lock.
func (a *acceptor) evictStalled() (retryAfter time.Duration) {
	var stalled []*clientConn
	retryAfter = maxReceiveAtLimit
	for element := a.receivingConns.Front(); element != nil && len(stalled) <= a.maxConns/8; element = element.Next() {
		c := element.Value.(*clientConn)
		if wait := time.Until(c.receiving.evictableAt()); wait > 0 {
			retryAfter = min(retryAfter, wait)
		} else {
			stalled = append(stalled, c)
		}
	}
	for _, c := range stalled {
		c.evict()
	}
	return retryAfter
}
