package fleetsim

// Message sizes in bytes. Those of requests and responses are assumed: a head without a body, with IP and TCP headers.
const (
	datagramHeaderBytes   = 28   // IP and UDP
	segmentHeaderBytes    = 40   // IP and TCP
	segmentPayloadBytes   = 1448 // that one TCP segment carries
	requestBytes          = 400
	responseBytes         = 250
	listRequestBytes      = 150 // head of a call of discovery
	listResponseHeadBytes = 120
)

// Traffic counts messages and their bytes, headers included.
type Traffic struct{ Messages, Bytes int64 }

func (t *Traffic) add(bytes int) {
	t.Messages++
	t.Bytes += int64(bytes)
}

func (t *Traffic) merge(other Traffic) {
	t.Messages += other.Messages
	t.Bytes += other.Bytes
}

// TrafficCounts counts what all processes of one kind received and sent.
type TrafficCounts struct{ Received, Sent Traffic }

func (t *TrafficCounts) merge(other TrafficCounts) {
	t.Received.merge(other.Received)
	t.Sent.merge(other.Sent)
}

// wireBytes is the size of a message body with the headers of the TCP segments that carry it.
func wireBytes(body int) int {
	segments := max(1, (body+segmentPayloadBytes-1)/segmentPayloadBytes)
	return body + segmentHeaderBytes*segments
}
