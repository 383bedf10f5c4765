package gossip

import (
	"encoding/hex"
	"errors"
	"math"
	"testing"
	"time"

	"cranehatch/policy"
)

func TestRoundTrip(t *testing.T) {
	message := policy.GossipMessage{SentAt: 123456789 * time.Microsecond, RequestRate: 18.5, Responses: 40, Congestion: 0.125}
	datagram := Encode(message)
	if len(datagram) > MaxDatagram {
		t.Fatalf("datagram has %d bytes, want at most %d", len(datagram), MaxDatagram)
	}
	got, err := Decode(datagram)
	if err != nil || got != message {
		t.Fatalf("Decode(Encode()) = %+v, error %v, want %+v", got, err, message)
	}
}

// Guards against a change of the format under the same magic number: sidecars of different builds run at the
// same time and decode each other's datagrams.
func TestWireFormat(t *testing.T) {
	datagram := Encode(policy.GossipMessage{SentAt: 123456789 * time.Microsecond, RequestRate: 18.5, Responses: 40, Congestion: 0.125})
	const want = "63686e31" + "15cd5b0700000000" + "00009441" + "00002042" + "0000003e"
	if got := hex.EncodeToString(datagram); got != want {
		t.Errorf("Encode() = %s, want %s", got, want)
	}
}

func TestDecodeMalformed(t *testing.T) {
	valid := Encode(policy.GossipMessage{SentAt: time.Second})
	for _, test := range []struct {
		name     string
		datagram []byte
	}{
		{"empty", nil},
		{"truncated", valid[:len(valid)-1]},
		{"too long", append(append([]byte{}, valid...), 0)},
		{"another version", append([]byte("chn2"), valid[4:]...)},
		{"negative time", append([]byte("chn1\xff\xff\xff\xff\xff\xff\xff\xff"), valid[12:]...)},
		{"time out of range", append([]byte("chn1\xff\xff\xff\xff\xff\xff\xff\x7f"), valid[12:]...)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Decode(test.datagram); !errors.Is(err, ErrMalformed) {
				t.Errorf("Decode() error = %v, want %v", err, ErrMalformed)
			}
		})
	}
}

// Verifies that for any datagram Decode returns either an error or a message that survives Encode and Decode.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(policy.GossipMessage{SentAt: time.Hour, RequestRate: 1, Responses: 2, Congestion: 3}))
	f.Add([]byte("chn1"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := Decode(datagram)
		if err != nil {
			return
		}
		reproduced, err := Decode(Encode(message))
		equal := func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }
		if err != nil || reproduced.SentAt != message.SentAt || !equal(reproduced.RequestRate, message.RequestRate) ||
			!equal(reproduced.Responses, message.Responses) || !equal(reproduced.Congestion, message.Congestion) {
			t.Errorf("Decode(Encode(%+v)) = %+v, error %v, want the same message", message, reproduced, err)
		}
	})
}
