// Package simprotocol is the codec of the simulator's binary protocol.
//
// The simulator sends batches of event records, and each batch is answered by one reply of action records.
// All numbers are little-endian, all times are float64 milliseconds. Records may get further fields in
// later versions: what follows the known fields of a record is ignored.
//
// The protocol has names of its own (Ask, CallOut, PushBack, ...). This package maps them to the terms of
// package policy, here and nowhere else; see codes.go for the table.
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
	// maxBatchLen bounds what a batch may claim to hold. Real batches run to megabytes; a larger claim is
	// a corrupt stream.
	maxBatchLen = 1 << 28
	// readChunkLen bounds what is allocated ahead of the bytes that really arrive.
	readChunkLen = 1 << 20
)

// Batch is one frame of events.
type Batch struct {
	Number      uint32
	RecordCount uint32
	Time        time.Duration // of all its events, on the simulator's clock
	Body        []byte        // the records; valid until the next ReadBatch
}

// Reader reads batches from a stream.
type Reader struct {
	source io.Reader
	header [batchHeaderLen]byte
	body   []byte
}

// NewReader returns a Reader of source, which should be buffered.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// ReadBatch reads the next batch. It returns io.EOF at the end of input between two batches, and a
// *BatchError otherwise.
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

// parseHeader returns the batch without its body, and the body's size.
func (r *Reader) parseHeader() (batch Batch, size uint32, err error) {
	number := binary.LittleEndian.Uint32(r.header[0:])
	records := binary.LittleEndian.Uint32(r.header[4:])
	size = binary.LittleEndian.Uint32(r.header[8:])
	now := math.Float64frombits(binary.LittleEndian.Uint64(r.header[12:]))
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return Batch{}, 0, &BatchError{Number: number, Part: PartTime, Err: ErrNotFinite}
	}
	if size > maxBatchLen {
		err := fmt.Errorf("%w: %d bytes claimed, at most %d are accepted", ErrTooLarge, size, maxBatchLen)
		return Batch{}, 0, &BatchError{Number: number, Part: PartBody, Err: err}
	}
	if minSize := uint64(records) * recordHeaderLen; minSize > uint64(size) {
		return Batch{}, 0, &BatchError{Number: number, Part: PartRecords, Err: truncated(minSize, int(size))}
	}
	return Batch{Number: number, RecordCount: records, Time: millis.ToDuration(now)}, size, nil
}

// readBody reads size bytes. The buffer grows with the bytes that arrive, so that a wrong size in a short
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

// Record is one record of a batch: its code and its fields. Its methods decode the fields; each belongs to
// the event code of its name, and returns a *RecordError where fields are missing.
type Record struct {
	Code   EventCode
	Fields []byte // valid as long as the batch
}

// NextRecord splits the first record off body and returns the remaining bytes too.
func NextRecord(body []byte) (Record, []byte, error) {
	if len(body) < recordHeaderLen {
		return Record{}, nil, &RecordError{Part: PartHeader, Err: truncated(recordHeaderLen, len(body))}
	}
	code := EventCode(binary.LittleEndian.Uint16(body))
	size := binary.LittleEndian.Uint32(body[2:])
	body = body[recordHeaderLen:]
	if uint64(size) > uint64(len(body)) {
		return Record{}, nil, &RecordError{Code: code, Part: PartFields, Err: truncated(uint64(size), len(body))}
	}
	return Record{Code: code, Fields: body[:size]}, body[size:], nil
}
