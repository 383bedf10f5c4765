package policy

import (
	"testing"
	"time"
)

// Whatever other faults there are, nothing may be sent for a request that has been answered, is streaming its
// response, is past its deadline, has an attempt in flight or has no attempts left. Otherwise a client could
// get two answers, or a request that must not run twice could do so.
func TestEligibility(t *testing.T) {
	const now = 100 * ms
	for _, c := range []struct {
		name    string
		request request
		want    bool
	}{
		{"open", request{deadline: time.Second}, true},
		{"closed", request{closed: true, deadline: time.Second}, false},
		{"streaming", request{streaming: true, deadline: time.Second}, false},
		{"at its deadline", request{deadline: now}, false},
		{"in flight", request{deadline: time.Second, inFlight: 1}, false},
		{"no attempts remaining", request{deadline: time.Second, attempts: make([]attempt, testConfig().MaxAttempts)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, _ := start(t, testConfig(), ready(1))
			r := c.request
			r.class = &b.classes[idempotentClass]
			if got := b.eligible(now, &r, b.endpoints.all[0]); got != c.want {
				t.Errorf("eligible = %v, want %v", got, c.want)
			}
		})
	}
}
