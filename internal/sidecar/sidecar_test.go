package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// runningSidecar is a complete sidecar that serves on loopback.
type runningSidecar struct {
	url      string
	stop     func()     // cancels the context of serve, as SIGTERM does
	serveErr chan error // receives the result of serve
}

// startSidecar runs a sidecar until the test ends. The cached endpoint list and that of discovery both
// contain servers at the given addresses.
func startSidecar(t *testing.T, edit func(file, settings map[string]any), addresses ...string) *runningSidecar {
	t.Helper()
	list := fullListResponse(1, "ready", addresses...)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a call for changes: never answered, as there are none
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, list)
	}))
	t.Cleanup(d.Close)
	cfg := testConfig(t, list, func(file, settings map[string]any) {
		file["discovery"] = d.Listener.Addr().String()
		if edit != nil {
			edit(file, settings)
		}
	})
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &runningSidecar{url: "http://" + l.Addr().String(), stop: cancel, serveErr: make(chan error, 1)}
	go func() { s.serveErr <- serve(ctx, cfg, l, nil) }()
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections()
	})
	return s
}

// newRequest returns a valid request. Its class is the first segment of the path. headers holds alternating
// names and values that replace the default headers; an empty value removes a header.
func (s *runningSidecar) newRequest(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "?")
	class, _, _ = strings.Cut(class, "/")
	for name, value := range map[string]string{
		"X-Request-ID": "r1", "X-Priority-Class": class, "X-Tenant-Id": "north", "X-Timeout": "20000m",
	} {
		req.Header.Set(name, value)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	return req
}

// doRequest sends a request on a new connection and returns the response and its body.
func doRequest(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	res, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}
