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

	"cranehatch/internal/endpointlist"
)

const (
	maxWatchTime       = 20 * time.Second // how long discovery may hold a watch at most, and half as long at least
	immediateWait      = time.Millisecond // and the first call, from a list held since before: that is not to wait
	callTimeout        = 6 * time.Second  // how long it may take over a call that is not to wait,
	hedgedCallInterval = 2 * time.Second  // and after this another is made beside it: see fetch
	maxConcurrentCalls = 6                // so many are out at most: they take descriptors
	initialBackoff     = 200 * time.Millisecond
	maxBackoff         = 2 * time.Second // with jitter, well under the 6 s after which a drain counts as told
	maxListBytes       = 8 << 20         // bytes of one answer; far above any real list

	// A watch with no answer so long after its wait is over has fallen silent. What it missed counts as
	// told 2 s after that wait: the rest of these is left for the call that reads it, and its turn at discovery.
	watchGracePeriod = 500 * time.Millisecond
)

// errWatchTimeout is a watch that discovery has not answered.
var errWatchTimeout = errors.New("the watch has fallen silent")

// errInvalidResponse is an answer that can't be read.
var errInvalidResponse = errors.New("the answer is unusable")

// discoveryClient follows the list of servers and hands what it learns to the loop.
type discoveryClient struct {
	zones   map[string]int
	polls   chan struct{} // where the list must be asked for: the module did
	updated func(endpointlist.List)
	failed  func()
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	drawWatchTime func() time.Duration // how long the next watch may be held
	watchGrace    time.Duration        // and how long its answer may take besides
	callInterval  time.Duration        // a call with no answer for so long is made again
	maxBackoff    time.Duration        // the longest pause after a failure, where lists are pushed

	version int64 // of the list that is held, at the address that is followed; below 0: none, or not to be trusted

	mu            sync.Mutex
	address       string
	stopFollowing context.CancelFunc // ends what is under way with the address before
	idle          net.Conn           // kept for the next call; nil: none is
	idleAddress   string             // the address that it is to
}

func newDiscoveryClient(cfg *Config, heard func(endpointlist.List), failed func()) *discoveryClient {
	d := &discoveryClient{address: cfg.Discovery, zones: cfg.Zones, updated: heard, failed: failed, version: -1,
		drawWatchTime: watchTime, watchGrace: watchGracePeriod, callInterval: hedgedCallInterval, maxBackoff: maxBackoff}
	if cfg.DrainGrace > 0 { // where lists are pushed, what has changed counts as told at once
		d.maxBackoff = min(d.maxBackoff, cfg.DrainGrace/4)
	}
	if !cfg.Policy.PollsEndpoints {
		d.callInterval = min(d.callInterval, 2*d.maxBackoff)
	}
	if len(cfg.CachedEndpoints.Servers) > 0 {
		d.version = cfg.CachedEndpoints.Version
	}
	if cfg.Policy.PollsEndpoints {
		d.polls = make(chan struct{}, 1)
	}
	d.dial = (&net.Dialer{KeepAlive: -1}).DialContext // as with servers
	return d
}

// watchTime draws how long a watch may be held. The watches of a fleet open together, when something has
// changed, and may fall silent together: those of one length would all be found out, and call, at once.
func watchTime() time.Duration {
	return maxWatchTime/2 + rand.N(maxWatchTime/2+time.Millisecond)
}

// poll takes that the module wants to be subscribed to the list.
func (d *discoveryClient) poll() {
	select {
	case d.polls <- struct{}{}:
	default: // already asked, or the list is pushed
	}
}

// reload takes discovery's address from the configuration as it is now. The rest of it holds until
// the next start. A file that can't be used changes nothing.
func (d *discoveryClient) reload(path string) {
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
		if d.stopFollowing != nil {
			d.stopFollowing()
		}
	}
}

// followedAddress returns the address to follow, and a context that ends once that is another.
func (d *discoveryClient) followedAddress(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopFollowing != nil {
		d.stopFollowing()
	}
	ctx, d.stopFollowing = context.WithCancel(ctx)
	return ctx, d.address
}

// run follows the list until ctx ends: the whole list, then watch after watch, and all over again
// after a failure. Where lists are pushed it comes back by itself after a pause; where they are
// asked for, the module says when. At a new address it begins anew at once, with the whole list: the
// versions of the old one mean nothing there.
func (d *discoveryClient) run(ctx context.Context) {
	first := min(initialBackoff, d.maxBackoff)
	pause, moved := first, false
	for ctx.Err() == nil {
		if d.polls != nil && !moved {
			select {
			case <-d.polls:
			case <-ctx.Done():
				return
			}
		}
		following, address := d.followedAddress(ctx)
		heard, err := d.follow(following, address)
		if ctx.Err() != nil {
			return
		}
		if moved = following.Err() != nil; moved {
			d.version = -1
			d.closeIdle()
			pause = first
			continue
		}
		slog.Warn("discovery", "error", err)
		if d.polls != nil {
			select {
			case <-d.polls: // meanwhile: the call under way was to answer that
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
		pause = min(2*pause, d.maxBackoff)
	}
}

// follow calls discovery until a call fails. It tells whether any call went well. It begins with what
// has changed since the list that is held, if any: every line is work for discovery, and after a restart
// of many sidecars all of them call at once. That first call does not wait. Nor does the one after a watch
// that fell silent, which comes at once: what was missed may soon count as told.
func (d *discoveryClient) follow(ctx context.Context, address string) (heard bool, err error) {
	silent := false
	for {
		query, watching := "", false
		var l endpointlist.List
		var err error
		switch {
		case d.version >= 0 && heard && !silent:
			wait := d.drawWatchTime()
			query, watching = fmt.Sprintf("?index=%d&wait=%d", d.version, wait.Milliseconds()), true
			l, err = d.watch(ctx, address, query, wait+d.watchGrace)
		case d.version >= 0:
			query = fmt.Sprintf("?index=%d&wait=%d", d.version, immediateWait.Milliseconds())
			fallthrough
		default:
			l, err = d.fetch(ctx, address, query)
		}
		if silent = watching && errors.Is(err, context.DeadlineExceeded); silent {
			slog.Warn("discovery", "error", errWatchTimeout)
			continue
		}
		if err == nil && !l.Whole && query != "" && l.Version < d.version { // begun anew: they mean something else now
			err = fmt.Errorf("%w: its version went from %d to %d", errInvalidResponse, d.version, l.Version)
		}
		if errors.Is(err, errInvalidResponse) {
			d.version = -1 // nothing that it said of changes is to be built on
		}
		if err != nil {
			return heard, err
		}
		l.Whole = l.Whole || query == "" // that call asked for the whole list
		heard, d.version = true, l.Version
		d.updated(l)
	}
}

// watch makes a call that may wait, and gives it up after limit.
func (d *discoveryClient) watch(ctx context.Context, address, query string, limit time.Duration) (endpointlist.List, error) {
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
func (d *discoveryClient) fetch(ctx context.Context, address, query string) (endpointlist.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		l   endpointlist.List
		err error
	}
	answers, out := make(chan answer), 0
	var ends []context.CancelFunc // of the latest calls
	begin := func() {
		if len(ends) == maxConcurrentCalls {
			ends[0]()
			ends = ends[1:]
		}
		calling, end := context.WithTimeout(ctx, callTimeout)
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
	again := time.NewTicker(d.callInterval)
	defer again.Stop()
	for {
		select {
		case a := <-answers:
			if out--; a.err == nil || out == 0 || errors.Is(a.err, errInvalidResponse) {
				return a.l, a.err
			}
		case <-again.C:
			begin()
		case <-ctx.Done():
			return endpointlist.List{}, ctx.Err()
		}
	}
}

// call makes one call, over the connection that an earlier one left or over a new one. It is not net/http's client
// because that calls again by itself when a kept connection breaks: a watch that was reset would be opened again
// unseen, and what came in between be read only when that ends.
func (d *discoveryClient) call(ctx context.Context, address, query string) (endpointlist.List, error) {
	c, err := d.connect(ctx, address)
	if err != nil {
		return endpointlist.List{}, err
	}
	alive := context.AfterFunc(ctx, func() { c.Close() })
	l, keep, err := d.roundTrip(c, address, query)
	if alive() && keep {
		d.putIdle(c, address)
	} else {
		c.Close()
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err() // which is why the connection ended
	}
	return l, err
}

// roundTrip writes a call and reads its answer, and tells whether the connection may be used again.
func (d *discoveryClient) roundTrip(c net.Conn, address, query string) (l endpointlist.List, keep bool, err error) {
	if _, err := fmt.Fprintf(c, "GET /discovery/hosts%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, address); err != nil {
		return endpointlist.List{}, false, err
	}
	r := bufio.NewReader(io.LimitReader(c, maxHeaderBytes+maxListBytes+1))
	res, err := http.ReadResponse(r, nil)
	for n := 0; err == nil && res.StatusCode/100 == 1 && n < maxInterimResponses; n++ {
		res, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return endpointlist.List{}, false, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes+1))
	keep = err == nil && !res.Close && r.Buffered() == 0
	switch {
	case err != nil:
		return endpointlist.List{}, false, err
	case res.StatusCode != http.StatusOK:
		return endpointlist.List{}, keep, fmt.Errorf("answered %s", res.Status)
	case len(body) > maxListBytes:
		return endpointlist.List{}, false, fmt.Errorf("%w: it is too long", errInvalidResponse)
	}
	if l, err = endpointlist.Parse(body, d.zones); err != nil {
		return endpointlist.List{}, keep, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	return l, keep, nil
}

// connect returns the connection that was kept, if it still stands, or opens one.
func (d *discoveryClient) connect(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	c, at := d.idle, d.idleAddress
	d.idle = nil
	d.mu.Unlock()
	if c != nil {
		if at == address && connAlive(c) {
			return c, nil
		}
		c.Close()
	}
	return d.dial(ctx, "tcp", address)
}

// putIdle leaves a connection for the next call. One is enough: calls are seldom out at the same time.
func (d *discoveryClient) putIdle(c net.Conn, address string) {
	d.mu.Lock()
	before := d.idle
	d.idle, d.idleAddress = c, address
	d.mu.Unlock()
	if before != nil {
		before.Close()
	}
}

// closeIdle closes the connection that is kept, if any.
func (d *discoveryClient) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle != nil {
		d.idle.Close()
		d.idle = nil
	}
}
