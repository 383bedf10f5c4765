package simprotocol

import (
	"encoding/binary"
	"math"
	"time"

	"cranehatch/internal/loadreport"
	"cranehatch/internal/millis"
	"cranehatch/policy"
)

// Sizes of fields, in bytes.
const (
	addressLen     = 6 // IPv4 address (4) and port (2)
	reportValueLen = 4 // float32
)

// cursor decodes the fields of a record in order. A field that is missing sets truncated; it and all further
// fields are decoded as zero. A caller can therefore decode all fields and call err once.
type cursor struct {
	code      EventCode // event code of the record, for error messages
	remaining []byte    // bytes that have not been decoded
	truncated bool      // a field was missing
}

// fields returns a cursor positioned at the first field of the record.
func (r Record) fields() cursor { return cursor{code: r.Code, remaining: r.Fields} }

// instanceFields returns a cursor positioned after the instance number, the first field of most records.
func (r Record) instanceFields() cursor {
	c := r.fields()
	c.uint32()
	return c
}

// err returns a *RecordError if a field was missing.
func (c *cursor) err() error {
	if c.truncated {
		return &RecordError{Code: c.code, Part: PartFields, Err: ErrTruncated}
	}
	return nil
}

// bytes returns the next n bytes, or nil if fewer remain.
func (c *cursor) bytes(n int) []byte {
	if c.truncated || n < 0 || n > len(c.remaining) {
		c.truncated = true
		return nil
	}
	field := c.remaining[:n]
	c.remaining = c.remaining[n:]
	return field
}

func (c *cursor) uint8() uint8 {
	if field := c.bytes(1); field != nil {
		return field[0]
	}
	return 0
}

func (c *cursor) bool() bool { return c.uint8() != 0 }

func (c *cursor) uint16() uint16 {
	if field := c.bytes(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

func (c *cursor) uint32() uint32 {
	if field := c.bytes(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

func (c *cursor) uint64() uint64 {
	if field := c.bytes(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

func (c *cursor) float32() float32 { return math.Float32frombits(c.uint32()) }

func (c *cursor) duration() time.Duration {
	return millis.ToDuration(math.Float64frombits(c.uint64()))
}

func (c *cursor) requestID() policy.RequestID { return policy.RequestID(c.uint32()) }

// endpointID decodes an IPv4 address and port as one little-endian number of six bytes.
func (c *cursor) endpointID() policy.EndpointID {
	field := c.bytes(addressLen)
	if field == nil {
		return 0
	}
	var padded [8]byte
	copy(padded[:], field)
	return policy.EndpointID(binary.LittleEndian.Uint64(padded[:]))
}

// loadReport decodes a load report. Values beyond loadreport.MaxValues are skipped.
func (c *cursor) loadReport() loadreport.Report {
	var report loadreport.Report
	count := int(c.uint8())
	field := c.bytes(reportValueLen * count)
	if field == nil {
		return report
	}
	report.Count = min(count, loadreport.MaxValues)
	for i := range report.Count {
		report.Values[i] = math.Float32frombits(binary.LittleEndian.Uint32(field[reportValueLen*i:]))
	}
	return report
}
