package simprotocol

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math"
	"strings"
	"testing"

	"cranehatch/policy"
)

// unhex decodes hexadecimal text with white space. The records of the tests are examples of the protocol page.
func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.NewReplacer(" ", "", "\n", "", "\t", "").Replace(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// nextRecord decodes the first record of a body.
func nextRecord(t testing.TB, body []byte) (Record, []byte) {
	t.Helper()
	record, remaining, err := NextRecord(body)
	if err != nil {
		t.Fatal(err)
	}
	return record, remaining
}

// exampleEndpoint returns the ID of the first endpoint of the protocol page's list.
func exampleEndpoint(t testing.TB) policy.EndpointID {
	t.Helper()
	c := cursor{remaining: unhex(t, "0a124a07 931f")}
	return c.endpointID()
}

// frame builds batch 1.
func frame(records, size uint32, now float64, body string) []byte {
	b := binary.LittleEndian.AppendUint32(nil, 1)
	b = binary.LittleEndian.AppendUint32(b, records)
	b = binary.LittleEndian.AppendUint32(b, size)
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(now))
	return append(b, body...)
}

// checkRecordError checks that err is a RecordError of that code and part that wraps ErrTruncated.
func checkRecordError(t testing.TB, err error, code EventCode, part Part) {
	t.Helper()
	var recordError *RecordError
	if !errors.As(err, &recordError) || recordError.Code != code || recordError.Part != part || !errors.Is(err, ErrTruncated) {
		t.Errorf("error %v, want a truncated %s of record %v", err, part, code)
	}
}
