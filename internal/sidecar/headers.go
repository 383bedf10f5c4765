package sidecar

import (
	"iter"
	"net/http"
	"net/textproto"
	"strings"
)

// The request headers that the application sends, in net/http's canonical spelling. parseRequest is the
// only place that maps them to policy.Request; the rest of the sidecar and package policy use its terms.
const (
	headerRequestID      = "X-Request-Id"     // names the request towards servers; unique among those in flight
	headerPriorityClass  = "X-Priority-Class" // policy.Request.Class, by the class's name
	headerTenantID       = "X-Tenant-Id"      // policy.Request.Tenant, by the tenant's name
	headerRouteKey       = "X-Route-Key"      // policy.Request.Key, as a hash
	headerTimeout        = "X-Timeout"        // policy.Request.Timeout: "480m" is milliseconds, "250u" microseconds
	headerCost           = "X-Cost"           // policy.Request.ExpectedWork, in microseconds
	headerRetried        = "X-Retried"        // policy.Request.ClientRetry, if "1"
	headerAttributes     = "X-Attrs"          // for servers alone: forwarded, not interpreted
	headerIdempotencyKey = "Idempotency-Key"  // needed for policy.IdempotentByKey, refused for policy.NonIdempotent
)

// The response headers of servers that the sidecar interprets.
const (
	headerNotProcessed = "X-Not-Processed" // "1" on a 503 or 504: the request has not run
	headerServerLoad   = "X-Server-Load"   // the server's load report beside its response: not read, and not for the application
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

// flagSet is the value of a header that is a flag.
const flagSet = "1"

// singleValueHeaders lists the headers that decide how a request is handled. A request that repeats one is
// rejected: the sidecar and a server could each go by a different value.
var singleValueHeaders = []string{
	headerRequestID, headerPriorityClass, headerTenantID, headerRouteKey, headerTimeout, headerRetried, headerCost,
	headerAttributes, headerIdempotencyKey, headerContentLength,
}

// hopByHopHeaders lists the headers that are never forwarded: those that concern one connection only, those
// that the sidecar writes itself, and the load report, which is for the sidecar.
var hopByHopHeaders = []string{
	headerConnection, "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	headerContentLength, headerServerLoad,
}

// connectionOptions are what the Connection headers list: close, keep-alive, and the names of headers of this
// connection alone.
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

// endToEnd returns a copy of a message's header without the headers of one connection: the hop-by-hop ones
// and those that Connection names.
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	for name, values := range from {
		to[name] = values
	}
	for name := range connectionOptions(from) {
		to.Del(name)
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
	if to[headerUserAgent] == nil {
		to[headerUserAgent] = nil // present without a value, so that net/http adds no default
	}
	return to
}
