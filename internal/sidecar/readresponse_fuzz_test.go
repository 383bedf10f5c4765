package sidecar

import (
	"bytes"
	"maps"
	"slices"
	"testing"
)

// Whatever a server sends, and in whatever pieces it arrives: a response must stay within the limits, and the
// pieces must decide neither whether it is accepted nor what it is.
func FuzzReadResponse(f *testing.F) {
	many := bytes.Repeat([]byte("X: 1\r\n"), maxHeaderFields+1)
	for _, wire := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\n\r\nhi",
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\r\nhi\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.0 503 No\r\nX-Not-Processed: 1\r\n b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + string(many) + "\r\n",
		"HTTP/1.1 200 OK\r\n" + string(many[:len(many)-6]) + "\n\r\nhi",
	} {
		for _, piece := range []uint16{0, 1, 6, 4095} {
			f.Add([]byte(wire), piece)
		}
	}
	f.Fuzz(func(t *testing.T, wire []byte, piece uint16) {
		whole, wholeErr := readResponseIn(wire, len(wire)+1)
		inPieces, err := readResponseIn(wire, int(piece)+1)
		if (err == nil) != (wholeErr == nil) {
			t.Fatalf("in pieces of %d bytes: error %v, at once: error %v", piece+1, err, wholeErr)
		}
		if err != nil {
			return
		}
		if whole.StatusCode != inPieces.StatusCode || !bytes.Equal(whole.body, inPieces.body) || !maps.EqualFunc(whole.Header, inPieces.Header, slices.Equal) {
			t.Fatalf("in pieces of %d bytes: %+v, at once: %+v", piece+1, inPieces, whole)
		}
		fields := 0
		for _, values := range whole.Header {
			fields += len(values)
		}
		if fields > maxHeaderFields || len(whole.body) > maxBodyBytes {
			t.Fatalf("%d fields and a body of %d bytes were accepted", fields, len(whole.body))
		}
	})
}
