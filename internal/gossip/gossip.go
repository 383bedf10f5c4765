// Package gossip encodes and decodes the messages that sidecars send to each other. Each message is one
// datagram of fixed size.
package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"cranehatch/policy"
)

// MaxDatagram is the maximum size of a datagram between sidecars, in bytes. Datagrams of this version are
// smaller.
const MaxDatagram = 256

// Layout of a datagram: the magic number, the time in microseconds (int64), the request rate, the number of
// responses and the congestion (float32 each). All numbers are little-endian. Offsets and sizes are in bytes.
const (
	magic        = "chn1" // identifies the format and its version
	sentAtOffset = len(magic)
	valuesOffset = sentAtOffset + 8
	valueSize    = 4
	valueCount   = 3
	datagramSize = valuesOffset + valueCount*valueSize
)

// maxSentAt is the maximum time of a message, in microseconds: half of what a duration can hold, far from
// overflow.
const maxSentAt = math.MaxInt64 / int64(time.Microsecond) / 2

// ErrMalformed is returned by Decode for a datagram of another size, format or version, and for a time that
// is negative or above maxSentAt.
var ErrMalformed = errors.New("malformed gossip message")

// Encode returns the datagram of a message. The time is truncated to microseconds and the other values are
// rounded to float32.
func Encode(message policy.GossipMessage) []byte {
	datagram := append(make([]byte, 0, datagramSize), magic...)
	datagram = binary.LittleEndian.AppendUint64(datagram, uint64(message.SentAt.Microseconds()))
	for _, value := range [valueCount]float64{message.RequestRate, message.Responses, message.Congestion} {
		datagram = binary.LittleEndian.AppendUint32(datagram, math.Float32bits(float32(value)))
	}
	return datagram
}

// Decode decodes a datagram, or returns ErrMalformed. The float32 values may be negative, infinite or NaN;
// package policy validates them.
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

// valueAt returns the float32 value at index, counted from 0.
func valueAt(datagram []byte, index int) float64 {
	bits := binary.LittleEndian.Uint32(datagram[valuesOffset+valueSize*index:])
	return float64(math.Float32frombits(bits))
}
