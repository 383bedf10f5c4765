package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// loadPlan is an open load of several clients, each of which sends one request at a time and pauses between
// two requests.
type loadPlan struct {
	clients   int
	meanPause time.Duration
	timeout   time.Duration // X-Timeout of each request
	length    time.Duration // of the load
	classes   []string      // drawn evenly
}

// run sends the load, until its end or until the sidecar has exited, and returns all requests with their answers.
func (p loadPlan) run(e *environment) []*clientRequest {
	var wg sync.WaitGroup
	byClient := make([][]*clientRequest, p.clients)
	end := time.Now().Add(p.length)
	for n := range p.clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			byClient[n] = p.runClient(e, n, end)
		}()
	}
	wg.Wait()
	var all []*clientRequest
	for _, requests := range byClient {
		all = append(all, requests...)
	}
	return all
}

func (p loadPlan) runClient(e *environment, number int, end time.Time) (requests []*clientRequest) {
	rng := rand.New(rand.NewPCG(1, uint64(number)))
	c := &client{address: e.address, record: e.record}
	defer c.close()
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(p.meanPause)))
		if e.hasExited() || !time.Now().Before(end) {
			return requests
		}
		r := &clientRequest{
			id:      fmt.Sprintf("c%d-%d", number, len(requests)),
			class:   p.classes[rng.IntN(len(p.classes))],
			timeout: p.timeout,
		}
		c.do(r, "one map tile")
		requests = append(requests, r)
	}
}
