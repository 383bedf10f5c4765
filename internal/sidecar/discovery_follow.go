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

// unknownVersion is the version if no list is known. Any other negative version means the same.
const unknownVersion = -1

// listQuery holds the parameters of one call.
type listQuery struct {
	sinceVersion int64         // requests the changes since this version; if negative, the full list
	maxWait      time.Duration // longest time that discovery waits for a change; not used for the full list
}

func (q listQuery) wantsFullList() bool { return q.sinceVersion < 0 }

// String returns the query part of the call's URL, including the question mark.
func (q listQuery) String() string {
	if q.wantsFullList() {
		return ""
	}
	return fmt.Sprintf("?index=%d&wait=%d", q.sinceVersion, q.maxWait.Milliseconds())
}

// randomWatchTime returns the wait of a watch: between half of maxWatchTime and all of it. The watches of all
// sidecars start at the same time, after a change, and may also be lost at the same time. With equal waits
// all sidecars would time out, and call discovery again, simultaneously.
func randomWatchTime() time.Duration {
	return maxWatchTime/2 + rand.N(maxWatchTime/2+time.Millisecond)
}

// follow requests the current list and then makes one watch after another, until a call fails. It reports
// whether any call succeeded. ctx is cancelled when the address changes.
//
// A watch timeout is not reported as a failure, as the Balancer would then wait before the next poll. The
// sidecar may soon count as notified of changes that the watch missed, so follow requests them immediately.
func (d *discoveryClient) follow(ctx context.Context, address string) (received bool, err error) {
	for watchTimedOut := false; ; {
		update, err := d.nextUpdate(ctx, address, received && !watchTimedOut)
		watchTimedOut = errors.Is(err, errWatchTimeout)
		if watchTimedOut {
			slog.Warn("endpoint watch timed out", "discovery", address, "error", err)
			continue
		}
		if err != nil {
			return received, err
		}
		received, d.version = true, update.Version
		d.onUpdate(update)
	}
}

// nextUpdate makes one call: a watch if canWatch is set and a list is known, otherwise one that discovery
// answers immediately. If a list is known, even a cached one, it requests only the changes since that
// version: each entry costs discovery work, and after a restart of many sidecars all of them call at the same
// time. After an invalid response the next call requests the full list.
func (d *discoveryClient) nextUpdate(ctx context.Context, address string, canWatch bool) (endpointlist.List, error) {
	query := listQuery{sinceVersion: d.version, maxWait: immediateWait}
	var update endpointlist.List
	var err error
	if canWatch && !query.wantsFullList() {
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

// checkVersion rejects a delta update whose version is lower than the one in the query: discovery has
// restarted and counts versions from the beginning, so the known version has no meaning to it.
func checkVersion(update endpointlist.List, query listQuery) error {
	if update.Full || query.wantsFullList() || update.Version >= query.sinceVersion {
		return nil
	}
	return fmt.Errorf("%w: version decreased from %d to %d", errInvalidResponse, query.sinceVersion, update.Version)
}

// watch makes a call that discovery answers when the list changes, or after query.maxWait. If there is no
// response watchGrace after that, it returns errWatchTimeout.
func (d *discoveryClient) watch(ctx context.Context, address string, query listQuery) (endpointlist.List, error) {
	ctx, cancel := context.WithTimeout(ctx, query.maxWait+d.watchGrace)
	defer cancel()
	update, err := d.call(ctx, address, query)
	if errors.Is(err, context.DeadlineExceeded) {
		return endpointlist.List{}, errWatchTimeout
	}
	return update, err
}
