package sidecar

import (
	"iter"
	"net/http"
	"net/textproto"
	"strings"
)

// Request headers that the application sends, in net/http's canonical spelling. Only parseRequest maps them
// to policy.Request; the rest of the sidecar and package policy use the terms of policy.Request.
const (
	headerRequestID      = "X-Request-Id"     // identifies the request to servers; unique among those in flight
	headerPriorityClass  = "X-Priority-Class" // name of policy.Request.Class
	headerTenantID       = "X-Tenant-Id"      // name of policy.Request.Tenant
	headerRouteKey       = "X-Route-Key"      // policy.Request.Key is its hash
	headerTimeout        = "X-Timeout"        // policy.Request.Timeout: "480m" is milliseconds, "250u" microseconds
	headerCost           = "X-Cost"           // policy.Request.ExpectedWork, in microseconds
	headerRetried        = "X-Retried"        // policy.Request.ClientRetry, if "1"
	headerAttributes     = "X-Attrs"          // for servers only: forwarded, not interpreted
	headerIdempotencyKey = "Idempotency-Key"  // policy.IdempotentByKey: required; policy.NonIdempotent: rejected
)

// Response headers of servers that the sidecar handles itself.
const (
	// headerNotProcessed is "1" on a 503 or 504 if the request has not run.
	headerNotProcessed = "X-Not-Processed"
	// headerServerLoad is the server's load report. In responses to requests it is neither read nor forwarded
	// to the application.
	headerServerLoad = "X-Server-Load"
)

// Standard headers that the sidecar sets or checks.
const (
	headerConnection    = "Connection"
	headerContentLength = "Content-Length"
	headerContentType   = "Content-Type"
	headerHost          = "Host"
	headerRetryAfter    = "Retry-After"
	headerUserAgent     = "User-Agent"
)

// headerFlagTrue is the value of a boolean header that is set.
const headerFlagTrue = "1"

// singleValueHeaders lists the headers that decide how a request is handled. A request that repeats one of
// them is rejected: the sidecar and a server could each use a different value.
var singleValueHeaders = []string{
	headerRequestID, headerPriorityClass, headerTenantID, headerRouteKey, headerTimeout, headerRetried, headerCost,
	headerAttributes, headerIdempotencyKey, headerContentLength,
}

// unforwardedHeaders lists the headers that are never forwarded: the hop-by-hop headers, those that the
// sidecar writes itself, and the servers' load report, which is not meant for the application.
var unforwardedHeaders = []string{
	headerConnection, "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	headerContentLength, headerServerLoad,
}

// connectionOptions returns the options listed in the Connection headers: close, keep-alive, and the names of
// headers that apply to this connection only.
func connectionOptions(h http.Header) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, list := range h[headerConnection] {
			for option := range strings.SplitSeq(list, ",") {
				if !yield(textproto.TrimString(option)) {
					return
				}
			}
		}
	}
}

// endToEndHeaders returns a copy of a message's header without the headers that must not be forwarded: those
// in unforwardedHeaders and those that Connection names.
func endToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		to[name] = values
	}
	for name := range connectionOptions(from) {
		to.Del(name)
	}
	for _, name := range unforwardedHeaders {
		delete(to, name)
	}
	if to[headerUserAgent] == nil {
		to[headerUserAgent] = nil // no value: encode writes none, and net/http's client would not add its own
	}
	return to
}
