package sidecar

import (
	"maps"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// endpointsChanged takes an endpoint update from the discovery client, on its goroutine. It blocks as post does.
func (l *eventLoop) endpointsChanged(update endpointlist.List) {
	kind := policy.DeltaUpdate
	if update.Complete {
		kind = policy.FullUpdate
	}
	l.post(func(time.Duration) { l.applyEndpoints(update, kind) })
}

// endpointsFailed is called when a call to discovery has failed, on the discovery client's goroutine. It blocks as
// post does.
func (l *eventLoop) endpointsFailed() {
	l.post(func(now time.Duration) { l.balancer.UpdateEndpoints(now, policy.UpdateFailed, nil) })
}

// applyEndpoints brings the endpoint table up to date, then notifies the Balancer.
//
// An endpoint object stands for one server at one address: a server that moves, and a new server at the address of
// a removed one, get an object of their own, so that no connection of the old one carries requests to the new one.
func (l *eventLoop) applyEndpoints(update endpointlist.List, kind policy.UpdateKind) {
	before := maps.Clone(l.endpoints)
	if update.Complete {
		clear(l.endpoints)
	}
	for _, entry := range update.Endpoints {
		l.applyEndpoint(entry, update.Addresses[entry.ID], before[entry.ID])
	}
	for id, e := range before {
		if l.endpoints[id] != e {
			l.transport.stopUnwritten(e)
			l.transport.remove(e)
		}
	}
	l.balancer.UpdateEndpoints(l.now, kind, update.Endpoints)
}

// applyEndpoint enters one entry of an update; before is the endpoint of that id so far, or nil.
//
// An attempt whose connection to a draining server is still being opened could be written long after the update, when
// nothing new may be sent there any more. stopUnwritten ends it as not sent, so that the Balancer sends it elsewhere.
func (l *eventLoop) applyEndpoint(entry policy.Endpoint, address string, before *endpoint) {
	switch {
	case entry.State == policy.Removed:
		delete(l.endpoints, entry.ID)
	case before != nil && before.address == address:
		l.endpoints[entry.ID] = before
		if entry.State != policy.Ready {
			l.transport.stopUnwritten(before)
		}
	default:
		l.endpoints[entry.ID] = &endpoint{address: address}
	}
}
