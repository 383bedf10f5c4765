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
	leastTime   = int64(100 * time.Nanosecond)
	mostTime    = int64(time.Minute)
	timeFigures = 3
)

// bodySize is the length in bytes of a stand-in server's answer. A caller takes any other for a wrong answer.
const bodySize = 512

// Load is calls at a fixed schedule, whatever becomes of them: call number i is due i/Rate after the start. Each
// counts from the moment when it was due, so that calls held up behind a slow one show how long they waited
// (no coordinated omission).
type Load struct {
	Targets []string // addresses that take turns
	Rate    float64  // calls a second
	Calls   int
	Open    int           // calls under way at most; those that fall due beyond it wait, which counts
	Limit   time.Duration // after which a call is given up
	Name    string        // begins the id of every call; an id must not come twice at one time
}

// LoadResult is what became of a Load.
type LoadResult struct {
	Calls   int // that were sent
	OK      int // answered 200 with a whole body
	Wrong   int // other answers
	Failed  int // no answer
	First   string
	Took    time.Duration          // processor time of the process that made them
	Latency *hdrhistogram.Snapshot // ns from when a call was due until its whole answer was read
	Late    *hdrhistogram.Snapshot // ns from when a call was due until it was begun: the generator's own doing
}

// due is a call that has fallen due.
type due struct {
	number int
	at     time.Time
}

// tally collects what the callers see.
type tally struct {
	ok, wrong, failed atomic.Int64

	mu            sync.Mutex
	first         error // that went wrong
	latency, late *hdrhistogram.Histogram
}

// Run makes the calls with a client that keeps its connections, and returns when all have ended. It fails where the
// load can't be made, not where calls go wrong.
func (l Load) Run(ctx context.Context, client *http.Client) (LoadResult, error) {
	if len(l.Targets) == 0 || l.Rate <= 0 || l.Calls <= 0 || l.Open <= 0 || l.Limit <= 0 {
		return LoadResult{}, fmt.Errorf("load %+v: all of it must be given", l)
	}
	t := &tally{
		latency: hdrhistogram.New(leastTime, mostTime, timeFigures),
		late:    hdrhistogram.New(leastTime, mostTime, timeFigures),
	}
	calls := make(chan due) // no room: what is due is kept back until a caller is free
	var callers sync.WaitGroup
	for range l.Open {
		callers.Go(func() {
			for d := range calls {
				begun := time.Now()
				err := l.call(ctx, client, d.number)
				t.take(d.at, begun, time.Now(), err)
			}
		})
	}
	sent := 0
	err := pace(ctx, l.Calls, func(i int) time.Duration {
		return time.Duration(float64(i) / l.Rate * float64(time.Second))
	}, func(i int, at time.Time) error {
		select {
		case calls <- due{i, at}:
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
	r := LoadResult{Calls: sent, OK: int(t.ok.Load()), Wrong: int(t.wrong.Load()), Failed: int(t.failed.Load()),
		Latency: t.latency.Export(), Late: t.late.Export()}
	if t.first != nil {
		r.First = t.first.Error()
	}
	return r, nil
}

// errWrong is an answer that came, but not the one that was wanted.
var errWrong = errors.New("a wrong answer")

// call makes one call, in the form that the program takes; a stand-in server takes the same.
func (l Load) call(ctx context.Context, client *http.Client, number int) error {
	ctx, cancel := context.WithTimeout(ctx, l.Limit)
	defer cancel()
	target := l.Targets[number%len(l.Targets)]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/"+class+"/tile", nil)
	if err != nil {
		return err
	}
	req.Header = http.Header{
		"X-Request-Id":     {l.Name + "-" + strconv.Itoa(number)},
		"X-Priority-Class": {class},
		"X-Tenant-Id":      {tenant},
		"X-Timeout":        {strconv.FormatInt(l.Limit.Milliseconds(), 10) + "m"},
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
	case res.StatusCode != http.StatusOK || n != bodySize:
		return fmt.Errorf("%w: %s with %d bytes", errWrong, res.Status, n)
	}
	return nil
}

// take enters one call that was due, begun and over at these times.
func (t *tally) take(due, begun, over time.Time, err error) {
	switch {
	case err == nil:
		t.ok.Add(1)
	case errors.Is(err, errWrong):
		t.wrong.Add(1)
	default:
		t.failed.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil && t.first == nil {
		t.first = err
	}
	// Within the range nothing can go wrong here.
	_ = t.latency.RecordValue(min(max(int64(over.Sub(due)), leastTime), mostTime))
	_ = t.late.RecordValue(min(max(int64(begun.Sub(due)), leastTime), mostTime))
}

// pace calls send for 0 to n-1, each no sooner than at its time after the start, and one after the other: a send that
// takes long delays the next, but not the time that it is told as due. It ends early with ctx or send's error.
//
// It has a thread of its own that sleeps in the kernel: the runtime's timers round up to a millisecond where
// nothing else goes on, which is more than what is measured.
func pace(ctx context.Context, n int, at func(i int) time.Duration, send func(i int, due time.Time) error) error {
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
