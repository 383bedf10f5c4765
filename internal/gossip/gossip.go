// Package gossip is the form in which sidecars tell one another news: one datagram each, of one size.
package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"cranehatch/policy"
)

// Most is the longest datagram that may pass between sidecars.
const Most = 256

// A datagram is the mark, then, little-endian, the time in microseconds as an int64 and three float32:
// rate, answers, crowd. The mark names the form: another form, or a sender of another kind, has another.
const (
	mark = "chn1"
	size = len(mark) + 8 + 3*4
)

// ErrForm is what Decode returns for anything that Encode did not make.
var ErrForm = errors.New("no news in the form of this version")

// Encode puts news into a datagram.
func Encode(n policy.GossipMessage) []byte {
	out := append(make([]byte, 0, size), mark...)
	out = binary.LittleEndian.AppendUint64(out, uint64(n.SentAt.Microseconds()))
	for _, f := range []float64{n.RequestRate, n.Responses, n.Congestion} {
		out = binary.LittleEndian.AppendUint32(out, math.Float32bits(float32(f)))
	}
	return out
}

// Decode reads a datagram. Whether its figures can be is for those to judge who use them, but times that
// no clock tells are no news.
func Decode(raw []byte) (policy.GossipMessage, error) {
	if len(raw) != size || string(raw[:len(mark)]) != mark {
		return policy.GossipMessage{}, ErrForm
	}
	at := int64(binary.LittleEndian.Uint64(raw[len(mark):]))
	if at < 0 || at > math.MaxInt64/int64(time.Microsecond)/2 {
		return policy.GossipMessage{}, ErrForm
	}
	figure := func(i int) float64 {
		return float64(math.Float32frombits(binary.LittleEndian.Uint32(raw[len(mark)+8+4*i:])))
	}
	return policy.GossipMessage{SentAt: time.Duration(at) * time.Microsecond, RequestRate: figure(0), Responses: figure(1), Congestion: figure(2)}, nil
}
