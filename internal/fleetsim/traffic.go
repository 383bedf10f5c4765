package fleetsim

// Message sizes in bytes. Those of requests and responses are assumed: a head without a body.
const (
	datagramHeaderBytes   = 28   // IP and UDP headers
	segmentHeaderBytes    = 40   // IP and TCP headers
	segmentPayloadBytes   = 1448 // maximum payload of a TCP segment
	requestBytes          = 400  // with IP and TCP headers
	responseBytes         = 250  // with IP and TCP headers
	listRequestBytes      = 150  // head of a call to discovery
	listResponseHeadBytes = 120  // head of its response
)

// Traffic counts messages and their bytes, including headers.
type Traffic struct{ Messages, Bytes int64 }

func (t *Traffic) add(bytes int) {
	t.Messages++
	t.Bytes += int64(bytes)
}

func (t *Traffic) merge(other Traffic) {
	t.Messages += other.Messages
	t.Bytes += other.Bytes
}

// TrafficCounts counts the messages that all processes of one kind received and sent.
type TrafficCounts struct{ Received, Sent Traffic }

func (t *TrafficCounts) merge(other TrafficCounts) {
	t.Received.merge(other.Received)
	t.Sent.merge(other.Sent)
}

// wireBytes returns the size of a message including the headers of the TCP segments that carry it.
func wireBytes(messageBytes int) int {
	segments := max(1, (messageBytes+segmentPayloadBytes-1)/segmentPayloadBytes)
	return messageBytes + segmentHeaderBytes*segments
}
