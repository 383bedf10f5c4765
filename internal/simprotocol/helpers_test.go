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

// decodeHex decodes hexadecimal text with white space. Most records in the tests are the examples of the
// protocol documentation.
func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.NewReplacer(" ", "", "\n", "", "\t", "").Replace(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// nextRecord calls NextRecord and fails the test on an error.
func nextRecord(t testing.TB, body []byte) (Record, []byte) {
	t.Helper()
	record, remaining, err := NextRecord(body)
	if err != nil {
		t.Fatal(err)
	}
	return record, remaining
}

// exampleEndpoint returns the ID of the first endpoint in the example list of the protocol documentation.
func exampleEndpoint(t testing.TB) policy.EndpointID {
	t.Helper()
	c := cursor{remaining: decodeHex(t, "0a124a07 931f")}
	return c.endpointID()
}

// encodeBatch encodes a batch with number 1.
func encodeBatch(records, size uint32, now float64, body string) []byte {
	b := binary.LittleEndian.AppendUint32(nil, 1)
	b = binary.LittleEndian.AppendUint32(b, records)
	b = binary.LittleEndian.AppendUint32(b, size)
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(now))
	return append(b, body...)
}

// checkRecordError checks that err is a RecordError with this code and part that wraps ErrTruncated.
func checkRecordError(t testing.TB, err error, code EventCode, part Part) {
	t.Helper()
	var recordError *RecordError
	if !errors.As(err, &recordError) || recordError.Code != code || recordError.Part != part || !errors.Is(err, ErrTruncated) {
		t.Errorf("error = %v, want a RecordError for truncated %s of record %v", err, part, code)
	}
}
