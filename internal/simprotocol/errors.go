package simprotocol

import (
	"errors"
	"fmt"
)

// The causes that a BatchError or a RecordError wraps, besides those of the input stream.
var (
	// ErrTruncated says that the input has fewer bytes than its lengths or fields claim.
	ErrTruncated = errors.New("truncated")
	// ErrTooLarge says that a batch claims more bytes than are accepted.
	ErrTooLarge = errors.New("too large")
	// ErrNotFinite says that a time is infinite or no number.
	ErrNotFinite = errors.New("not a finite number")
	// ErrTrailingBytes says that a batch has bytes after its last record.
	ErrTrailingBytes = errors.New("bytes after the last record")
)

// Part is the part of a batch or a record that an error is about.
type Part string

// The parts of batches and records.
const (
	PartHeader  Part = "header"
	PartTime    Part = "time"
	PartBody    Part = "body"
	PartRecords Part = "records"
	PartFields  Part = "fields"
	PartList    Part = "endpoint list"
)

// BatchError says which batch could not be read or handled.
type BatchError struct {
	Number uint32 // of the batch; not known where Part is PartHeader
	Part   Part
	Err    error
}

func (e *BatchError) Error() string {
	if e.Part == PartHeader {
		return fmt.Sprintf("batch header: %v", e.Err)
	}
	return fmt.Sprintf("batch %d: %s: %v", e.Number, e.Part, e.Err)
}

// Unwrap returns the cause.
func (e *BatchError) Unwrap() error { return e.Err }

// RecordError says which record could not be decoded.
type RecordError struct {
	Code EventCode // not known where Part is PartHeader
	Part Part
	Err  error
}

func (e *RecordError) Error() string {
	if e.Part == PartHeader {
		return fmt.Sprintf("record header: %v", e.Err)
	}
	return fmt.Sprintf("record %v: %s: %v", e.Code, e.Part, e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// truncated returns an ErrTruncated with the numbers of bytes.
func truncated(claimed uint64, remaining int) error {
	return fmt.Errorf("%w: %d bytes claimed, %d remain", ErrTruncated, claimed, remaining)
}
