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

// newServer starts a server that stops with the test, and returns its address.
func newServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// One connection is all that a load may use, and its first response takes as long as four requests are scheduled apart.
// All requests wait for that response, so their latencies count from when they were scheduled, not from when they
// were sent.
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
	// The last is scheduled 3 intervals after the first and cannot start before 4: its delay is at least one interval,
	// that of the one before it two, and so on.
	delay := hdrhistogram.Import(r.ScheduleDelay)
	if r.OK != 4 || delay.ValueAtPercentile(50) < int64(interval)*99/100 || delay.Max() < int64(3*interval)*99/100 {
		t.Errorf("%d of %d OK; schedule delay %v (median) and %v (maximum)", r.OK, r.Requests,
			time.Duration(delay.ValueAtPercentile(50)), time.Duration(delay.Max()))
	}
	if shortest := hdrhistogram.Import(r.Latency).Min(); shortest < int64(interval)*99/100 {
		t.Errorf("one request took %v, though all waited for the first", time.Duration(shortest))
	}
}

// A load counts correct responses, wrong ones and requests without a response separately.
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
	client.Transport.(*http.Transport).DisableKeepAlives = true // on a reused connection it would retry by itself
	r, err := load.Run(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	if r.Requests != 5 || r.OK != 2 || r.WrongResponses != 2 || r.Failed != 1 || !strings.Contains(r.FirstError, "503") {
		t.Errorf("%d requests, of which %d OK, %d wrong, %d failed; first error %q", r.Requests, r.OK, r.WrongResponses, r.Failed, r.FirstError)
	}
}

// A load without any field set is an error.
func TestInvalidLoad(t *testing.T) {
	if _, err := (Load{}).Run(t.Context(), newClient(1)); err == nil {
		t.Error("there is no error")
	}
}

// The context of a load ends during its first request: the load ends too, and does not send the other requests.
func TestLoadStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	address := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	load := Load{Targets: []string{address}, Rate: 100, Requests: 1000, MaxInFlight: 1, Timeout: generousTimeout, IDPrefix: "c"}
	if _, err := load.Run(ctx, newClient(1)); err == nil {
		t.Error("there is no error")
	}
}
