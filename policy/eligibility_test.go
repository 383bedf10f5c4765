package policy

import (
	"testing"
	"time"
)

// Rule 1 at the gate: nothing is sent for a request that is over, streams, is late or has had its attempts.
func TestEligibility(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1))
	for name, r := range map[string]*request{
		"over":    {closed: true, deadline: time.Second},
		"begun":   {streaming: true, deadline: time.Second},
		"late":    {deadline: 100 * ms},
		"out":     {deadline: time.Second, inFlight: 1},
		"all out": {deadline: time.Second, attempts: make([]attempt, b.cfg.MaxAttempts)},
	} {
		r.class = &b.classes[idempotentClass]
		if b.eligible(100*ms, r, b.endpoints.all[0]) {
			t.Errorf("a request that is %s may go", name)
		}
	}
	if !b.eligible(100*ms, &request{class: &b.classes[idempotentClass], deadline: time.Second}, b.endpoints.all[0]) {
		t.Error("an ordinary request may not go")
	}
}
