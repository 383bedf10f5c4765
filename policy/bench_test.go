package policy

import (
	"fmt"
	"testing"
	"time"
)

// benchRate is the number of requests per second at each balancer, as in the largest fleet that the design supports.
const benchRate = 373

// BenchmarkRequest measures the time that the decisions for a request take, from its arrival to its outcome and including
// its share of the timers, for different numbers of peers and of endpoints ("servers"). The time must not depend on the
// size of the fleet. Gossip arrives at the rate at which peers broadcast and is measured separately: ns/news is the time
// for one message ("news"), and news/op is the number of messages per request. Earlier results use these names and units.
func BenchmarkRequest(b *testing.B) {
	for _, peers := range []int{16, 300, 1000, 11000} {
		for _, endpoints := range []int{16, 200, 11000} {
			b.Run(fmt.Sprintf("peers=%d/servers=%d", peers, endpoints), func(b *testing.B) { benchRequests(b, peers, endpoints) })
		}
	}
}

// BenchmarkList measures a first full update of the endpoint list, including the start of a Balancer, a full update
// without changes, and a delta update with one entry.
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
			balancer, _ := start(b, benchConfig(16), list)
			b.ReportAllocs()
			for b.Loop() {
				balancer.UpdateEndpoints(0, FullUpdate, list)
			}
		})
		b.Run(fmt.Sprintf("delta/servers=%d", endpoints), func(b *testing.B) {
			balancer, _ := start(b, benchConfig(16), list)
			b.ReportAllocs()
			for b.Loop() {
				balancer.UpdateEndpoints(0, DeltaUpdate, list[:1])
			}
		})
	}
}

// benchConfig returns the configuration of one of the given number of balancers.
func benchConfig(peers int) Config {
	cfg := largeFleetConfig(peers)
	cfg.Tenants = []Tenant{{Weight: 1, Quota: benchRate * float64(peers)}}
	return cfg
}

// benchEndpoints returns an endpoint list that is not ordered by ID, like the lists of discovery.
func benchEndpoints(endpoints int) (list []Endpoint) {
	for i := range endpoints {
		list = append(list, Endpoint{ID: EndpointID(0x9e3779b97f4a7c15 * uint64(i+1)), Zone: i % 2, State: Ready, Weight: 1})
	}
	return list
}

// noopHost does nothing, so that only the decisions are measured.
type noopHost struct{ fakeHost }

func (*noopHost) Send(RequestID, EndpointID, time.Duration, time.Duration) {}
func (*noopHost) Reject(RequestID, time.Duration)                          {}
func (*noopHost) Fail(RequestID)                                           {}
func (*noopHost) Cancel(RequestID, int)                                    {}
func (*noopHost) SetTimer(time.Duration)                                   {}
func (*noopHost) WatchEndpoints()                                          {}
func (*noopHost) Broadcast(GossipMessage)                                  {}

// requestBenchmark passes requests and gossip messages to a Balancer at fixed rates.
type requestBenchmark struct {
	*Balancer
	now         time.Duration
	latestID    RequestID
	finishedID  RequestID
	nextTimer   time.Duration
	peers       int
	nextPeer    int
	messagesDue float64 // due from the peers; fractional
	messages    int     // received messages
}

const (
	benchInterval = time.Second / benchRate // time between two requests
	benchLatency  = 20 * ms                 // time from a request to its outcome
)

func newRequestBenchmark(b *testing.B, peers, endpoints int) *requestBenchmark {
	b.Helper()
	balancer, err := New(benchConfig(peers), 1, new(noopHost))
	if err != nil {
		b.Fatal(err)
	}
	bench := &requestBenchmark{Balancer: balancer, now: time.Second, peers: peers, nextPeer: 1}
	bench.Start(bench.now)
	bench.UpdateEndpoints(bench.now, FullUpdate, benchEndpoints(endpoints))
	return bench
}

// receiveMessages passes the gossip messages of one interval.
func (r *requestBenchmark) receiveMessages() {
	perBalancer := float64(benchInterval) / float64(r.objective.times(broadcastInterval))
	for r.messagesDue += float64(r.peers-1) * perBalancer; r.messagesDue >= 1; r.messagesDue-- {
		r.ReceiveGossip(r.now, r.nextPeer,
			GossipMessage{SentAt: r.now - ms, RequestRate: benchRate, Responses: benchRate / 2, Congestion: 0.0016})
		r.nextPeer = r.nextPeer%(r.peers-1) + 1
		r.messages++
	}
}

// runRequest passes a request, the outcomes of earlier requests that are due, and the timer if it is due.
func (r *requestBenchmark) runRequest() {
	r.latestID++
	r.Request(r.now, Request{ID: r.latestID, Class: int(r.latestID % 2), Timeout: time.Second})
	for ; r.finishedID+RequestID(benchLatency/benchInterval) < r.latestID; r.finishedID++ {
		r.Outcome(r.now, Outcome{RequestID: r.finishedID + 1, Result: Succeeded, Answered: true})
	}
	if r.now >= r.nextTimer {
		r.TimerFired(r.now)
		r.nextTimer = r.now + activeTimerInterval
	}
}

func benchRequests(b *testing.B, peers, endpoints int) {
	bench := newRequestBenchmark(b, peers, endpoints)
	for range 20 * benchRate { // until the request rate is known and as many peers as possible have sent a message
		bench.now += benchInterval
		bench.receiveMessages()
		bench.runRequest()
	}
	bench.messages = 0
	before := bench.Counters()
	var requestTime, gossipTime time.Duration
	b.ReportAllocs()
	for b.Loop() {
		bench.now += benchInterval
		start := time.Now()
		bench.receiveMessages()
		received := time.Now()
		bench.runRequest()
		requestTime += time.Since(received)
		gossipTime += received.Sub(start)
	}
	after := bench.Counters()
	rejected, limited := after.Rejected != before.Rejected, after.ConcurrencyLimited != before.ConcurrencyLimited
	if rejected || limited || after.RoundRobinSends == before.RoundRobinSends {
		b.Fatalf("requests rejected or limited, or none sent in round-robin order: counters %+v, before %+v", after, before)
	}
	b.ReportMetric(float64(requestTime.Nanoseconds())/float64(b.N), "ns/request")
	b.ReportMetric(float64(gossipTime.Nanoseconds())/max(1, float64(bench.messages)), "ns/news")
	b.ReportMetric(float64(bench.messages)/float64(b.N), "news/op")
}
