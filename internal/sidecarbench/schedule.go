package sidecarbench

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	// prSetTimerSlack is the operation PR_SET_TIMERSLACK of prctl(2).
	prSetTimerSlack = 29

	// timerSlack is how much later than requested the kernel may end a sleep, in nanoseconds. The default is
	// 50 us.
	timerSlack = 1

	// maxSleep is the maximum length of one sleep, after which the end of the context is noticed.
	maxSleep = 100 * time.Millisecond
)

// runSchedule calls send for 0 to n-1, one after the other, each no earlier than at its offset from the
// start. A slow call delays the next call, but not the next scheduled time. runSchedule returns at the first
// error of send or ctx.
//
// The schedule runs on a dedicated thread, which sleeps in the kernel. The timers of the Go runtime round up
// to a millisecond in an idle process, which is more than the latencies to be measured.
func runSchedule(ctx context.Context, n int, offset func(i int) time.Duration, send func(i int, scheduledAt time.Time) error) error {
	done := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread and its timer slack end with this goroutine
		// If prctl fails, requests start up to 50 us late, which is counted as schedule delay.
		_, _, _ = syscall.Syscall(syscall.SYS_PRCTL, prSetTimerSlack, timerSlack, 0)
		done <- sendAll(ctx, n, offset, send)
	}()
	return <-done
}

// sendAll runs the schedule of runSchedule on the current thread.
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

// sleepUntil sleeps in the kernel until t or until ctx ends.
func sleepUntil(ctx context.Context, t time.Time) {
	for remaining := time.Until(t); remaining > 0; remaining = time.Until(t) {
		sleep := syscall.NsecToTimespec(int64(min(remaining, maxSleep)))
		_ = syscall.Nanosleep(&sleep, nil) // after an interrupted sleep the loop sleeps again
		if ctx.Err() != nil {
			return
		}
	}
}

// wait waits for d. If ctx ends earlier, it returns the error of ctx.
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
