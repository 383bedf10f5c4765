package gossip

import (
	"errors"
	"math"
	"testing"
	"time"

	"cranehatch/policy"
)

func TestNewsComesThrough(t *testing.T) {
	n := policy.News{At: 123456789 * time.Microsecond, Rate: 18.5, Answers: 40, Crowd: 0.125}
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
	good := Encode(policy.News{At: time.Second})
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
	f.Add(Encode(policy.News{At: time.Hour, Rate: 1, Answers: 2, Crowd: 3}))
	f.Add([]byte("chn1"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := Decode(raw)
		if err != nil {
			return
		}
		again, err := Decode(Encode(n))
		same := func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }
		if err != nil || again.At != n.At || !same(again.Rate, n.Rate) || !same(again.Answers, n.Answers) ||
			!same(again.Crowd, n.Crowd) {
			t.Errorf("%+v became %+v, %v", n, again, err)
		}
	})
}
