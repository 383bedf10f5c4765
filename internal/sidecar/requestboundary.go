package sidecar

// requestBoundary tracks where requests end in the byte stream of a connection, so that clientConn.Read never
// returns bytes of two requests at once. Bytes that net/http has buffered can't be inspected; bytes that
// clientConn still holds can. While the sidecar is draining, the bytes in clientConn decide whether the
// connection may be closed after a response.
//
// The boundaries need not be exact: bytes that are held back are returned by the next read.
type requestBoundary struct {
	head          headScanner
	bodyRemaining int64 // bytes of the current body that have not arrived yet
}

// expectBody sets the length of the body that follows the head that ended last.
func (b *requestBoundary) expectBody(length int64) { b.bodyRemaining = length }

// consume returns how many bytes of p belong to the current request, and advances past them. Without an error
// it returns at least 1 unless p is empty.
func (b *requestBoundary) consume(p []byte) (int, error) {
	if b.bodyRemaining > 0 {
		n := int(min(b.bodyRemaining, int64(len(p))))
		b.bodyRemaining -= int64(n)
		return n, nil
	}
	n, _, err := b.head.scan(p)
	return n, err
}
