package gossip

import (
	"errors"
	"math"
	"testing"
	"time"

	"cranehatch/policy"
)

func TestNewsComesThrough(t *testing.T) {
	n := policy.GossipMessage{SentAt: 123456789 * time.Microsecond, RequestRate: 18.5, Responses: 40, Congestion: 0.125}
	raw := Encode(n)
	if len(raw) > Most {
		t.Fatalf("%d bytes, at most %d", len(raw), Most)
	}
	got, err := Decode(raw)
	if err != nil || got != n {
		t.Fatalf("%+v, %v; want %+v", got, err, n)
	}
}

func TestWhatIsNoNewsIsAnError(t *testing.T) {
	good := Encode(policy.GossipMessage{SentAt: time.Second})
	for name, raw := range map[string][]byte{
		"nothing":      nil,
		"cut off":      good[:len(good)-1],
		"too long":     append(append([]byte{}, good...), 0),
		"another form": append([]byte("chn2"), good[4:]...),
		"no time":      append([]byte("chn1\xff\xff\xff\xff\xff\xff\xff\xff"), good[12:]...),
	} {
		if _, err := Decode(raw); !errors.Is(err, ErrForm) {
			t.Errorf("%s: %v, want %v", name, err, ErrForm)
		}
	}
}

// Whatever comes, Decode ends with an error or with news that has the same form again.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(policy.GossipMessage{SentAt: time.Hour, RequestRate: 1, Responses: 2, Congestion: 3}))
	f.Add([]byte("chn1"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := Decode(raw)
		if err != nil {
			return
		}
		again, err := Decode(Encode(n))
		same := func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }
		if err != nil || again.SentAt != n.SentAt || !same(again.RequestRate, n.RequestRate) || !same(again.Responses, n.Responses) ||
			!same(again.Congestion, n.Congestion) {
			t.Errorf("%+v became %+v, %v", n, again, err)
		}
	})
}
