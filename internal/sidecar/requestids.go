package sidecar

import (
	"hash/maphash"
	"sync"
	"time"
)

// The number of closed requests whose IDs are remembered. They are counted separately, so that many requests
// that are rejected at once don't displace those that may have run.
const (
	rememberedRunIDs      = 16 << 10
	rememberedRejectedIDs = 2 << 10
)

// requestIDs tells whether a request's X-Request-ID may be accepted. An ID belongs to one request of one client:
//
//   - An ID in flight is not accepted: servers would take the second request for a duplicate and drop it.
//   - Nor is the ID of a request that may have run: a second request with it could run a second time.
//   - The ID of a request that was rejected is accepted again, as that request has not run, but only from a
//     client that sent it after the rejection. A request that waited behind others on its connection may
//     have been sent while the ID was in flight.
//
// IDs are kept as hashes, so that long ones take no more memory. Its methods are safe for concurrent use.
type requestIDs struct {
	seed maphash.Seed

	mu       sync.Mutex
	inFlight map[uint64]struct{} // requests that have no response yet
	run      *idHistory          // closed requests that may have run
	rejected *idHistory          // closed requests that have not run
}

func newRequestIDs() *requestIDs {
	return &requestIDs{
		seed:     maphash.MakeSeed(),
		inFlight: make(map[uint64]struct{}),
		run:      newIDHistory(rememberedRunIDs),
		rejected: newIDHistory(rememberedRejectedIDs),
	}
}

// reserve marks the ID of a request as in flight, or returns nil if the ID is not accepted. arrivedAt is the time
// at which the request arrived.
func (ids *requestIDs) reserve(id string, arrivedAt time.Duration) *reservedID {
	hash := maphash.String(ids.seed, id)
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if _, open := ids.inFlight[hash]; open {
		return nil
	}
	if _, ran := ids.run.closedAt[hash]; ran {
		return nil
	}
	if closedAt, closed := ids.rejected.closedAt[hash]; closed && arrivedAt < closedAt {
		return nil
	}
	ids.inFlight[hash] = struct{}{}
	return &reservedID{ids: ids, hash: hash}
}

// reservedID is the ID of a request in flight. Only the request's handler uses it.
type reservedID struct {
	ids        *requestIDs
	hash       uint64
	mayHaveRun bool // the request has run, or it is not known that it hasn't
}

// release marks the ID as no longer in flight.
func (r *reservedID) release(now time.Duration) {
	r.ids.mu.Lock()
	defer r.ids.mu.Unlock()
	delete(r.ids.inFlight, r.hash)
	if r.mayHaveRun {
		r.ids.run.add(r.hash, now)
	} else {
		r.ids.rejected.add(r.hash, now)
	}
}

// idHistory remembers the IDs that were added last.
type idHistory struct {
	capacity int
	closedAt map[uint64]time.Duration // by hash of the ID
	hashes   []uint64                 // keys of closedAt; from oldest on, in the order in which they were added
	oldest   int
}

func newIDHistory(capacity int) *idHistory {
	return &idHistory{capacity: capacity, closedAt: make(map[uint64]time.Duration)}
}

// add remembers an ID in place of the oldest one.
func (h *idHistory) add(hash uint64, now time.Duration) {
	_, known := h.closedAt[hash]
	h.closedAt[hash] = now
	switch {
	case known:
	case len(h.hashes) < h.capacity:
		h.hashes = append(h.hashes, hash)
	default:
		delete(h.closedAt, h.hashes[h.oldest])
		h.hashes[h.oldest] = hash
		h.oldest = (h.oldest + 1) % h.capacity
	}
}
