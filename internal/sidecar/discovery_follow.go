package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"cranehatch/internal/endpointlist"
)

// noVersion stands for the version of a list where none is known. So does every other number below 0.
const unknownVersion = -1

// listQuery is what one call asks of discovery.
type listQuery struct {
	sinceVersion int64         // the changes since this version; below 0: the full list
	maxWait      time.Duration // discovery may wait so long for a change; the full list comes at once
}

func (q listQuery) wantsFullList() bool { return q.sinceVersion < 0 }

// String is the query of the call's URL, with its question mark.
func (q listQuery) String() string {
	if q.wantsFullList() {
		return ""
	}
	return fmt.Sprintf("?index=%d&wait=%d", q.sinceVersion, q.maxWait.Milliseconds())
}

// drawWatchTime draws how long a watch may take. The watches of all sidecars begin together, when something has
// changed, and may be lost together: with one length all would time out, and call again, at the same moment.
func randomWatchTime() time.Duration {
	return maxWatchTime/2 + rand.N(maxWatchTime/2+time.Millisecond)
}

// follow calls discovery until a call fails, and tells whether any succeeded: first for the list as it is now, then
// watch after watch. ctx ends when the address is no longer the one to follow.
//
// A watch that timed out is no failure. What it missed may soon count as notified, so it is read at once, where the
// Balancer would let time pass after a failure.
func (d *discoveryClient) follow(ctx context.Context, address string) (received bool, err error) {
	for watchTimedOut := false; ; {
		update, err := d.nextUpdate(ctx, address, received && !watchTimedOut)
		watchTimedOut = errors.Is(err, errWatchTimeout)
		if watchTimedOut {
			slog.Warn("the endpoint watch timed out", "discovery", address, "error", err)
			continue
		}
		if err != nil {
			return received, err
		}
		received, d.version = true, update.Version
		d.onUpdate(update)
	}
}

// nextUpdate makes one call. Where a list is known it asks only for the changes since, also in its first call: each
// entry is work for discovery, and after a restart of many sidecars all of them call at once. After an invalid
// response the list known so far is not built on any more.
func (d *discoveryClient) nextUpdate(ctx context.Context, address string, mayWatch bool) (endpointlist.List, error) {
	query := listQuery{sinceVersion: d.version, maxWait: immediateWait}
	var update endpointlist.List
	var err error
	if mayWatch && !query.wantsFullList() {
		query.maxWait = d.randomWatchTime()
		update, err = d.watch(ctx, address, query)
	} else {
		update, err = d.fetch(ctx, address, query)
	}
	if err == nil {
		err = checkVersion(update, query)
	}
	if errors.Is(err, errInvalidResponse) {
		d.version = unknownVersion
	}
	return update, err
}

// checkVersion rejects changes whose version is older than the one asked for: discovery has started anew and counts
// from the beginning, so its versions mean something else now.
func checkVersion(update endpointlist.List, query listQuery) error {
	if update.Complete || query.wantsFullList() || update.Version >= query.sinceVersion {
		return nil
	}
	return fmt.Errorf("%w: its version went from %d to %d", errInvalidResponse, query.sinceVersion, update.Version)
}

// watch makes a call that discovery answers when something changes, or at the end of the query's wait. Without a
// response watchGrace later it returns errWatchTimeout.
func (d *discoveryClient) watch(ctx context.Context, address string, query listQuery) (endpointlist.List, error) {
	ctx, cancel := context.WithTimeout(ctx, query.maxWait+d.watchGrace)
	defer cancel()
	update, err := d.call(ctx, address, query)
	if errors.Is(err, context.DeadlineExceeded) {
		return endpointlist.List{}, errWatchTimeout
	}
	return update, err
}
