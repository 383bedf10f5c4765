package policy

import (
	"fmt"
	"testing"
	"time"
)

// If an endpoint that hangs kept its equal share of the attempts, each of these would use a slot until its
// timeout.
func TestUnresponsiveEndpointGetsFewAttempts(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3))
	now := time.Duration(0)
	for id := range RequestID(300) {
		submit(b, now, id, idempotentClass)
		if last := h.sends[len(h.sends)-1]; last.id == id && last.to != 1 {
			finish(b, now+5*ms, id, 0, Succeeded)
		}
		now += 10 * ms
		b.TimerFired(now)
		for i := range h.sends { // endpoint 1 never responds
			s := h.sends[i]
			if s.to == 1 && b.requests[s.id] != nil && b.requests[s.id].attempts[0].sentAt+s.timeout <= now {
				finish(b, now, s.id, 0, TimedOut)
			}
		}
	}
	if n := h.sentTo(1); n > 60 {
		t.Fatalf("first attempts at the unresponsive endpoint = %d of 300, want at most 60", n)
	}
	if len(h.log) != 1 {
		t.Fatalf("logged events = %v, want one", h.log)
	}
}

// An endpoint that rejects everything immediately never has attempts in flight, so it appears to have free
// capacity while the other endpoints are full. While endpoints were being replaced, most requests were sent
// to such an endpoint, three times each. It must be ejected, and get attempts again once it has recovered.
func TestRejectingEndpointIsEjected(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	rejected, served := 0, 0
	for id := range RequestID(200) {
		now := time.Duration(id) * 10 * ms
		submit(b, now, id, idempotentClass)
		for n := 0; n < 3 && len(h.sends) > rejected+served; n++ {
			if h.sends[rejected+served].to == 1 {
				rejected++
				finish(b, now, id, n, Rejected)
			} else {
				served++
				finish(b, now, id, n, Succeeded)
			}
		}
	}
	if rejected > 15 || served != 200 {
		t.Fatalf("attempts rejected in 2 s = %d, requests served = %d of 200, want at most 15, and all 200",
			rejected, served)
	}
	for id := RequestID(300); id < 400; id++ {
		now := 3*time.Second + time.Duration(id)*10*ms
		submit(b, now, id, idempotentClass)
		finish(b, now, id, 0, Succeeded)
	}
	if n := h.sentTo(1) - rejected; n < 4 {
		t.Fatalf("attempts at the recovered endpoint = %d of 100, want at least 4", n)
	}
}

// An endpoint whose attempts fail, with whatever result, must not keep its equal share of the attempts. Once
// it has recovered it must get them again, or its capacity would be lost permanently.
func TestOutlierGetsFewAttemptsAndRecovers(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
	}{
		{"server error", ServerError},
		{"rejected", Rejected},
		{"connect failed", ConnectFailed},
		{"connection lost", ConnectionLost},
		{"timed out", TimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2, 3, 4))
			now, id := time.Duration(0), RequestID(0)
			// run submits requests and returns how many attempts endpoint 1 got. These end with the result
			// atEndpoint1.
			run := func(requests int, atEndpoint1 Result) int {
				before := h.sentTo(1)
				for range requests {
					now += 50 * ms
					id++
					resetAdmission(b)
					submit(b, now, id, nonIdempotentClass)
					for sent := len(h.sends); sent > 0 && h.sends[sent-1].id == id; sent = len(h.sends) {
						result := Succeeded
						if h.sends[sent-1].to == 1 {
							result = atEndpoint1
						}
						finish(b, now+5*ms, id, len(b.requests[id].attempts)-1, result)
						if len(h.sends) == sent {
							break // no retry
						}
					}
				}
				return h.sentTo(1) - before
			}
			if n := run(400, c.result); n > 40 {
				t.Errorf("attempts at the failing endpoint = %d of 400, want at most 40 (an equal share is 100)", n)
			}
			run(200, Succeeded)
			if n := run(100, Succeeded); n < 12 {
				t.Errorf("attempts at the recovered endpoint = %d of 100, want at least 12 (an equal share is 25)", n)
			}
		})
	}
}

func TestEjectionDoubles(t *testing.T) {
	const now = time.Second
	e := new(endpoint)
	for failure, want := range []time.Duration{0, 20 * ms, 40 * ms, 80 * ms, 160 * ms, 320 * ms, 640 * ms, 640 * ms} {
		e.recordFailure(now)
		if want > 0 {
			want += now
		}
		if e.ejectedUntil != want {
			t.Errorf("failure %d: ejectedUntil = %v, want %v", failure+1, e.ejectedUntil, want)
		}
	}
}

func TestEndpointIsOutlier(t *testing.T) {
	for _, c := range []struct {
		relativeLatency float64
		want            bool
	}{{1, false}, {3.99, false}, {4, true}, {8, true}} {
		t.Run(fmt.Sprintf("relative latency %v", c.relativeLatency), func(t *testing.T) {
			e := &endpoint{relativeLatency: c.relativeLatency}
			if got := e.isOutlier(); got != c.want {
				t.Errorf("isOutlier = %v, want %v", got, c.want)
			}
		})
	}
}
