package sidecarbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// What a histogram tells apart: times in nanoseconds from the least to the most, to three figures.
const (
	minLatency    = int64(100 * time.Nanosecond)
	maxLatency    = int64(time.Minute)
	latencyDigits = 3
)

// responseBodyBytes is the length in bytes of a stand-in server's answer. A caller takes any other for a wrong answer.
const responseBodyBytes = 512

// Load is calls at a fixed schedule, whatever becomes of them: call number i is due i/Rate after the start. Each
// counts from the moment when it was due, so that calls held up behind a slow one show how long they waited
// (no coordinated omission).
type Load struct {
	Targets     []string // addresses that take turns
	Rate        float64  // calls a second
	Requests    int
	MaxInFlight int           // calls under way at most; those that fall due beyond it wait, which counts
	Timeout     time.Duration // after which a call is given up
	IDPrefix    string        // begins the id of every call; an id must not come twice at one time
}

// LoadResult is what became of a Load.
type LoadResult struct {
	Requests       int // that were sent
	OK             int // answered 200 with a whole body
	WrongResponses int // other answers
	Failed         int // no answer
	FirstError     string
	CPU            time.Duration          // processor time of the process that made them
	Latency        *hdrhistogram.Snapshot // ns from when a call was due until its whole answer was read
	ScheduleDelay  *hdrhistogram.Snapshot // ns from when a call was due until it was begun: the generator's own doing
}

// scheduledRequest is a call that has fallen due.
type scheduledRequest struct {
	number      int
	scheduledAt time.Time
}

// loadStats collects what the callers see.
type loadStats struct {
	ok, wrongResponses, failed atomic.Int64

	mu                     sync.Mutex
	firstError             error // that went wrong
	latency, scheduleDelay *hdrhistogram.Histogram
}

// Run makes the calls with a client that keeps its connections, and returns when all have ended. It fails where the
// load can't be made, not where calls go wrong.
func (l Load) Run(ctx context.Context, client *http.Client) (LoadResult, error) {
	if len(l.Targets) == 0 || l.Rate <= 0 || l.Requests <= 0 || l.MaxInFlight <= 0 || l.Timeout <= 0 {
		return LoadResult{}, fmt.Errorf("load %+v: all of it must be given", l)
	}
	t := &loadStats{
		latency:       hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		scheduleDelay: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
	calls := make(chan scheduledRequest) // no room: what is due is kept back until a caller is free
	var callers sync.WaitGroup
	for range l.MaxInFlight {
		callers.Go(func() {
			for d := range calls {
				begun := time.Now()
				err := l.send(ctx, client, d.number)
				t.record(d.scheduledAt, begun, time.Now(), err)
			}
		})
	}
	sent := 0
	err := runSchedule(ctx, l.Requests, func(i int) time.Duration {
		return time.Duration(float64(i) / l.Rate * float64(time.Second))
	}, func(i int, at time.Time) error {
		select {
		case calls <- scheduledRequest{i, at}:
			sent++
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	close(calls)
	callers.Wait()
	if err != nil {
		return LoadResult{}, fmt.Errorf("load: %w", err)
	}
	r := LoadResult{Requests: sent, OK: int(t.ok.Load()), WrongResponses: int(t.wrongResponses.Load()), Failed: int(t.failed.Load()),
		Latency: t.latency.Export(), ScheduleDelay: t.scheduleDelay.Export()}
	if t.firstError != nil {
		r.FirstError = t.firstError.Error()
	}
	return r, nil
}

// errWrongResponse is an answer that came, but not the one that was wanted.
var errWrongResponse = errors.New("a wrong answer")

// send makes one call, in the form that the program takes; a stand-in server takes the same.
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

// record enters one call that was due, begun and over at these times.
func (t *loadStats) record(due, begun, over time.Time, err error) {
	switch {
	case err == nil:
		t.ok.Add(1)
	case errors.Is(err, errWrongResponse):
		t.wrongResponses.Add(1)
	default:
		t.failed.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && t.firstError == nil {
		t.firstError = err
	}
	// Within the range nothing can go wrong here.
	_ = t.latency.RecordValue(min(max(int64(over.Sub(due)), minLatency), maxLatency))
	_ = t.scheduleDelay.RecordValue(min(max(int64(begun.Sub(due)), minLatency), maxLatency))
}

// runSchedule calls send for 0 to n-1, each no sooner than at its time after the start, and one after the other: a send that
// takes long delays the next, but not the time that it is told as due. It ends early with ctx or send's error.
//
// It has a thread of its own that sleeps in the kernel: the runtime's timers round up to a millisecond where
// nothing else goes on, which is more than what is measured.
func runSchedule(ctx context.Context, n int, at func(i int) time.Duration, send func(i int, due time.Time) error) error {
	ended := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // for good: the thread ends with this goroutine, and its timer slack with it
		const setTimerSlack = 29
		// Wake within 1 ns instead of 50 us; without, calls begin so much later and count as late, no more.
		_, _, _ = syscall.Syscall(syscall.SYS_PRCTL, setTimerSlack, 1, 0)
		start := time.Now()
		for i := range n {
			due := start.Add(at(i))
			for left := time.Until(due); left > 0; left = time.Until(due) {
				pause := syscall.NsecToTimespec(int64(min(left, 100*time.Millisecond))) // so that ctx is heeded
				_ = syscall.Nanosleep(&pause, nil)                                      // an interrupted one is made up for
				if ctx.Err() != nil {
					break
				}
			}
			if err := ctx.Err(); err != nil {
				ended <- err
				return
			}
			if err := send(i, due); err != nil {
				ended <- err
				return
			}
		}
		ended <- nil
	}()
	return <-ended
}

// newClient is a client that keeps up to open connections to every target, as the application does.
func newClient(open int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: open, MaxIdleConnsPerHost: open, MaxIdleConns: 0, DisableCompression: true,
	}}
}
