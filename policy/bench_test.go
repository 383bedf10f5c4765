package policy

import (
	"fmt"
	"testing"
	"time"
)

// benchRate is requests a second at each balancer, as at the size the design is for.
const benchRate = 373

// BenchmarkRequest measures what the decisions of a request take (its start and its end, and its part of the
// calls of Wake) over the number of peers and of servers: it must be the same at any size. What peers tell
// comes meanwhile at the rate at which they tell it, and is measured by itself: ns/news is for one datagram,
// news/op are those that come for each request.
func BenchmarkRequest(b *testing.B) {
	for _, peers := range []int{16, 300, 1000, 11000} {
		for _, servers := range []int{16, 200, 11000} {
			b.Run(fmt.Sprintf("peers=%d/servers=%d", peers, servers), func(b *testing.B) { benchRequests(b, peers, servers) })
		}
	}
}

// BenchmarkList measures a whole list, and then one changed line.
func BenchmarkList(b *testing.B) {
	for _, servers := range []int{16, 200, 11000} {
		list := benchEndpoints(servers)
		b.Run(fmt.Sprintf("full/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				start(b, benchConfig(16), list)
			}
		})
		b.Run(fmt.Sprintf("again/servers=%d", servers), func(b *testing.B) {
			x, _ := start(b, benchConfig(16), list)
			b.ReportAllocs()
			for b.Loop() {
				x.UpdateEndpoints(0, FullUpdate, list)
			}
		})
		b.Run(fmt.Sprintf("delta/servers=%d", servers), func(b *testing.B) {
			x, _ := start(b, benchConfig(16), list)
			b.ReportAllocs()
			for b.Loop() {
				x.UpdateEndpoints(0, DeltaUpdate, list[:1])
			}
		})
	}
}

func benchConfig(peers int) Config {
	cfg := largeFleetConfig(peers)
	cfg.Tenants = []Tenant{{Weight: 1, Quota: benchRate * float64(peers)}}
	return cfg
}

// benchEndpoints is in no order of ids, as discovery's is.
func benchEndpoints(servers int) (list []Endpoint) {
	for i := range servers {
		list = append(list, Endpoint{ID: EndpointID(0x9e3779b97f4a7c15 * uint64(i+1)), Zone: i % 2, State: Ready, Weight: 1})
	}
	return list
}

// silentHost carries nothing out, so that only the decisions are measured.
type silentHost struct{ fakeHost }

func (*silentHost) Send(RequestID, EndpointID, time.Duration, time.Duration) {}
func (*silentHost) Reject(RequestID, time.Duration)                          {}
func (*silentHost) Fail(RequestID)                                           {}
func (*silentHost) Cancel(RequestID, int)                                    {}
func (*silentHost) SetTimer(time.Duration)                                   {}
func (*silentHost) WatchEndpoints()                                          {}
func (*silentHost) Broadcast(GossipMessage)                                  {}

func benchRequests(b *testing.B, peers, servers int) {
	cfg := benchConfig(peers)
	x, err := New(cfg, 1, new(silentHost))
	if err != nil {
		b.Fatal(err)
	}
	const apart, took = time.Second / benchRate, 20 * ms
	now := time.Second
	x.Start(now)
	x.UpdateEndpoints(now, FullUpdate, benchEndpoints(servers))
	var next, done RequestID
	var wake time.Duration
	told, owed, news := 1, 0.0, 0
	hear := func() {
		for owed += float64(peers-1) * float64(apart) / float64(x.objective.times(broadcastInterval)); owed >= 1; owed-- {
			x.ReceiveGossip(now, told, GossipMessage{SentAt: now - ms, RequestRate: benchRate, Responses: benchRate / 2, Congestion: 0.0016})
			told, news = told%(peers-1)+1, news+1
		}
	}
	decide := func() {
		next++
		x.Request(now, Request{ID: next, Class: int(next % 2), Timeout: time.Second})
		for ; done+RequestID(took/apart) < next; done++ {
			x.Outcome(now, Outcome{RequestID: done + 1, Result: Succeeded, Answered: true})
		}
		if now >= wake {
			x.TimerFired(now)
			wake = now + activeTimerInterval
		}
	}
	for range 20 * benchRate { // until its rate is known, and as many as can be have told
		now += apart
		hear()
		decide()
	}
	news = 0
	before := x.Counters()
	var deciding, hearing time.Duration
	b.ReportAllocs()
	for b.Loop() {
		now += apart
		begun := time.Now()
		hear()
		heard := time.Now()
		decide()
		deciding += time.Since(heard)
		hearing += heard.Sub(begun)
	}
	if after := x.Counters(); after.Rejected != before.Rejected || after.ConcurrencyLimited != before.ConcurrencyLimited || after.RoundRobinSends == before.RoundRobinSends {
		b.Fatalf("not the ordinary path: %+v, %+v before", after, before)
	}
	b.ReportMetric(float64(deciding.Nanoseconds())/float64(b.N), "ns/request")
	b.ReportMetric(float64(hearing.Nanoseconds())/max(1, float64(news)), "ns/news")
	b.ReportMetric(float64(news)/float64(b.N), "news/op")
}
