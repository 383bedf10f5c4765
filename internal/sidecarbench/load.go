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

// responseBodyBytes is the length of the responses of stand-in servers. A response of another length is a wrong one.
const responseBodyBytes = 512

// errWrongResponse is a response other than 200 with a complete body.
var errWrongResponse = errors.New("wrong response")

// Load is an open-loop load: request number i is scheduled at i/Rate after the start, whatever becomes of the others.
// Its latency counts from that time, so that requests which wait behind a slow one show how long they waited (no
// coordinated omission). All fields have to be set.
type Load struct {
	Targets     []string // addresses, used in turn
	Rate        float64  // requests per second
	Requests    int
	MaxInFlight int           // requests beyond wait, which counts for their latency
	Timeout     time.Duration // of one request
	IDPrefix    string        // of the request ids, which must be unique among concurrent loads
}

// LoadResult is the result of a Load. Latencies are in nanoseconds.
type LoadResult struct {
	Requests       int // that were sent
	OK             int // answered 200 with a complete body
	WrongResponses int
	Failed         int    // without a response
	FirstError     string // of a request that was not OK
	CPU            time.Duration
	Latency        *hdrhistogram.Snapshot // from the scheduled time to the end of the response
	ScheduleDelay  *hdrhistogram.Snapshot // from the scheduled time to the start of the request, in the generator
}

// scheduledRequest is a request that a worker has to send now.
type scheduledRequest struct {
	number      int
	scheduledAt time.Time
}

// Run sends the load with a client that keeps its connections, and returns when all requests have ended. It returns an
// error if the load is invalid or ctx ends, but not for requests that fail.
func (l Load) Run(ctx context.Context, client *http.Client) (LoadResult, error) {
	if len(l.Targets) == 0 || l.Rate <= 0 || l.Requests <= 0 || l.MaxInFlight <= 0 || l.Timeout <= 0 {
		return LoadResult{}, fmt.Errorf("load %+v: all fields have to be set", l)
	}
	stats := newLoadStats()
	requests := make(chan scheduledRequest) // unbuffered: a scheduled request waits until a worker is free
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
		return LoadResult{}, fmt.Errorf("load: %w", err)
	}
	return stats.result(sent), nil
}

// schedule passes each request to a worker at its time, and returns how many it passed.
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

// send sends one request in the format of the sidecar, which stand-in servers accept too.
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

// newClient returns a client that keeps up to maxConnections connections to each target, as an application does.
func newClient(maxConnections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections, MaxIdleConns: 0, DisableCompression: true,
	}}
}
