// Package simprotocol encodes and decodes the simulator's binary protocol.
//
// The simulator sends batches of event records. Each batch is answered by one reply, which consists of action
// records. All numbers are little-endian, and all times are float64 milliseconds. A later version of the
// protocol may append fields to a record: bytes after the known fields are ignored.
//
// This package maps the names of the protocol (Ask, CallOut, PushBack, ...) to the terms of package policy;
// no other package contains this mapping. The tables are in codes.go.
package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"cranehatch/internal/millis"
)

// Sizes in bytes.
const (
	batchHeaderLen  = 20
	recordHeaderLen = 6
	// maxBatchLen is the maximum size of a batch's body. Real batches reach a few megabytes; a larger
	// declared size indicates a corrupt stream.
	maxBatchLen = 1 << 28
	// readChunkLen is the maximum number of bytes by which the buffer grows ahead of the bytes received.
	readChunkLen = 1 << 20
)

// Batch is one frame of events.
type Batch struct {
	Number      uint32        // identifies the batch; the reply repeats it
	RecordCount uint32        // number of records in Body
	Time        time.Duration // time of all events in the batch, on the simulator's clock
	Body        []byte        // encoded records; valid until the next call of ReadBatch
}

// Reader reads batches from a stream.
type Reader struct {
	source io.Reader
	header [batchHeaderLen]byte
	body   []byte
}

// NewReader returns a Reader that reads from source, which should be buffered.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// ReadBatch reads the next batch. It returns io.EOF if the input ends between two batches, and a *BatchError
// for any other failure.
func (r *Reader) ReadBatch() (Batch, error) {
	_, err := io.ReadFull(r.source, r.header[:])
	if errors.Is(err, io.EOF) {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, &BatchError{Part: PartHeader, Err: err}
	}
	batch, size, err := r.parseHeader()
	if err != nil {
		return Batch{}, err
	}
	if err := r.readBody(int(size)); err != nil {
		return Batch{}, &BatchError{Number: batch.Number, Part: PartBody, Err: err}
	}
	batch.Body = r.body
	return batch, nil
}

// parseHeader returns the batch without its body, and the size of the body in bytes.
func (r *Reader) parseHeader() (batch Batch, size uint32, err error) {
	number := binary.LittleEndian.Uint32(r.header[0:])
	records := binary.LittleEndian.Uint32(r.header[4:])
	size = binary.LittleEndian.Uint32(r.header[8:])
	now := math.Float64frombits(binary.LittleEndian.Uint64(r.header[12:]))
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return Batch{}, 0, &BatchError{Number: number, Part: PartTime, Err: ErrNotFinite}
	}
	if size > maxBatchLen {
		err := fmt.Errorf("%w: got %d bytes, want at most %d", ErrTooLarge, size, maxBatchLen)
		return Batch{}, 0, &BatchError{Number: number, Part: PartBody, Err: err}
	}
	if minSize := uint64(records) * recordHeaderLen; minSize > uint64(size) {
		return Batch{}, 0, &BatchError{Number: number, Part: PartRecords, Err: truncatedError(minSize, int(size))}
	}
	return Batch{Number: number, RecordCount: records, Time: millis.ToDuration(now)}, size, nil
}

// readBody reads size bytes into r.body. The buffer grows as bytes arrive, so that a wrong size in a short
// stream does not cause a large allocation.
func (r *Reader) readBody(size int) error {
	r.body = r.body[:0]
	for len(r.body) < size {
		start := len(r.body)
		n := min(size-start, max(readChunkLen, cap(r.body)-start))
		r.body = slices.Grow(r.body, n)[:start+n]
		_, err := io.ReadFull(r.source, r.body[start:])
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Record is one event record of a batch. Each of its methods decodes the fields of the event code that it
// documents, and returns a *RecordError if fields are missing.
type Record struct {
	Code   EventCode
	Fields []byte // encoded fields; valid as long as the body of the batch
}

// NextRecord decodes the header of the first record in body. It returns the record and the bytes after it.
func NextRecord(body []byte) (Record, []byte, error) {
	if len(body) < recordHeaderLen {
		return Record{}, nil, &RecordError{Part: PartHeader, Err: truncatedError(recordHeaderLen, len(body))}
	}
	code := EventCode(binary.LittleEndian.Uint16(body))
	size := binary.LittleEndian.Uint32(body[2:])
	body = body[recordHeaderLen:]
	if uint64(size) > uint64(len(body)) {
		return Record{}, nil, &RecordError{Code: code, Part: PartFields, Err: truncatedError(uint64(size), len(body))}
	}
	return Record{Code: code, Fields: body[:size]}, body[size:], nil
}
