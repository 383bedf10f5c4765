package sidecar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// handleEndpointUpdate posts an endpoint update to the event loop. The discovery client calls it on its own
// goroutine. Like post, it may block.
func (l *eventLoop) handleEndpointUpdate(update endpointlist.List) {
	kind := policy.DeltaUpdate
	if update.Full {
		kind = policy.FullUpdate
	}
	l.post(func(time.Duration) { l.applyEndpoints(update, kind) })
}

// handleDiscoveryFailure reports to the Balancer that following the endpoint list has failed. The discovery
// client calls it on its own goroutine. Like post, it may block.
func (l *eventLoop) handleDiscoveryFailure() {
	l.post(func(now time.Duration) { l.balancer.UpdateEndpoints(now, policy.UpdateFailed, nil) })
}

// applyEndpoints updates the endpoint table and then passes the update to the Balancer.
//
// An endpoint object represents one process at one address. A server whose address changes or that has started
// again, and a new server at the address of another one, each get a new object, so that requests to it do not
// use connections of the old process.
func (l *eventLoop) applyEndpoints(update endpointlist.List, kind policy.UpdateKind) {
	previous := maps.Clone(l.endpoints)
	if update.Full {
		clear(l.endpoints)
	}
	for _, entry := range update.Endpoints {
		l.applyEndpoint(entry, update.Addresses[entry.ID], previous[entry.ID])
	}
	entries := append(update.Endpoints, l.removeReplaced(update)...)
	for id, e := range previous {
		if l.endpoints[id] != e {
			l.transport.abandonUnwrittenTo(e)
			l.transport.remove(e)
		}
	}
	l.balancer.UpdateEndpoints(l.now, kind, entries)
}

// removeReplaced removes the endpoints at whose address another listed endpoint has started later, and returns
// their removals. The list may be late: what it still lists at that address has ended, and a request to it would be
// sent to the later process, which may be in another cell and in slow start. Only the addresses in an update need
// to be looked at.
func (l *eventLoop) removeReplaced(update endpointlist.List) (removals []policy.Endpoint) {
	latest := make(map[string]time.Duration, len(update.Addresses))
	for _, address := range update.Addresses {
		latest[address] = 0
	}
	for _, e := range l.endpoints {
		if startedAt, updated := latest[e.address]; updated {
			latest[e.address] = max(startedAt, e.startedAt)
		}
	}
	for id, e := range l.endpoints {
		if e.startedAt < latest[e.address] {
			delete(l.endpoints, id)
			removals = append(removals, policy.Endpoint{ID: id, State: policy.Removed})
		}
	}
	slices.SortFunc(removals, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return removals
}

// applyEndpoint applies one entry of an update; previous is the endpoint with the same ID before the update,
// or nil.
//
// An attempt at a draining server whose connection is still being dialed could otherwise be written long after
// the update, when nothing new may be sent to that server. abandonUnwrittenTo ends such an attempt as NotSent,
// so that the Balancer can choose another server.
func (l *eventLoop) applyEndpoint(entry policy.Endpoint, address string, previous *endpoint) {
	switch {
	case entry.State == policy.Removed:
		delete(l.endpoints, entry.ID)
	case previous != nil && previous.address == address && previous.startedAt >= entry.StartedAt:
		l.endpoints[entry.ID] = previous
		if entry.State != policy.Ready {
			l.transport.abandonUnwrittenTo(previous)
		}
	default:
		l.endpoints[entry.ID] = &endpoint{address: address, startedAt: entry.StartedAt}
	}
}
