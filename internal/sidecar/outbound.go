package sidecar

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// headSizeEstimate is the capacity, in bytes, that encode reserves for the request line and the headers.
const headSizeEstimate = 512

// outboundRequest is a request as it is sent to servers, except for the timeout. All attempts of a request
// share it, so it is immutable.
type outboundRequest struct {
	method       string
	uri          string // as the client sent it
	host         string
	header       http.Header // end-to-end headers only
	body         []byte
	clientClosed func() bool   // reports whether the client has closed its connection; nil: there is no client
	memory       *memoryCharge // of long responses; nil: no response may be long
}

// newOutboundRequest returns the request to forward for a client's request, whose body has been read.
func newOutboundRequest(r *http.Request, body requestBody, clientClosed func() bool) *outboundRequest {
	return &outboundRequest{
		method:       r.Method,
		uri:          r.RequestURI,
		host:         r.Host,
		header:       endToEndHeaders(r.Header),
		body:         body.bytes,
		clientClosed: clientClosed,
		memory:       body.responseMemory,
	}
}

// clientDisconnected reports whether the client has disconnected, so that no response is needed any more.
func (r *outboundRequest) clientDisconnected() bool { return r.clientClosed != nil && r.clientClosed() }

// encode returns the request in wire format. A client's request carries the time remaining for the response
// in place of the client's own timeout; health checks, which have no request id, carry no timeout.
//
// The method, target and headers need no check for line breaks, which could end the header early: net/http
// has parsed them and accepts none.
func (r *outboundRequest) encode(remaining time.Duration) []byte {
	var buf bytes.Buffer
	buf.Grow(headSizeEstimate + len(r.body))
	buf.WriteString(r.method + " " + r.uri + " HTTP/1.1\r\n")
	writeHeaderField(&buf, headerHost, r.host)
	if r.header.Get(headerRequestID) != "" {
		writeHeaderField(&buf, headerTimeout, formatTimeout(remaining))
	}
	for name, values := range r.header {
		if name == headerTimeout {
			continue
		}
		for _, value := range values {
			writeHeaderField(&buf, name, value)
		}
	}
	if r.method != http.MethodGet {
		writeHeaderField(&buf, headerContentLength, strconv.Itoa(len(r.body)))
	}
	buf.WriteString("\r\n")
	buf.Write(r.body)
	return buf.Bytes()
}

func writeHeaderField(buf *bytes.Buffer, name, value string) {
	buf.WriteString(name + ": " + value + "\r\n")
}

// formatTimeout formats the value of X-Timeout: whole milliseconds, at least 1.
func formatTimeout(timeout time.Duration) string {
	return strconv.FormatInt(max(1, timeout.Milliseconds()), 10) + "m"
}
