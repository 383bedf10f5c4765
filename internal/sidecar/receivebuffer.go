package sidecar

import "time"

// arrivalResolution is how much earlier than they arrived bytes may be recorded, so that bytes that arrive one by
// one need not each have a time of their own.
const arrivalResolution = 10 * time.Millisecond

// receiveBuffer holds bytes that were read from a client's connection and that net/http has yet to read, with the
// times at which they arrived. The timeout of a request counts from its arrival, however long it waits for the
// requests before it and whatever arrives behind it.
type receiveBuffer struct {
	chunks []receivedChunk // in order of arrival
	length int             // bytes in all chunks
}

// receivedChunk holds bytes that arrived within arrivalResolution.
type receivedChunk struct {
	bytes     []byte
	arrivedAt time.Time // of the first of them
}

// add appends a copy of bytes that have just arrived.
func (b *receiveBuffer) add(p []byte, arrivedAt time.Time) {
	if len(p) == 0 {
		return
	}
	b.length += len(p)
	if last := len(b.chunks) - 1; last >= 0 && arrivedAt.Sub(b.chunks[last].arrivedAt) < arrivalResolution {
		b.chunks[last].bytes = append(b.chunks[last].bytes, p...)
		return
	}
	b.chunks = append(b.chunks, receivedChunk{append([]byte(nil), p...), arrivedAt})
}

// putBack puts a copy of bytes before all others.
func (b *receiveBuffer) putBack(p []byte, arrivedAt time.Time) {
	b.length += len(p)
	b.chunks = append([]receivedChunk{{append([]byte(nil), p...), arrivedAt}}, b.chunks...)
}

// read moves bytes of the first chunk to p and returns their number and the time at which they arrived.
func (b *receiveBuffer) read(p []byte) (n int, arrivedAt time.Time) {
	if b.length == 0 {
		return 0, time.Time{}
	}
	first := &b.chunks[0]
	n, arrivedAt = copy(p, first.bytes), first.arrivedAt
	first.bytes = first.bytes[n:]
	b.length -= n
	if len(first.bytes) == 0 {
		b.chunks[0] = receivedChunk{} // frees its memory
		b.chunks = b.chunks[1:]
	}
	if b.length == 0 {
		b.chunks = nil
	}
	return n, arrivedAt
}
