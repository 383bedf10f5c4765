package sidecarbench

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// newServer starts an HTTP server that is closed at the end of the test, and returns its address.
func newServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against latencies that leave out the wait in the load generator (coordinated omission), as they do
// if they are measured from when a request is sent. The load has one connection, and the first response takes
// four intervals, so that all other requests wait for it beyond their scheduled time.
func TestLatencyIncludesScheduleDelay(t *testing.T) {
	const interval = 20 * time.Millisecond
	var received atomic.Int64
	address := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) == 1 {
			<-time.After(4 * interval)
		}
		w.Header().Set("Content-Length", strconv.Itoa(responseBodyBytes))
		_, _ = w.Write(make([]byte, responseBodyBytes))
	})
	load := Load{Targets: []string{address}, Rate: 1 / interval.Seconds(), Requests: 4, MaxInFlight: 1, Timeout: generousTimeout, IDPrefix: "c"}
	client := newClient(1)
	defer client.CloseIdleConnections()
	r, err := load.Run(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	// The last request is scheduled 3 intervals after the first and cannot start before 4 intervals, so that
	// its delay is at least one interval. The delay of the request before it is at least two intervals, and
	// so on.
	delay := hdrhistogram.Import(r.ScheduleDelay)
	if r.OK != 4 || delay.ValueAtPercentile(50) < int64(interval)*99/100 || delay.Max() < int64(3*interval)*99/100 {
		t.Errorf("OK = %d of %d requests, schedule delay: median = %v, maximum = %v; want all OK, median of at least 1 interval, maximum of at least 3", r.OK, r.Requests,
			time.Duration(delay.ValueAtPercentile(50)), time.Duration(delay.Max()))
	}
	if shortest := hdrhistogram.Import(r.Latency).Min(); shortest < int64(interval)*99/100 {
		t.Errorf("shortest latency = %v, want at least one interval", time.Duration(shortest))
	}
}

// Guards against failures that are counted as OK: a load must count responses with another status or length
// as wrong, and requests without a response as failed.
func TestLoadCountsWrongResponses(t *testing.T) {
	var received atomic.Int64
	address := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch received.Add(1) {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			_, _ = w.Write([]byte("short"))
		case 3:
			panic(http.ErrAbortHandler)
		default:
			_, _ = w.Write(make([]byte, responseBodyBytes))
		}
	})
	load := Load{Targets: []string{address}, Rate: 1000, Requests: 5, MaxInFlight: 1, Timeout: generousTimeout, IDPrefix: "c"}
	client := newClient(1)
	// On a reused connection the transport would retry failed requests.
	client.Transport.(*http.Transport).DisableKeepAlives = true
	r, err := load.Run(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	if r.Requests != 5 || r.OK != 2 || r.WrongResponses != 2 || r.Failed != 1 || !strings.Contains(r.FirstError, "503") {
		t.Errorf("requests = %d, OK = %d, wrong responses = %d, failed = %d, first error = %q; want 5, 2, 2, 1, an error with 503", r.Requests, r.OK, r.WrongResponses, r.Failed, r.FirstError)
	}
}

// Run must return an error for a load without any field set.
func TestInvalidLoad(t *testing.T) {
	if _, err := (Load{}).Run(t.Context(), newClient(1)); err == nil {
		t.Error("Run of a load without fields: error = nil, want an error")
	}
}

// Guards against a load that goes on after its context has ended. The context ends during the first request,
// and Run must return an error rather than go on with the other requests.
func TestLoadStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	address := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	load := Load{Targets: []string{address}, Rate: 100, Requests: 1000, MaxInFlight: 1, Timeout: generousTimeout, IDPrefix: "c"}
	if _, err := load.Run(ctx, newClient(1)); err == nil {
		t.Error("Run after the end of its context: error = nil, want an error")
	}
}
