package sidecar

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff provides the pauses after failed calls. The pause doubles with each failure, up to a maximum. A
// random factor between 0.5 and 1.5 (jitter) is applied to each pause: all sidecars lose discovery at the
// same time, and must not call it again in lockstep.
type backoff struct {
	initial time.Duration // first pause, before jitter
	max     time.Duration // longest pause, before jitter
	next    time.Duration // next pause, before jitter
}

func newBackoff(initial, limit time.Duration) *backoff {
	return &backoff{initial: initial, max: limit, next: initial}
}

// reset sets the next pause to the initial one. It is called after a success.
func (b *backoff) reset() { b.next = b.initial }

// wait pauses, or returns early if ctx is cancelled.
func (b *backoff) wait(ctx context.Context) {
	pause := time.Duration(float64(b.next) * (0.5 + rand.Float64()))
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
	b.next = min(2*b.next, b.max)
}
