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
	maxTimeout          = time.Hour // longer durations are cut to this
	maxDeadlineMultiple = 10        // a timeout of more than this many deadlines of its class is rejected
)

// rejectionError is why a request is not accepted. It is the response for its client; neither package policy
// nor a server gets to know of the request. Functions return it as this type and not as error, as every
// rejection has a status.
type rejectionError struct {
	status int
	reason string
}

func (e *rejectionError) Error() string {
	return fmt.Sprintf("request rejected with status %d: %s", e.status, e.reason)
}

func reject(status int, reason string) *rejectionError {
	return &rejectionError{status: status, reason: reason}
}

// parsedRequest is what the headers of a valid request say.
type parsedRequest struct {
	policy  policy.Request // ID and Timeout are set when the event loop accepts it
	timeout time.Duration  // the client's, from the arrival of the request's head
}

// parseRequest validates a request and maps its headers to policy.Request. Nothing invalid may reach package
// policy or a server: a server would answer 400, which would count as a failure of that server.
//
// The order of the checks decides which status and reason a request with several faults gets.
func (f *ingress) parseRequest(r *http.Request) (parsed parsedRequest, rejected *rejectionError) {
	if rejected = checkFraming(r); rejected != nil {
		return parsed, rejected
	}
	if rejected = checkIdentity(r.Header); rejected != nil {
		return parsed, rejected
	}
	if rejected = checkConnection(r.Header); rejected != nil {
		return parsed, rejected
	}
	if parsed.policy.Class, rejected = f.parseClass(r); rejected != nil {
		return parsed, rejected
	}
	class := &f.cfg.Policy.Classes[parsed.policy.Class]
	if rejected = checkMethod(r, class); rejected != nil {
		return parsed, rejected
	}
	if rejected = checkIdempotency(r, class); rejected != nil {
		return parsed, rejected
	}
	if parsed.policy.Tenant, rejected = f.parseTenant(r.Header); rejected != nil {
		return parsed, rejected
	}
	if parsed.timeout, rejected = parseClientTimeout(r.Header, class); rejected != nil {
		return parsed, rejected
	}
	if parsed.policy.ExpectedWork, rejected = parseCost(r.Header); rejected != nil {
		return parsed, rejected
	}
	parsed.policy.Key = hashRouteKey(r.Header)
	parsed.policy.ClientRetry = r.Header.Get(headerRetried) == flagSet
	return parsed, nil
}

// checkFraming rejects requests whose end or target is in doubt.
//
// It guards against request smuggling: a request with both Content-Length and Transfer-Encoding can hide a
// second request in its body, from whoever goes by the other header. net/http has dropped the Content-Length
// of such a request already, so Transfer-Encoding alone is rejected. With HTTP/1.0, net/http ignores
// Transfer-Encoding, so that version is rejected as a whole.
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

// checkIdentity rejects requests with no id, or with several values where only one can count.
func checkIdentity(h http.Header) *rejectionError {
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

// checkConnection rejects requests that name a header which decides how they are handled as one of the connection.
// Such headers are dropped on the way: the server would get the request without its id, or without its idempotency
// key, and could run it twice.
func checkConnection(h http.Header) *rejectionError {
	for name := range connectionOptions(h) {
		if slices.Contains(singleValueHeaders, http.CanonicalHeaderKey(name)) {
			return reject(http.StatusBadRequest, "Connection names "+name+", which is for servers")
		}
	}
	return nil
}

// parseClass returns the number of the request's class, which the header names and the path begins with.
func (f *ingress) parseClass(r *http.Request) (int, *rejectionError) {
	name := r.Header.Get(headerPriorityClass)
	class, ok := f.cfg.Classes[name]
	if !ok {
		return 0, reject(http.StatusBadRequest, "X-Priority-Class names no class")
	}
	if rejected := checkPath(r, name); rejected != nil {
		return 0, rejected
	}
	return class, nil
}

// checkPath rejects a path whose first segment does not name the class, or may not for a server: the path is
// forwarded as it is. An encoded slash ends no segment here, but may for a server that decodes the path first;
// dot segments may be resolved to the path of another class.
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

// methodFor is the method that requests of each idempotency must have.
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

// checkIdempotency rejects requests whose idempotency key or body does not fit their class.
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

// parseTenant returns the number of the request's tenant; 0 where none are configured.
func (f *ingress) parseTenant(h http.Header) (int, *rejectionError) {
	if len(f.cfg.Tenants) == 0 {
		return 0, nil
	}
	tenant, ok := f.cfg.Tenants[h.Get(headerTenantID)]
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

// parseCost returns the expected work of a request; 0 where it is not known.
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

// hashRouteKey returns the number that stands for a request's route key; 0 where it has none.
func hashRouteKey(h http.Header) uint64 {
	key := h.Get(headerRouteKey)
	if key == "" {
		return 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, key) // a hash never returns an error
	return hash.Sum64()
}

// parseTimeout reads a duration: a decimal number with the unit m (milliseconds) or u (microseconds).
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
