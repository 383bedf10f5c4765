package simprotocol

import (
	"errors"
	"fmt"
)

// Errors that a BatchError or a RecordError may wrap, in addition to those of the input stream.
var (
	// ErrTruncated reports that the input has fewer bytes than its sizes, counts or fields require.
	ErrTruncated = errors.New("truncated")
	// ErrTooLarge reports a batch whose declared size is above maxBatchLen.
	ErrTooLarge = errors.New("too large")
	// ErrNotFinite reports a time that is infinite or NaN.
	ErrNotFinite = errors.New("must be a finite number")
	// ErrTrailingBytes reports that a batch has bytes after its last record.
	ErrTrailingBytes = errors.New("unexpected bytes after the last record")
)

// Part identifies the part of a batch or record in which an error occurred.
type Part string

// Parts of batches and records.
const (
	PartHeader  Part = "header"
	PartTime    Part = "time"
	PartBody    Part = "body"
	PartRecords Part = "records"
	PartFields  Part = "fields"
	PartList    Part = "endpoint list"
)

// BatchError reports a batch that could not be read or processed.
type BatchError struct {
	Number uint32 // number of the batch; unknown (0) if Part is PartHeader
	Part   Part   // part of the batch with the error
	Err    error
}

func (e *BatchError) Error() string {
	if e.Part == PartHeader {
		return fmt.Sprintf("batch header: %v", e.Err)
	}
	return fmt.Sprintf("batch %d: %s: %v", e.Number, e.Part, e.Err)
}

// Unwrap returns the underlying error.
func (e *BatchError) Unwrap() error { return e.Err }

// RecordError reports a record that could not be decoded.
type RecordError struct {
	Code EventCode // code of the record; unknown (0) if Part is PartHeader
	Part Part      // part of the record with the error
	Err  error
}

func (e *RecordError) Error() string {
	if e.Part == PartHeader {
		return fmt.Sprintf("record header: %v", e.Err)
	}
	return fmt.Sprintf("record %v: %s: %v", e.Code, e.Part, e.Err)
}

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Err }

// truncatedError returns an error that wraps ErrTruncated and gives the number of bytes required and
// remaining.
func truncatedError(required uint64, remaining int) error {
	return fmt.Errorf("%w: %d bytes required, %d remain", ErrTruncated, required, remaining)
}
