package policy_test

import (
	"fmt"
	"time"

	"cranehatch/policy"
)

// sidecar is the program that embeds a Balancer and carries out its decisions.
type sidecar struct{}

func (sidecar) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	fmt.Printf("send request %d, for at most %v\n", id, timeout)
}
func (sidecar) Reject(id policy.RequestID, retryAfter time.Duration) {
	fmt.Printf("reject request %d\n", id)
}
func (sidecar) Fail(id policy.RequestID)                { fmt.Printf("fail request %d\n", id) }
func (sidecar) Cancel(id policy.RequestID, attempt int) {}
func (sidecar) SetTimer(d time.Duration)                {} // a program calls Balancer.TimerFired after d
func (sidecar) CloseIdle(to policy.EndpointID)          {}
func (sidecar) HealthCheck(to policy.EndpointID)        {}
func (sidecar) Broadcast(m policy.GossipMessage)        {}
func (sidecar) WatchEndpoints()                         {}
func (sidecar) Log(e policy.HealthEvent)                { fmt.Println(e) }

func Example() {
	b, err := policy.New(policy.Config{
		Balancers:   1,
		MaxAttempts: 2,
		Slots:       1,
		Classes: []policy.Class{{
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			PriorityWeight:   1,
			Idempotency:      policy.NonIdempotent,
		}},
	}, 42, sidecar{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // since a fixed moment that the program chooses
	b.Start(now)
	b.UpdateEndpoints(now, policy.FullUpdate, []policy.Endpoint{{ID: 7, State: policy.Ready, Weight: 1}})
	for id := range policy.RequestID(3) { // one slot and a queue of one, so the third request is rejected
		b.Request(now, policy.Request{ID: id, Timeout: 2 * time.Second})
	}
	now += 80 * time.Millisecond
	b.Outcome(now, policy.Outcome{RequestID: 0, Attempt: 0, Result: policy.Succeeded, Answered: true})
	// Output:
	// send request 0, for at most 1s
	// reject request 2
	// send request 1, for at most 920ms
}
