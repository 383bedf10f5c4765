package sidecar

import (
	"fmt"
	"io"
	"net/http"
)

const (
	// maxBodyBytes limits the body of a request or a response. An endless response holds its request until it
	// exceeds the limit.
	maxBodyBytes = 256 << 10
	// maxFramedBodyBytes limits the body of a response on the wire, with its framing.
	maxFramedBodyBytes = 2 * maxBodyBytes
)

// serverResponse is a complete response of a server, with its body read.
type serverResponse struct {
	*http.Response
	body []byte
}

// readResponse reads one complete response. The method of its request decides whether the response has a
// body. The memory of a long body is taken from charge.
func (c *conn) readResponse(method string, charge *memoryCharge) (*serverResponse, error) {
	res, err := c.reader.readHead(&http.Request{Method: method})
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	body, err := readResponseBody(res, charge)
	if err != nil {
		return nil, fmt.Errorf("transport: read response body: %w", err)
	}
	return &serverResponse{Response: res, body: body}, nil
}

// readResponseBody reads a whole body.
//
// A body with neither a Content-Length nor chunked encoding ends where the server ends the connection in order
// (FIN). A reset is no such end: a process that dies resets its connections, so the rest of the body may be
// missing.
func readResponseBody(res *http.Response, charge *memoryCharge) ([]byte, error) {
	if res.ContentLength > maxBodyBytes {
		return nil, errBodyTooLarge // before any of the body is read
	}
	if 0 <= res.ContentLength && res.ContentLength <= shortResponseBytes {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	return io.ReadAll(&bodyReader{source: res.Body, maxBytes: maxBodyBytes, charge: charge})
}
