package sidecar

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"cranehatch/policy"
)

const (
	// maxTimeout is the longest duration that parseTimeout returns. Longer ones are clamped to it.
	maxTimeout = time.Hour
	// maxDeadlineMultiple limits a client's timeout, as a multiple of the deadline of the request's class.
	maxDeadlineMultiple = 10
)

// rejectionError is the reason why a request is not accepted, and the response to its client. A rejected
// request reaches neither package policy nor a server. Functions return this type rather than error because
// every rejection has a status.
type rejectionError struct {
	status     int
	reason     string
	retryAfter time.Duration // with status 503: when the client should retry; 0: not stated
}

func (e *rejectionError) Error() string {
	return fmt.Sprintf("request rejected with status %d: %s", e.status, e.reason)
}

func reject(status int, reason string) *rejectionError {
	return &rejectionError{status: status, reason: reason}
}

// rejectUntil rejects a request that the client may retry safely, preferably after retryAfter.
func rejectUntil(retryAfter time.Duration, reason string) *rejectionError {
	return &rejectionError{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// parsedRequest holds the values of the headers of a valid request.
type parsedRequest struct {
	policy  policy.Request // without ID and Timeout, which eventLoop.submit sets
	timeout time.Duration  // the client's timeout, from the arrival of the request's head
}

// parseRequest validates a request and maps its headers to policy.Request. Nothing invalid may reach package
// policy or a server: a server would respond 400, which would count as a failure of that server.
//
// The order of the checks determines the status and reason of a request that is invalid in several ways.
func (in *ingress) parseRequest(r *http.Request) (parsed parsedRequest, rejection *rejectionError) {
	if rejection = checkFraming(r); rejection != nil {
		return parsed, rejection
	}
	if rejection = checkSingleValues(r.Header); rejection != nil {
		return parsed, rejection
	}
	if rejection = checkConnection(r.Header); rejection != nil {
		return parsed, rejection
	}
	if parsed.policy.Class, rejection = in.parseClass(r); rejection != nil {
		return parsed, rejection
	}
	class := &in.cfg.Policy.Classes[parsed.policy.Class]
	if rejection = checkMethod(r, class); rejection != nil {
		return parsed, rejection
	}
	if rejection = checkIdempotency(r, class); rejection != nil {
		return parsed, rejection
	}
	if parsed.policy.Tenant, rejection = in.parseTenant(r.Header); rejection != nil {
		return parsed, rejection
	}
	if parsed.timeout, rejection = parseClientTimeout(r.Header, class); rejection != nil {
		return parsed, rejection
	}
	if parsed.policy.ExpectedWork, rejection = parseCost(r.Header); rejection != nil {
		return parsed, rejection
	}
	parsed.policy.Key = hashRouteKey(r.Header)
	parsed.policy.ClientRetry = r.Header.Get(headerRetried) == headerFlagTrue
	return parsed, nil
}

// checkFraming rejects requests whose length or target is ambiguous.
//
// It guards against request smuggling: the body of a request with both Content-Length and Transfer-Encoding
// can hide a second request from a recipient that uses the other of the two headers. net/http removes the
// Content-Length of such a request, so every request with Transfer-Encoding is rejected. net/http ignores
// Transfer-Encoding in HTTP/1.0, so that version is rejected altogether.
func checkFraming(r *http.Request) *rejectionError {
	if len(r.TransferEncoding) > 0 {
		return reject(http.StatusLengthRequired, "Transfer-Encoding is not taken, send Content-Length")
	}
	if !r.ProtoAtLeast(1, 1) {
		return reject(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return reject(http.StatusBadRequest, "the target is no path")
	}
	return nil
}

// checkSingleValues rejects requests that repeat a header of singleValueHeaders, and requests without an
// X-Request-ID.
func checkSingleValues(h http.Header) *rejectionError {
	for _, name := range singleValueHeaders {
		if len(h[name]) > 1 {
			return reject(http.StatusBadRequest, name+" is given twice")
		}
	}
	if h.Get(headerRequestID) == "" {
		return reject(http.StatusBadRequest, "X-Request-ID is missing")
	}
	return nil
}

// checkConnection rejects requests whose Connection header names a header that decides how the request is
// handled. Headers named there are not forwarded: the server would get the request without its ID or its
// idempotency key, and could run it twice.
func checkConnection(h http.Header) *rejectionError {
	for name := range connectionOptions(h) {
		if slices.Contains(singleValueHeaders, http.CanonicalHeaderKey(name)) {
			return reject(http.StatusBadRequest, "Connection names "+name+", which is for servers")
		}
	}
	return nil
}

// parseClass returns the index of the request's class, which both X-Priority-Class and the first path segment
// must name.
func (in *ingress) parseClass(r *http.Request) (int, *rejectionError) {
	name := r.Header.Get(headerPriorityClass)
	class, ok := in.cfg.Classes[name]
	if !ok {
		return 0, reject(http.StatusBadRequest, "X-Priority-Class names no class")
	}
	if rejection := checkPath(r, name); rejection != nil {
		return 0, rejection
	}
	return class, nil
}

// checkPath rejects a path whose first segment does not name the class, or that a server may interpret as a
// path of another class. The path is forwarded unchanged. An encoded slash does not end a segment here, but
// may do so at a server that decodes the path first; dot segments may resolve to the path of another class.
func checkPath(r *http.Request, class string) *rejectionError {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if name, err := url.PathUnescape(first); err != nil || name != class {
		return reject(http.StatusBadRequest, "the path is of another class than X-Priority-Class")
	}
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return reject(http.StatusBadRequest, "the path has dot segments")
		}
	}
	return nil
}

// methodFor maps each idempotency to the method that its requests must have.
var methodFor = map[policy.Idempotency]string{
	policy.Idempotent:      http.MethodGet,
	policy.IdempotentByKey: http.MethodPost,
	policy.NonIdempotent:   http.MethodPost,
}

func checkMethod(r *http.Request, class *policy.Class) *rejectionError {
	if method := methodFor[class.Idempotency]; r.Method != method {
		return reject(http.StatusMethodNotAllowed, "requests of this class are sent with "+method)
	}
	return nil
}

// checkIdempotency rejects requests whose idempotency key or body does not match the idempotency of their
// class, and bodies over maxBodyBytes.
func checkIdempotency(r *http.Request, class *policy.Class) *rejectionError {
	key := r.Header.Get(headerIdempotencyKey)
	switch {
	case class.Idempotency == policy.IdempotentByKey && key == "":
		return reject(http.StatusBadRequest, "Idempotency-Key is missing")
	case class.Idempotency == policy.NonIdempotent && key != "":
		return reject(http.StatusBadRequest, "Idempotency-Key is of no use in this class")
	case class.Idempotency == policy.Idempotent && r.ContentLength != 0:
		return reject(http.StatusBadRequest, "GET has no body")
	case class.Idempotency != policy.Idempotent && r.Header[headerContentLength] == nil:
		return reject(http.StatusLengthRequired, "Content-Length is missing")
	case r.ContentLength > maxBodyBytes:
		return reject(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	return nil
}

// parseTenant returns the index of the request's tenant, or 0 if no tenants are configured.
func (in *ingress) parseTenant(h http.Header) (int, *rejectionError) {
	if len(in.cfg.Tenants) == 0 {
		return 0, nil
	}
	tenant, ok := in.cfg.Tenants[h.Get(headerTenantID)]
	if !ok {
		return 0, reject(http.StatusBadRequest, "X-Tenant-Id names no tenant")
	}
	return tenant, nil
}

func parseClientTimeout(h http.Header, class *policy.Class) (time.Duration, *rejectionError) {
	timeout, ok := parseTimeout(h.Get(headerTimeout))
	if !ok || timeout <= 0 || timeout > maxDeadlineMultiple*class.Deadline {
		return 0, reject(http.StatusBadRequest, "X-Timeout is missing, malformed or out of range")
	}
	return timeout, nil
}

// parseCost returns the expected work of a request, or 0 if the client does not state it.
func parseCost(h http.Header) (time.Duration, *rejectionError) {
	cost := h.Get(headerCost)
	if cost == "" {
		return 0, nil
	}
	work, ok := parseTimeout(cost + "u")
	if !ok {
		return 0, reject(http.StatusBadRequest, "X-Cost is malformed")
	}
	return work, nil
}

// hashRouteKey returns the hash of a request's route key, or 0 if it has none.
func hashRouteKey(h http.Header) uint64 {
	key := h.Get(headerRouteKey)
	if key == "" {
		return 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, key) // a hash never returns an error
	return hash.Sum64()
}

// parseTimeout parses a duration: a decimal number with the unit m (milliseconds) or u (microseconds).
func parseTimeout(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	if !ok || strings.Trim(number, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(n*float64(unit), float64(maxTimeout))), true
}
