package sidecar

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff is the pause between failed calls: it doubles with each, up to a limit. Each pause has jitter, between half
// and one and a half times its length, because all sidecars lose discovery at the same moment and must not return in
// step.
type backoff struct {
	initial time.Duration
	max     time.Duration
	next    time.Duration
}

func newBackoff(initial, limit time.Duration) *backoff {
	return &backoff{initial: initial, max: limit, next: initial}
}

// reset begins again with the initial pause, after a success.
func (b *backoff) reset() { b.next = b.initial }

// wait pauses, or returns early when ctx ends.
func (b *backoff) wait(ctx context.Context) {
	pause := time.Duration(float64(b.next) * (0.5 + rand.Float64()))
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
	b.next = min(2*b.next, b.max)
}
