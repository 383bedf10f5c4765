package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	hosts "cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

const (
	watchMost  = 20 * time.Second // how long discovery may hold a watch at most, and half as long at least
	firstWait  = time.Millisecond // and the first call, from a list held since before: that is not to wait
	listTime   = 6 * time.Second  // how long it may take over a call that is not to wait,
	callAgain  = 2 * time.Second  // and after this another is made beside it: see fetch
	callsMost  = 6                // so many are out at most: they take descriptors
	firstRetry = 200 * time.Millisecond
	lastRetry  = 2 * time.Second // with jitter, well under the 6 s after which a drain counts as told
	listLimit  = 8 << 20         // bytes of one answer; far above any real list

	// A watch with no answer so long after its wait is over has fallen silent. What it missed counts as
	// told 2 s after that wait: the rest of these is left for the call that reads it, and its turn at discovery.
	silenceAfter = 500 * time.Millisecond
)

// errSilent is a watch that discovery has not answered.
var errSilent = errors.New("the watch has fallen silent")

// errUnusable is an answer that can't be read.
var errUnusable = errors.New("the answer is unusable")

// listing is one answer of discovery.
type listing struct {
	version int64
	whole   bool
	servers []policy.Endpoint
	address map[policy.EndpointID]string
}

// parseListing reads an answer. One malformed entry makes the whole answer unusable.
func parseListing(raw []byte, zones map[string]int) (listing, error) {
	l, err := hosts.Parse(raw, zones)
	return listing{version: l.Version, whole: l.Complete, servers: l.Endpoints, address: l.Addresses}, err
}

// discovery follows the list of servers and hands what it learns to the loop.
type discovery struct {
	zones  map[string]int
	asked  chan struct{} // where the list must be asked for: the module did
	heard  func(listing)
	failed func()
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	watch     func() time.Duration // how long the next watch may be held
	silence   time.Duration        // and how long its answer may take besides
	again     time.Duration        // a call with no answer for so long is made again
	lastRetry time.Duration        // the longest pause after a failure, where lists are pushed

	version int64 // of the list that is held, at the address that is followed; below 0: none, or not to be trusted

	mu      sync.Mutex
	address string
	moved   context.CancelFunc // ends what is under way with the address before
	idle    net.Conn           // kept for the next call; nil: none is
	idleAt  string             // the address that it is to
}

func newDiscovery(cfg *Config, heard func(listing), failed func()) *discovery {
	d := &discovery{address: cfg.Discovery, zones: cfg.Zones, heard: heard, failed: failed, version: -1,
		watch: watchTime, silence: silenceAfter, again: callAgain, lastRetry: lastRetry}
	if cfg.DrainGrace > 0 { // where lists are pushed, what has changed counts as told at once
		d.lastRetry = min(d.lastRetry, cfg.DrainGrace/4)
	}
	if !cfg.Policy.PollsEndpoints {
		d.again = min(d.again, 2*d.lastRetry)
	}
	if len(cfg.Known.servers) > 0 {
		d.version = cfg.Known.version
	}
	if cfg.Policy.PollsEndpoints {
		d.asked = make(chan struct{}, 1)
	}
	d.dial = (&net.Dialer{KeepAlive: -1}).DialContext // as with servers
	return d
}

// watchTime draws how long a watch may be held. The watches of a fleet open together, when something has
// changed, and may fall silent together: those of one length would all be found out, and call, at once.
func watchTime() time.Duration {
	return watchMost/2 + rand.N(watchMost/2+time.Millisecond)
}

// ask takes that the module wants to be subscribed to the list.
func (d *discovery) ask() {
	select {
	case d.asked <- struct{}{}:
	default: // already asked, or the list is pushed
	}
}

// reload takes discovery's address from the configuration as it is now. The rest of it holds until
// the next start. A file that can't be used changes nothing.
func (d *discovery) reload(path string) {
	cfg, err := ReadConfig(path)
	if err != nil {
		slog.Error("the new configuration can't be used, the old one stays", "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	slog.Info("configuration read again", "discovery", cfg.Discovery, "before", d.address)
	if cfg.Discovery != d.address {
		d.address = cfg.Discovery
		if d.moved != nil {
			d.moved()
		}
	}
}

// follower returns the address to follow, and a context that ends once that is another.
func (d *discovery) follower(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moved != nil {
		d.moved()
	}
	ctx, d.moved = context.WithCancel(ctx)
	return ctx, d.address
}

// run follows the list until ctx ends: the whole list, then watch after watch, and all over again
// after a failure. Where lists are pushed it comes back by itself after a pause; where they are
// asked for, the module says when. At a new address it begins anew at once, with the whole list: the
// versions of the old one mean nothing there.
func (d *discovery) run(ctx context.Context) {
	first := min(firstRetry, d.lastRetry)
	pause, moved := first, false
	for ctx.Err() == nil {
		if d.asked != nil && !moved {
			select {
			case <-d.asked:
			case <-ctx.Done():
				return
			}
		}
		following, address := d.follower(ctx)
		heard, err := d.follow(following, address)
		if ctx.Err() != nil {
			return
		}
		if moved = following.Err() != nil; moved {
			d.version = -1
			d.hangUp()
			pause = first
			continue
		}
		slog.Warn("discovery", "error", err)
		if d.asked != nil {
			select {
			case <-d.asked: // meanwhile: the call under way was to answer that
			default:
			}
			d.failed()
			continue
		}
		d.failed()
		if heard {
			pause = first
		}
		// Jitter: all sidecars lose discovery at the same moment and must not come back as one.
		select {
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		case <-following.Done(): // at its new address nothing has failed yet
		}
		pause = min(2*pause, d.lastRetry)
	}
}

// follow calls discovery until a call fails. It tells whether any call went well. It begins with what
// has changed since the list that is held, if any: every line is work for discovery, and after a restart
// of many sidecars all of them call at once. That first call does not wait. Nor does the one after a watch
// that fell silent, which comes at once: what was missed may soon count as told.
func (d *discovery) follow(ctx context.Context, address string) (heard bool, err error) {
	silent := false
	for {
		query, watching := "", false
		var l listing
		var err error
		switch {
		case d.version >= 0 && heard && !silent:
			wait := d.watch()
			query, watching = fmt.Sprintf("?index=%d&wait=%d", d.version, wait.Milliseconds()), true
			l, err = d.hold(ctx, address, query, wait+d.silence)
		case d.version >= 0:
			query = fmt.Sprintf("?index=%d&wait=%d", d.version, firstWait.Milliseconds())
			fallthrough
		default:
			l, err = d.fetch(ctx, address, query)
		}
		if silent = watching && errors.Is(err, context.DeadlineExceeded); silent {
			slog.Warn("discovery", "error", errSilent)
			continue
		}
		if err == nil && !l.whole && query != "" && l.version < d.version { // begun anew: they mean something else now
			err = fmt.Errorf("%w: its version went from %d to %d", errUnusable, d.version, l.version)
		}
		if errors.Is(err, errUnusable) {
			d.version = -1 // nothing that it said of changes is to be built on
		}
		if err != nil {
			return heard, err
		}
		l.whole = l.whole || query == "" // that call asked for the whole list
		heard, d.version = true, l.version
		d.heard(l)
	}
}

// hold makes a call that may wait, and gives it up after limit.
func (d *discovery) hold(ctx context.Context, address, query string, limit time.Duration) (listing, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d.call(ctx, address, query)
}

// fetch makes a call that is not to wait, and returns the first answer. While none comes it makes it again beside
// those that are out, each on a connection of its own: one made before discovery could be reached may never be
// answered, and giving it up early would lose lists that come late. What is told then counts as told 6 s after
// discovery can be reached; with a new call every 2 s the last 4 s are left for its turn. Where lists are pushed
// it counts at once, and discovery serves this sidecar alone: there new calls come sooner. It fails once all
// calls have.
func (d *discovery) fetch(ctx context.Context, address, query string) (listing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		l   listing
		err error
	}
	answers, out := make(chan answer), 0
	var ends []context.CancelFunc // of the latest calls
	begin := func() {
		if len(ends) == callsMost {
			ends[0]()
			ends = ends[1:]
		}
		calling, end := context.WithTimeout(ctx, listTime)
		ends = append(ends, end)
		out++
		go func() {
			defer end()
			l, err := d.call(calling, address, query)
			select {
			case answers <- answer{l, err}:
			case <-ctx.Done():
			}
		}()
	}
	begin()
	again := time.NewTicker(d.again)
	defer again.Stop()
	for {
		select {
		case a := <-answers:
			if out--; a.err == nil || out == 0 || errors.Is(a.err, errUnusable) {
				return a.l, a.err
			}
		case <-again.C:
			begin()
		case <-ctx.Done():
			return listing{}, ctx.Err()
		}
	}
}

// call makes one call, over the connection that an earlier one left or over a new one. It is not net/http's client
// because that calls again by itself when a kept connection breaks: a watch that was reset would be opened again
// unseen, and what came in between be read only when that ends.
func (d *discovery) call(ctx context.Context, address, query string) (listing, error) {
	c, err := d.connect(ctx, address)
	if err != nil {
		return listing{}, err
	}
	alive := context.AfterFunc(ctx, func() { c.Close() })
	l, keep, err := d.converse(c, address, query)
	if alive() && keep {
		d.keep(c, address)
	} else {
		c.Close()
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err() // which is why the connection ended
	}
	return l, err
}

// converse writes a call and reads its answer, and tells whether the connection may be used again.
func (d *discovery) converse(c net.Conn, address, query string) (l listing, keep bool, err error) {
	if _, err := fmt.Fprintf(c, "GET /discovery/hosts%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, address); err != nil {
		return listing{}, false, err
	}
	r := bufio.NewReader(io.LimitReader(c, headerLimit+listLimit+1))
	res, err := http.ReadResponse(r, nil)
	for n := 0; err == nil && res.StatusCode/100 == 1 && n < interimMost; n++ {
		res, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return listing{}, false, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, listLimit+1))
	keep = err == nil && !res.Close && r.Buffered() == 0
	switch {
	case err != nil:
		return listing{}, false, err
	case res.StatusCode != http.StatusOK:
		return listing{}, keep, fmt.Errorf("answered %s", res.Status)
	case len(body) > listLimit:
		return listing{}, false, fmt.Errorf("%w: it is too long", errUnusable)
	}
	if l, err = parseListing(body, d.zones); err != nil {
		return listing{}, keep, fmt.Errorf("%w: %w", errUnusable, err)
	}
	return l, keep, nil
}

// connect returns the connection that was kept, if it still stands, or opens one.
func (d *discovery) connect(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	c, at := d.idle, d.idleAt
	d.idle = nil
	d.mu.Unlock()
	if c != nil {
		if at == address && standing(c) {
			return c, nil
		}
		c.Close()
	}
	return d.dial(ctx, "tcp", address)
}

// keep leaves a connection for the next call. One is enough: calls are seldom out at the same time.
func (d *discovery) keep(c net.Conn, address string) {
	d.mu.Lock()
	before := d.idle
	d.idle, d.idleAt = c, address
	d.mu.Unlock()
	if before != nil {
		before.Close()
	}
}

// hangUp closes the connection that is kept, if any.
func (d *discovery) hangUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle != nil {
		d.idle.Close()
		d.idle = nil
	}
}
