package main

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// guideDeployment is a deployment with the classes of the second site file.
var guideDeployment = sidecarConfig{
	memoryMB: 192, sockets: 1024, discovery: "ask", grace: 500 * time.Millisecond, crossZoneCost: 0.02,
	classes: []classConfig{
		{classStopInfo, "free", "all", 1000, 2000, 5000, 1},
		{"track-fetch", "free", "all", 2000, 4000, 5000, 3},
		{"code-redeem", "guarded", "cell", 800, 2000, 10000, 3},
		{"listen-log", "guarded", "cell", 1500, 6000, 12000, 2},
	},
}

// classStopInfo is a class of guideDeployment whose requests are safe to repeat.
const classStopInfo = "stop-info"

// otherZone is the link of the second site file to map servers in another zone, with the longest delay and the
// largest jitter.
var otherZone = link{delay: 10 * time.Millisecond, jitter: 0.35}

// link is the network between the sidecar and a map server. Each message takes the one-way delay, more or less by up
// to the jitter, and messages stay in order.
type link struct {
	delay  time.Duration // one way
	jitter float64       // fraction of the delay
}

// draw returns the delay of one message.
func (l link) draw() time.Duration {
	return time.Duration(float64(l.delay) * (1 + l.jitter*(2*rand.Float64()-1)))
}

// lateCopy lets map servers send some answers twice, the second copy some milliseconds after the first and only if
// no other request waits on the connection. All map servers are in the zone that is not the sidecar's. No client may
// get the answer to another request.
func lateCopy(t *testbed) error {
	const (
		servers      = 4
		clients      = 12
		duration     = 80 * time.Second
		maxThinkTime = 20 * time.Millisecond // of a client, between an answer and its next request
		timeout      = 1100 * time.Millisecond
	)
	if err := t.startServers(servers, 0); err != nil {
		return err
	}
	for i, s := range t.servers {
		t.discovery.instances[i].zone = zoneNames[1]
		go t.serveOverLink(s, otherZone)
	}
	if err := t.startSidecar(guideDeployment); err != nil {
		return err
	}
	var wait sync.WaitGroup
	end := time.Now().Add(duration)
	for n := range clients {
		c, err := t.connect()
		if err != nil {
			return err
		}
		defer c.close()
		wait.Go(func() {
			const numbersPerClient = 1 << 16
			for number := n * numbersPerClient; time.Now().Before(end); number++ {
				r := newRequest(number, classStopInfo, timeout)
				if err := c.send(r); err != nil {
					t.record.violation("lost: %s could not be sent: %v", r.id, err)
					return
				}
				a, err := c.receive(r, r.time().Add(answerSlack))
				if t.checkAnswered(r, a, err); err != nil {
					return
				}
				if a.status == http.StatusOK && a.body != ownBody(r.id) {
					t.record.violation("lost: %s was served the answer of another request, %q", r.id, a.body)
				}
				time.Sleep(rand.N(maxThinkTime))
			}
		})
	}
	wait.Wait()
	return nil
}

// serveOverLink accepts the connections of a map server behind a link.
func (t *testbed) serveOverLink(s *mapServer, network link) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go t.serveLinkedConnection(s, network, c)
	}
}

// serveLinkedConnection serves the requests of one connection, one after the other.
func (t *testbed) serveLinkedConnection(s *mapServer, network link, c net.Conn) {
	const (
		work      = 10 * time.Millisecond
		copyDelay = 6 * time.Millisecond // from an answer to its second copy
		copyShare = 0.25                 // of the answers
	)
	requests := make(chan string, 1) // IDs of requests that have reached the map server
	go readOverLink(c, network, requests)
	answers := make(chan linkedMessage, 16)
	defer close(answers)
	go writeOverLink(c, answers)
	var lastArrival time.Time
	send := func(text string) {
		arrival := time.Now().Add(network.draw())
		if arrival.Before(lastArrival) {
			arrival = lastArrival
		}
		lastArrival = arrival
		answers <- linkedMessage{text, arrival}
	}
	id, open := <-requests
	for open {
		t.record.add("server %d runs %s", s.index, id)
		time.Sleep(work)
		text := wholeAnswer(ownBody(id))
		send(text)
		if !t.trouble || rand.Float64() >= copyShare {
			id, open = <-requests
			continue
		}
		answered := id
		select {
		case id, open = <-requests: // a request waits, so there is no second copy
		case <-time.After(copyDelay):
			send(text)
			t.record.add("server %d sends a second copy of the answer to %s", s.index, answered)
			id, open = <-requests
		}
	}
}

// linkedMessage is an answer on its way to the sidecar.
type linkedMessage struct {
	text    string
	arrival time.Time
}

// readOverLink reads requests and passes on their IDs when they have reached the map server.
func readOverLink(c net.Conn, network link, requests chan<- string) {
	defer close(requests)
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		time.Sleep(network.draw())
		requests <- request.Header.Get("X-Request-ID")
	}
}

// writeOverLink writes each answer when it arrives at the sidecar, and closes the connection after the last.
func writeOverLink(c net.Conn, answers <-chan linkedMessage) {
	defer c.Close()
	for m := range answers {
		time.Sleep(time.Until(m.arrival))
		_, _ = io.WriteString(c, m.text) // fails if the sidecar has closed the connection
	}
}
