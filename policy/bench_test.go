package policy

import (
	"fmt"
	"testing"
	"time"
)

// benchRate is the requests per second at each balancer, as in the largest fleet that the design is for.
const benchRate = 373

// BenchmarkRequest measures what the decisions for a request take (its start and its end, and its part of the timers)
// over the number of peers and of endpoints ("servers"): it must be the same in a fleet of any size. Gossip comes
// meanwhile at the rate at which peers broadcast, and is measured by itself: ns/news is for one message ("news"), and
// news/op is the messages for each request. Records of earlier measurements use these names and units.
func BenchmarkRequest(b *testing.B) {
	for _, peers := range []int{16, 300, 1000, 11000} {
		for _, endpoints := range []int{16, 200, 11000} {
			b.Run(fmt.Sprintf("peers=%d/servers=%d", peers, endpoints), func(b *testing.B) { benchRequests(b, peers, endpoints) })
		}
	}
}

// BenchmarkList measures a full update of the endpoint list, a repeated one, and a delta update of one entry.
func BenchmarkList(b *testing.B) {
	for _, endpoints := range []int{16, 200, 11000} {
		list := benchEndpoints(endpoints)
		b.Run(fmt.Sprintf("full/servers=%d", endpoints), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				start(b, benchConfig(16), list)
			}
		})
		b.Run(fmt.Sprintf("again/servers=%d", endpoints), func(b *testing.B) {
			x, _ := start(b, benchConfig(16), list)
			b.ReportAllocs()
			for b.Loop() {
				x.UpdateEndpoints(0, FullUpdate, list)
			}
		})
		b.Run(fmt.Sprintf("delta/servers=%d", endpoints), func(b *testing.B) {
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

// benchEndpoints returns a list in no order of ids, like that of discovery.
func benchEndpoints(endpoints int) (list []Endpoint) {
	for i := range endpoints {
		list = append(list, Endpoint{ID: EndpointID(0x9e3779b97f4a7c15 * uint64(i+1)), Zone: i % 2, State: Ready, Weight: 1})
	}
	return list
}

// silentHost does nothing, so that only the decisions are measured.
type silentHost struct{ fakeHost }

func (*silentHost) Send(RequestID, EndpointID, time.Duration, time.Duration) {}
func (*silentHost) Reject(RequestID, time.Duration)                          {}
func (*silentHost) Fail(RequestID)                                           {}
func (*silentHost) Cancel(RequestID, int)                                    {}
func (*silentHost) SetTimer(time.Duration)                                   {}
func (*silentHost) WatchEndpoints()                                          {}
func (*silentHost) Broadcast(GossipMessage)                                  {}

// requestBenchmark plays requests and gossip at a fixed rate.
type requestBenchmark struct {
	*Balancer
	now          time.Duration
	latest       RequestID
	finished     RequestID
	nextTimer    time.Duration
	peers        int
	nextPeer     int
	messagesOwed float64 // owed by the peers
	messages     int     // received
}

const (
	benchInterval = time.Second / benchRate // between requests
	benchLatency  = 20 * ms
)

func newRequestBenchmark(b *testing.B, peers, endpoints int) *requestBenchmark {
	b.Helper()
	balancer, err := New(benchConfig(peers), 1, new(silentHost))
	if err != nil {
		b.Fatal(err)
	}
	x := &requestBenchmark{Balancer: balancer, now: time.Second, peers: peers, nextPeer: 1}
	x.Start(x.now)
	x.UpdateEndpoints(x.now, FullUpdate, benchEndpoints(endpoints))
	return x
}

// receiveMessages passes the gossip that comes in an interval.
func (x *requestBenchmark) receiveMessages() {
	perBalancer := float64(benchInterval) / float64(x.objective.times(broadcastInterval))
	for x.messagesOwed += float64(x.peers-1) * perBalancer; x.messagesOwed >= 1; x.messagesOwed-- {
		x.ReceiveGossip(x.now, x.nextPeer,
			GossipMessage{SentAt: x.now - ms, RequestRate: benchRate, Responses: benchRate / 2, Congestion: 0.0016})
		x.nextPeer = x.nextPeer%(x.peers-1) + 1
		x.messages++
	}
}

// runRequest passes a request, the outcomes of earlier ones, and a timer when it is due.
func (x *requestBenchmark) runRequest() {
	x.latest++
	x.Request(x.now, Request{ID: x.latest, Class: int(x.latest % 2), Timeout: time.Second})
	for ; x.finished+RequestID(benchLatency/benchInterval) < x.latest; x.finished++ {
		x.Outcome(x.now, Outcome{RequestID: x.finished + 1, Result: Succeeded, Answered: true})
	}
	if x.now >= x.nextTimer {
		x.TimerFired(x.now)
		x.nextTimer = x.now + activeTimerInterval
	}
}

func benchRequests(b *testing.B, peers, endpoints int) {
	x := newRequestBenchmark(b, peers, endpoints)
	for range 20 * benchRate { // until its rate is known, and as many peers as can have sent a message
		x.now += benchInterval
		x.receiveMessages()
		x.runRequest()
	}
	x.messages = 0
	before := x.Counters()
	var requestTime, gossipTime time.Duration
	b.ReportAllocs()
	for b.Loop() {
		x.now += benchInterval
		begun := time.Now()
		x.receiveMessages()
		received := time.Now()
		x.runRequest()
		requestTime += time.Since(received)
		gossipTime += received.Sub(begun)
	}
	after := x.Counters()
	rejected, limited := after.Rejected != before.Rejected, after.ConcurrencyLimited != before.ConcurrencyLimited
	if rejected || limited || after.RoundRobinSends == before.RoundRobinSends {
		b.Fatalf("not the ordinary path: %+v, %+v before", after, before)
	}
	b.ReportMetric(float64(requestTime.Nanoseconds())/float64(b.N), "ns/request")
	b.ReportMetric(float64(gossipTime.Nanoseconds())/max(1, float64(x.messages)), "ns/news")
	b.ReportMetric(float64(x.messages)/float64(b.N), "news/op")
}
