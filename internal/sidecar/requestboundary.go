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

// inHead reports whether a part of a head has been consumed.
func (b *requestBoundary) inHead() bool { return b.head != headScanner{} }

// consume returns how many bytes of p belong to the current request, and advances past them. It also returns
// whether its head or its body is complete with them. Without an error it consumes at least 1 byte unless p is empty.
func (b *requestBoundary) consume(p []byte) (n int, complete bool, err error) {
	if b.bodyRemaining > 0 {
		n = int(min(b.bodyRemaining, int64(len(p))))
		b.bodyRemaining -= int64(n)
		return n, b.bodyRemaining == 0, nil
	}
	return b.head.scan(p)
}
