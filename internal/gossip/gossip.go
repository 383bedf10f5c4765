// Package gossip is the codec of the messages that sidecars send each other: one datagram of fixed size each.
package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"cranehatch/policy"
)

// MaxDatagram is the maximum size of a datagram between sidecars, in bytes.
const MaxDatagram = 256

// Layout of a datagram: the magic number, then, little-endian, the time in microseconds as an int64, and
// request rate, responses and congestion as a float32 each. Offsets and sizes are in bytes.
const (
	magic        = "chn1" // identifies the format and its version
	sentAtOffset = len(magic)
	valuesOffset = sentAtOffset + 8
	valueSize    = 4
	valueCount   = 3
	datagramSize = valuesOffset + valueCount*valueSize
)

// maxSentAt is the maximum time of a message, in microseconds, far from the overflow of a duration.
const maxSentAt = math.MaxInt64 / int64(time.Microsecond) / 2

// ErrMalformed is the error of Decode for a datagram of another size, format or version, or with a time that
// is out of range.
var ErrMalformed = errors.New("malformed gossip message")

// Encode returns a message as a datagram. The time is truncated to microseconds, the values are rounded to
// float32.
func Encode(message policy.GossipMessage) []byte {
	datagram := append(make([]byte, 0, datagramSize), magic...)
	datagram = binary.LittleEndian.AppendUint64(datagram, uint64(message.SentAt.Microseconds()))
	for _, value := range [valueCount]float64{message.RequestRate, message.Responses, message.Congestion} {
		datagram = binary.LittleEndian.AppendUint32(datagram, math.Float32bits(float32(value)))
	}
	return datagram
}

// Decode decodes a datagram, or returns ErrMalformed. The values may be negative or NaN: package policy
// checks whether they are plausible.
func Decode(datagram []byte) (policy.GossipMessage, error) {
	if len(datagram) != datagramSize || string(datagram[:len(magic)]) != magic {
		return policy.GossipMessage{}, ErrMalformed
	}
	sentAt := int64(binary.LittleEndian.Uint64(datagram[sentAtOffset:]))
	if sentAt < 0 || sentAt > maxSentAt {
		return policy.GossipMessage{}, ErrMalformed
	}
	return policy.GossipMessage{
		SentAt:      time.Duration(sentAt) * time.Microsecond,
		RequestRate: valueAt(datagram, 0),
		Responses:   valueAt(datagram, 1),
		Congestion:  valueAt(datagram, 2),
	}, nil
}

// valueAt returns the value at an index from 0.
func valueAt(datagram []byte, index int) float64 {
	bits := binary.LittleEndian.Uint32(datagram[valuesOffset+valueSize*index:])
	return float64(math.Float32frombits(bits))
}
