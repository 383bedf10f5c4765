package sidecarbench

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	// setTimerSlack is PR_SET_TIMERSLACK of prctl(2), and timerSlack the slack in nanoseconds instead of 50 us.
	setTimerSlack = 29
	timerSlack    = 1

	// maxSleep bounds a sleep, so that the end of the context is noticed.
	maxSleep = 100 * time.Millisecond
)

// runSchedule calls send for 0 to n-1, each no sooner than at its offset from the start, and one after the other: a
// slow send delays the next, but not its scheduled time. It returns early with an error of send or ctx.
//
// It has its own thread that sleeps in the kernel. The runtime's timers round up to a millisecond in an idle process,
// which is more than the latencies that are measured.
func runSchedule(ctx context.Context, n int, offset func(i int) time.Duration, send func(i int, scheduledAt time.Time) error) error {
	done := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // never unlocked: the thread and its timer slack end with this goroutine
		// If this fails, requests start up to 50 us later, which counts as schedule delay.
		_, _, _ = syscall.Syscall(syscall.SYS_PRCTL, setTimerSlack, timerSlack, 0)
		done <- sendAll(ctx, n, offset, send)
	}()
	return <-done
}

// sendAll is runSchedule on the current thread.
func sendAll(ctx context.Context, n int, offset func(i int) time.Duration, send func(i int, scheduledAt time.Time) error) error {
	start := time.Now()
	for i := range n {
		scheduledAt := start.Add(offset(i))
		sleepUntil(ctx, scheduledAt)
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := send(i, scheduledAt); err != nil {
			return err
		}
	}
	return nil
}

// sleepUntil sleeps in the kernel until a time or until ctx ends.
func sleepUntil(ctx context.Context, t time.Time) {
	for remaining := time.Until(t); remaining > 0; remaining = time.Until(t) {
		pause := syscall.NsecToTimespec(int64(min(remaining, maxSleep)))
		_ = syscall.Nanosleep(&pause, nil) // if it is interrupted, the loop sleeps again
		if ctx.Err() != nil {
			return
		}
	}
}

// wait waits for d, or returns the error of ctx if that ends before.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
