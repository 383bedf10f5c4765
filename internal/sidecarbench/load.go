package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// responseBodyBytes is the length of the response bodies of stand-in servers. A response with a body of any
// other length counts as wrong.
const responseBodyBytes = 512

// errWrongResponse is the error of a response with a status other than 200 or a body of the wrong length.
var errWrongResponse = errors.New("wrong response")

// Load is an open-loop load: request i is scheduled at i/Rate seconds after the start, independently of the
// other requests. Latency is measured from the scheduled time, so that it includes the time that a request
// waits behind a slow one (no coordinated omission). All fields are required.
type Load struct {
	Targets     []string      // addresses, used in round-robin order
	Rate        float64       // requests per second
	Requests    int           // number of requests
	MaxInFlight int           // maximum number of concurrent requests; latency includes the wait for a free slot
	Timeout     time.Duration // timeout of each request
	IDPrefix    string        // prefix of the request IDs, unique among concurrent loads
}

// LoadResult is the result of a Load. Latencies are in nanoseconds.
type LoadResult struct {
	Requests       int                    // requests sent
	OK             int                    // requests answered 200 with a complete body
	WrongResponses int                    // requests with any other complete response
	Failed         int                    // requests without a complete response
	FirstError     string                 // error of the first request that was not OK
	CPU            time.Duration          // CPU time of the load generator
	Latency        *hdrhistogram.Snapshot // from the scheduled time to the end of the response
	ScheduleDelay  *hdrhistogram.Snapshot // from the scheduled time until the load generator sends the request
}

// scheduledRequest is a request whose scheduled time has come.
type scheduledRequest struct {
	number      int
	scheduledAt time.Time
}

// Run sends the load with a client that keeps its connections, and returns when all requests have ended. It
// returns an error if the load is invalid or ctx ends, but not for failed requests.
func (l Load) Run(ctx context.Context, client *http.Client) (LoadResult, error) {
	if len(l.Targets) == 0 || l.Rate <= 0 || l.Requests <= 0 || l.MaxInFlight <= 0 || l.Timeout <= 0 {
		return LoadResult{}, fmt.Errorf("load %+v: no Targets, or Rate, Requests, MaxInFlight or Timeout not positive", l)
	}
	stats := newLoadStats()
	requests := make(chan scheduledRequest) // unbuffered: a request waits here until a worker is free
	var workers sync.WaitGroup
	for range l.MaxInFlight {
		workers.Go(func() {
			for r := range requests {
				started := time.Now()
				err := l.send(ctx, client, r.number)
				stats.record(r.scheduledAt, started, time.Now(), err)
			}
		})
	}
	sent, err := l.schedule(ctx, requests)
	close(requests)
	workers.Wait()
	if err != nil {
		return LoadResult{}, fmt.Errorf("send load: %w", err)
	}
	return stats.result(sent), nil
}

// schedule passes each request to a worker at its scheduled time. It returns the number of requests passed.
func (l Load) schedule(ctx context.Context, requests chan<- scheduledRequest) (sent int, err error) {
	offset := func(i int) time.Duration { return time.Duration(float64(i) / l.Rate * float64(time.Second)) }
	err = runSchedule(ctx, l.Requests, offset, func(i int, scheduledAt time.Time) error {
		select {
		case requests <- scheduledRequest{i, scheduledAt}:
			sent++
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return sent, err
}

// send sends one request with the headers that the sidecar requires. Stand-in servers accept the same
// request.
func (l Load) send(ctx context.Context, client *http.Client, number int) error {
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	target := l.Targets[number%len(l.Targets)]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/"+className+"/tile", nil)
	if err != nil {
		return err
	}
	req.Header = http.Header{
		"X-Request-Id":     {l.IDPrefix + "-" + strconv.Itoa(number)},
		"X-Priority-Class": {className},
		"X-Tenant-Id":      {tenantName},
		"X-Timeout":        {strconv.FormatInt(l.Timeout.Milliseconds(), 10) + "m"},
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	switch {
	case err != nil:
		return err
	case res.StatusCode != http.StatusOK || n != responseBodyBytes:
		return fmt.Errorf("%w: %s with %d bytes", errWrongResponse, res.Status, n)
	}
	return nil
}

// newClient returns a client that keeps up to maxConnections connections to each target open, as an
// application does.
func newClient(maxConnections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections, MaxIdleConns: 0, DisableCompression: true,
	}}
}
