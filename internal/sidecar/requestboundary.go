package sidecar

// requestBoundary follows where requests end in the bytes of a connection, so that net/http is handed none of the next
// request together with one. What net/http has buffered can't be seen from outside; what is still here can: it tells
// whether a connection may be closed after a response.
//
// It need not be exact: bytes that are held back are handed over with the next read.
type requestBoundary struct {
	lineLength    int   // bytes of the present line of a head, without its line break
	inHead        bool  // a line of the present head has ended
	bodyRemaining int64 // bytes of the present body that are still to come
}

// expectBody is called with the length of the body behind the head that has ended last.
func (b *requestBoundary) expectBody(length int64) { b.bodyRemaining = length }

// take returns how many of the bytes belong to the present request, at least one where there are any, and counts those.
func (b *requestBoundary) take(p []byte) int {
	if b.bodyRemaining > 0 {
		n := int(min(b.bodyRemaining, int64(len(p))))
		b.bodyRemaining -= int64(n)
		return n
	}
	for i, c := range p {
		switch {
		case c == '\r': // part of a line break
		case c != '\n':
			b.lineLength++
		case b.lineLength == 0 && b.inHead:
			b.inHead = false // an empty line ends the head
			return i + 1
		default:
			b.lineLength, b.inHead = 0, true
		}
	}
	return len(p)
}
