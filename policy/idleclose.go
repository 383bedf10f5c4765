package policy

import (
	"cmp"
	"time"
)

// idleCloser schedules the repeated closing of idle connections to draining
// endpoints.
type idleCloser struct {
	repeatAt time.Duration // when idle connections are closed again; 0: not scheduled
}

// closeIdle closes the idle connections to an endpoint that gets no new
// requests: now, and once more later, because a connection may just be opening.
func (b *Balancer) closeIdle(now time.Duration, e *endpoint) {
	if b.cfg.IdleCloseTimeout > 0 {
		b.host.CloseIdle(e.ID)
		b.idleCloser.repeatAt = cmp.Or(b.idleCloser.repeatAt, now+b.cfg.IdleCloseTimeout/2)
		b.setTimer(now, b.idleCloser.repeatAt-now)
	}
}

// repeatCloseIdle closes the idle connections to all draining endpoints if the
// repetition scheduled by closeIdle is due.
func (b *Balancer) repeatCloseIdle(now time.Duration) {
	if b.idleCloser.repeatAt == 0 || now < b.idleCloser.repeatAt {
		return
	}
	b.idleCloser.repeatAt = 0
	for _, e := range b.endpoints.all {
		if e.State == Draining {
			b.host.CloseIdle(e.ID)
		}
	}
}
