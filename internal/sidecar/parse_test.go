package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cranehatch/policy"
)

// An invalid request must get the status for what is wrong with it, and no attempt. A body of the maximum
// length is valid.
func TestBadInput(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	for name, c := range map[string]struct {
		method  string
		path    string
		body    string
		headers []string // pairs of name and value; an empty value removes the header
		status  int
	}{
		"no request ID":                        {"GET", "/look", "", []string{"X-Request-ID", ""}, 400},
		"no class":                             {"GET", "/look", "", []string{"X-Priority-Class", ""}, 400},
		"unknown class":                        {"GET", "/nothing", "", nil, 400},
		"class other than the path":            {"GET", "/look", "", []string{"X-Priority-Class", "entry"}, 400},
		"no tenant":                            {"GET", "/look", "", []string{"X-Tenant-Id", ""}, 400},
		"unknown tenant":                       {"GET", "/look", "", []string{"X-Tenant-Id", "east"}, 400},
		"no timeout":                           {"GET", "/look", "", []string{"X-Timeout", ""}, 400},
		"timeout without unit":                 {"GET", "/look", "", []string{"X-Timeout", "480"}, 400},
		"timeout not a number":                 {"GET", "/look", "", []string{"X-Timeout", "NaNm"}, 400},
		"timeout below 0":                      {"GET", "/look", "", []string{"X-Timeout", "-5m"}, 400},
		"timeout of 0":                         {"GET", "/look", "", []string{"X-Timeout", "0m"}, 400},
		"timeout above the limit of the class": {"GET", "/look", "", []string{"X-Timeout", "900000000m"}, 400},
		"malformed cost":                       {"GET", "/look", "", []string{"X-Cost", "cheap"}, 400},
		"idempotency key missing":              {"POST", "/reading", "1", nil, 400},
		"idempotency key of a non-idempotent request": {"POST", "/entry", "1", []string{"Idempotency-Key", "k"}, 400},
		"POST in a GET class":                         {"POST", "/look", "", nil, 405},
		"HEAD":                                        {"HEAD", "/look", "", nil, 405},
		"body on GET":                                 {"GET", "/look", "1", nil, 400},
		"body too long":                               {"POST", "/entry", strings.Repeat("x", maxBodyBytes+1), nil, 413},
	} {
		t.Run(name, func(t *testing.T) {
			res, _ := doRequest(t, side.newRequest(t, c.method, c.path, c.body, c.headers...))
			if res.StatusCode != c.status {
				t.Errorf("status %s, want %d", res.Status, c.status)
			}
		})
	}
	res, body := doRequest(t, side.newRequest(t, "POST", "/entry", strings.Repeat("x", maxBodyBytes)))
	if res.StatusCode != 200 || body != "done r1" {
		t.Errorf("body of the maximum length: status %s, body %q, want 200 and its own response", res.Status, body)
	}
	if len(s.receivedRequests) != 1 {
		t.Errorf("server received %d requests, want only the valid one", len(s.receivedRequests))
	}
}

// A client sends a request with as many header fields as the limit allows. It must be served; it counts no
// fields of the request before it on the connection.
func TestRequestWithManyHeaderFieldsIsServed(t *testing.T) {
	side := startSidecar(t, nil, newStub(t, echo).address)
	c := side.dial(t)
	r := bufio.NewReader(c)
	for n := range 3 {
		head := fmt.Sprintf(rawHead, fmt.Sprintf("r%d", n)) + "Content-Length: 2\r\n"
		fields := strings.Count(head, "\r\n") - 1
		write(t, c, head+strings.Repeat("A: 1\r\n", maxHeaderFields-fields)+"\r\n\n\n")
		expectOK(t, r)
	}
}

// parseRequest must map the headers of a request to the fields of policy.Request.
func TestParseRequestMapsHeaders(t *testing.T) {
	cfg := testConfig(t, fullListResponse(1, "ready"), nil)
	handler := newIngress(cfg, newClock(), nil)
	newRequest := func(headers ...string) *http.Request {
		r := httptest.NewRequest(http.MethodGet, "/look/hive", nil)
		r.Header.Set("X-Request-ID", "r1")
		r.Header.Set("X-Priority-Class", "look")
		r.Header.Set("X-Tenant-Id", "south")
		r.Header.Set("X-Timeout", "480m")
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		return r
	}
	class, tenant := cfg.Classes["look"], cfg.Tenants["south"]
	for name, c := range map[string]struct {
		headers []string
		want    policy.Request
	}{
		"class and tenant":  {nil, policy.Request{Class: class, Tenant: tenant}},
		"cost":              {[]string{"X-Cost", "12.5"}, policy.Request{Class: class, Tenant: tenant, ExpectedWork: 12500 * time.Nanosecond}},
		"retried":           {[]string{"X-Retried", "1"}, policy.Request{Class: class, Tenant: tenant, ClientRetry: true}},
		"retried, not 1":    {[]string{"X-Retried", "0"}, policy.Request{Class: class, Tenant: tenant}},
		"route key, FNV-1a": {[]string{"X-Route-Key", "a"}, policy.Request{Class: class, Tenant: tenant, Key: 0xaf63dc4c8601ec8c}},
	} {
		t.Run(name, func(t *testing.T) {
			parsed, rejection := handler.parseRequest(newRequest(c.headers...))
			if rejection != nil {
				t.Fatal(rejection)
			}
			if want := (parsedRequest{policy: c.want, timeout: 480 * time.Millisecond}); parsed != want {
				t.Errorf("parseRequest() = %+v, want %+v", parsed, want)
			}
		})
	}
}

// parseTestRequest parses a valid GET of the class look with the given target and additional headers (pairs
// of name and value), and returns the rejection, if any.
func parseTestRequest(t *testing.T, target string, headers ...string) *rejectionError {
	t.Helper()
	handler := newIngress(testConfig(t, fullListResponse(1, "ready"), nil), newClock(), nil)
	r := httptest.NewRequest(http.MethodGet, target, nil)
	for _, header := range []string{"X-Request-ID: r1", "X-Priority-Class: look", "X-Tenant-Id: south", "X-Timeout: 480m"} {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	_, rejection := handler.parseRequest(r)
	return rejection
}

// A path is forwarded unchanged, and a server may interpret it as the path of another class than the sidecar
// does: it may decode an encoded slash before it splits the path, and it may resolve dot segments.
func TestPathOfAnotherClassIsRejected(t *testing.T) {
	for target, valid := range map[string]bool{
		"/look": true, "/look/": true, "/look/hive": true, "/look/a.b": true, "/look/...": true, "/look?x=../..": true,
		"/look/a%2fb": true, "/l%6fok/hive": true, "/look/%25": true,
		"/look%2fhive": false, "/look%2Fhive": false, "/look%2f..%2fentry": false,
		"/look/../entry": false, "/look/..": false, "/look/./hive": false, "/look/hive/../../entry/x": false,
		"/look/%2e%2e/entry": false, "/look/.%2E/entry": false, "/look/a%2f..%2f..%2fentry": false,
		"/../look": false, "//look": false, "/look%00": false, "/entry/../look": false,
	} {
		t.Run(target, func(t *testing.T) {
			if rejection := parseTestRequest(t, target); valid != (rejection == nil) {
				t.Errorf("rejection %v, want valid: %v", rejection, valid)
			}
		})
	}
}

// Headers that Connection names are not forwarded. In this way a request used to reach a server without its
// ID, or a request that is idempotent by key without its key. Such requests must be rejected.
func TestConnectionHeaderNamingForwardedHeaderIsRejected(t *testing.T) {
	for connection, valid := range map[string]bool{
		"close": true, "keep-alive": true, "keep-alive, X-Own": true, "": true, "Upgrade": true,
		"X-Request-ID": false, "x-request-id": false, "keep-alive, X-Request-Id": false, "close , Idempotency-Key": false,
		"X-Timeout": false, "X-Priority-Class": false, "X-Tenant-Id": false, "Content-Length": false, "X-Route-Key": false, "X-Attrs": false,
	} {
		t.Run(connection, func(t *testing.T) {
			if rejection := parseTestRequest(t, "/look", "Connection", connection); valid != (rejection == nil) {
				t.Errorf("rejection %v, want valid: %v", rejection, valid)
			}
			if rejection := parseTestRequest(t, "/look", "Connection", "keep-alive", "Connection", connection); valid != (rejection == nil) {
				t.Errorf("in a second Connection header: rejection %v, want valid: %v", rejection, valid)
			}
		})
	}
}

func TestParseTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m":                  480 * time.Millisecond,
		"250u":                  250 * time.Microsecond,
		"0.5m":                  500 * time.Microsecond,
		"0u":                    0,
		"99999999999999999999m": maxTimeout,
	} {
		t.Run(text, func(t *testing.T) {
			if got, ok := parseTimeout(text); !ok || got != want {
				t.Errorf("parseTimeout() = %v, %v, want %v, true", got, ok, want)
			}
		})
	}
	malformed := []string{
		"", "m", "480", "480s", "1e3m", "0x5m", "1_0m", "Infm", " 5m", "5 m", "1.2.3m", "-1m", "+1m",
	}
	for _, text := range malformed {
		t.Run(fmt.Sprintf("malformed %q", text), func(t *testing.T) {
			if got, ok := parseTimeout(text); ok {
				t.Errorf("parseTimeout() = %v, true, want it rejected", got)
			}
		})
	}
}

// rawHead is the head of a valid request of the class entry, without its Content-Length and the empty line.
const rawHead = "POST /entry HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Priority-Class: entry\r\nX-Tenant-Id: north\r\nX-Timeout: 9000m\r\n"

// sendRaw sends bytes on a new connection and returns the statuses of the responses on it. It reports an
// error if the sidecar does not close the connection.
func (s *runningSidecar) sendRaw(t *testing.T, bytes string) []int {
	t.Helper()
	c, err := net.Dial("tcp", s.address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, bytes); err != nil {
		t.Fatal(err)
	}
	var statuses []int
	for r := bufio.NewReader(c); ; {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				t.Errorf("%.60q: connection still open, want it closed", bytes)
			}
			return statuses
		}
		_, _ = io.Copy(io.Discard, res.Body)
		statuses = append(statuses, res.StatusCode)
	}
}

// A client sends a request that is malformed or whose length is ambiguous, so that a second request may be
// hidden in its body. The client must get a single error response, and the connection must be closed without
// interpreting the bytes that follow. Nothing may reach a server.
func TestMalformedRequests(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	head := fmt.Sprintf(rawHead, "r1")
	hidden := fmt.Sprintf(rawHead, "hidden") + "Content-Length: 1\r\n\r\n1"
	for name, c := range map[string]struct {
		status int
		bytes  string
	}{
		"request hidden after Content-Length and chunked body": {411, head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(hidden)+5, hidden)},
		"request hidden after chunked body":                    {411, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden},
		"request hidden after chunked body of version 1.0":     {505, strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1" + hidden},
		"no Content-Length":                                    {411, head + "\r\n" + hidden},
		"two Content-Lengths":                                  {400, head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n1" + hidden},
		"negative Content-Length":                              {400, head + "Content-Length: -1\r\n\r\n" + hidden},
		"Content-Length above the limit":                       {413, head + "Content-Length: 60000000\r\n\r\n" + hidden},
		"two request IDs":                                      {400, head + "X-Request-ID: r2\r\nContent-Length: 1\r\n\r\n1" + hidden},
		"absolute URL as target":                               {400, strings.Replace(head, "/entry", "http://a/entry", 1) + "Content-Length: 1\r\n\r\n1" + hidden},
		"options of the server as a whole":                     {400, "OPTIONS * HTTP/1.1\r\nHost: service.internal\r\n\r\n" + hidden},
		"body shorter than Content-Length":                     {408, head + "Content-Length: 100\r\n\r\n1"},
		"not HTTP":                                             {400, "\x00\x01\x02 nonsense\r\n\r\n" + hidden},
		"headers above the limit":                              {431, head + strings.Repeat("X-A: "+strings.Repeat("x", 1000)+"\r\n", 40)},
		"more fields than the limit":                           {400, head + strings.Repeat("A: 1\r\n", maxHeaderFields) + "Content-Length: 1\r\n\r\n1" + hidden},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := side.sendRaw(t, c.bytes); len(got) != 1 || got[0] != c.status {
				t.Errorf("responses with status %v, want one with %d and the connection closed", got, c.status)
			}
		})
	}
	for name, bytes := range map[string]string{
		"incomplete head":                    head,
		"incomplete head of too many fields": head + strings.Repeat("A: 1\r\n", 10*maxHeaderFields),
		"nothing sent":                       "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			side.sendRaw(t, bytes)
		})
	}
	t.Cleanup(func() {
		if len(s.receivedRequests) > 0 {
			t.Errorf("server received %d requests, want none", len(s.receivedRequests))
		}
	})
}
