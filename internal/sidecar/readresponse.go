package sidecar

import (
	"fmt"
	"io"
	"net/http"
)

const (
	maxBodyBytes        = 64 << 10  // bytes of a body, of requests and of responses
	maxResponseBytes    = 512 << 10 // bytes of a whole response on the wire, with headers and framing
	maxInterimResponses = 8         // 1xx responses that are skipped before the final one
)

// serverResponse is a complete response of a server. Its body has been read.
type serverResponse struct {
	*http.Response
	body []byte
}

// readResponse reads one complete response to a request of a method, which decides whether there is a body.
// Its size is bounded, so that a faulty server can't exhaust the memory of the process.
func (c *conn) readResponse(method string) (*serverResponse, error) {
	c.responseLimit.N = maxResponseBytes
	request := &http.Request{Method: method}
	for range maxInterimResponses {
		res, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, fmt.Errorf("transport: read the response's head: %w", err)
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		body, err := readResponseBody(res)
		if err != nil {
			return nil, err
		}
		return &serverResponse{Response: res, body: body}, nil
	}
	return nil, errTooManyInterimHeads
}

// readResponseBody reads a body whose end is certain: one of a given length, or one in chunks.
//
// A body that ends with its connection is not accepted. It can't be told from one that was cut off, and
// servers keep their connections open.
func readResponseBody(res *http.Response) ([]byte, error) {
	switch {
	case res.ContentLength > maxBodyBytes:
		return nil, errBodyTooLong // before any of it is read
	case res.ContentLength >= 0:
		return readSizedBody(res)
	case len(res.TransferEncoding) == 0:
		return nil, errBodyUndelimited
	}
	return readChunkedBody(res)
}

func readSizedBody(res *http.Response) ([]byte, error) {
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return nil, fmt.Errorf("transport: read the response's body: %w", err)
	}
	return body, nil
}

func readChunkedBody(res *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("transport: read the response's chunks: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, errBodyTooLong
	}
	return body, nil
}
