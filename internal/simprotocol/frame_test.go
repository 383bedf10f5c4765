package simprotocol

import (
	"bytes"
	"errors"
	"io"
	"math"
	"testing"
	"time"
)

func TestReadBatch(t *testing.T) {
	reader := NewReader(bytes.NewReader(decodeHex(t, `0c000000 03000000 4d000000 00000000206ec040
		3804 27000000 03000000 c4913a5d 0100 640ad2557c3bf091 00000000 0000000000006e40 0000000000002840 00
		2e04 0c000000 03000000 4d00000000000000
		4204 08000000 05000000 192b6f0e`)))
	batch, err := reader.ReadBatch()
	if err != nil || batch.Number != 12 || batch.RecordCount != 3 || batch.Time != 8412250*time.Microsecond {
		t.Fatalf("ReadBatch() = %+v, error %v, want batch 12 with 3 records at 8412.25 ms", batch, err)
	}
	body := batch.Body
	for _, want := range []EventCode{EventRequestArrived, EventTimerFired, EventClientDisconnected} {
		var record Record
		if record, body = nextRecord(t, body); record.Code != want {
			t.Errorf("record code = %v, want %v", record.Code, want)
		}
	}
	if len(body) != 0 {
		t.Errorf("%d bytes after the last record, want none", len(body))
	}
	if _, err := reader.ReadBatch(); !errors.Is(err, io.EOF) {
		t.Fatalf("ReadBatch() error at the end of input = %v, want io.EOF", err)
	}
}

func TestReadBatchOfSeveralChunks(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), readChunkLen/4)
	reader := NewReader(bytes.NewReader(append(encodeBatch(1, uint32(len(body)), 0, string(body)), encodeBatch(0, 0, 0, "")...)))
	if batch, err := reader.ReadBatch(); err != nil || !bytes.Equal(batch.Body, body) {
		t.Errorf("ReadBatch() body has %d bytes, error %v, want %d bytes", len(batch.Body), err, len(body))
	}
	if batch, err := reader.ReadBatch(); err != nil || len(batch.Body) != 0 {
		t.Errorf("ReadBatch() body has %d bytes, error %v, want an empty body", len(batch.Body), err)
	}
}

func TestReadMalformedBatch(t *testing.T) {
	for _, test := range []struct {
		name  string
		input []byte
		part  Part
		err   error
	}{
		{"truncated header", []byte{1, 2, 3}, PartHeader, io.ErrUnexpectedEOF},
		{"truncated body", encodeBatch(1, 100, 0, "short"), PartBody, io.ErrUnexpectedEOF},
		{"missing body", encodeBatch(1, 100, 0, ""), PartBody, io.ErrUnexpectedEOF},
		{"oversized", encodeBatch(1, 1<<31, 0, ""), PartBody, ErrTooLarge},
		{"large and truncated", encodeBatch(1, maxBatchLen, 0, "short"), PartBody, io.ErrUnexpectedEOF},
		{"more records than fit", encodeBatch(100, 6, 0, "abcdef"), PartRecords, ErrTruncated},
		{"time not a number", encodeBatch(0, 0, math.NaN(), ""), PartTime, ErrNotFinite},
		{"time infinite", encodeBatch(0, 0, math.Inf(1), ""), PartTime, ErrNotFinite},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := NewReader(bytes.NewReader(test.input)).ReadBatch()
			var batchError *BatchError
			if !errors.As(err, &batchError) || batchError.Part != test.part || !errors.Is(err, test.err) || errors.Is(err, io.EOF) {
				t.Fatalf("ReadBatch() error = %v, want a BatchError for the %s that wraps %q", err, test.part, test.err)
			}
			if test.part != PartHeader && batchError.Number != 1 {
				t.Errorf("BatchError.Number = %d, want 1", batchError.Number)
			}
		})
	}
}

func TestNextRecordMalformed(t *testing.T) {
	for _, test := range []struct {
		name, input string
		code        EventCode
		part        Part
	}{
		{"truncated header", "e803", 0, PartHeader},
		{"record longer than the batch", "e803 ff000000 03000000", EventHealthChecked, PartFields},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := NextRecord(decodeHex(t, test.input))
			checkRecordError(t, err, test.code, test.part)
		})
	}
}

// Verifies that no input makes a decoder panic.
func FuzzReader(f *testing.F) {
	f.Add(encodeBatch(1, 10, 1, "\x2e\x04\x04\x00\x00\x00\x01\x00\x00\x00"))
	f.Add(encodeBatch(0, 0, 0, ""))
	f.Fuzz(func(_ *testing.T, data []byte) {
		batch, err := NewReader(bytes.NewReader(data)).ReadBatch()
		if err != nil {
			return
		}
		for body := batch.Body; len(body) > 0; {
			record, remaining, err := NextRecord(body)
			if err != nil {
				return
			}
			body = remaining
			record.Instance()
			record.EndpointList()
			record.InstanceStarted()
			record.EndpointsUpdated()
			record.RequestArrived()
			record.AttemptEnded()
			record.HealthChecked()
			record.GossipReceived()
			record.RequestID()
			record.TimerCookie()
		}
	})
}
