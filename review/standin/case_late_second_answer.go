package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The limits of the disruption and of the deployment around it.
const (
	// A server sends a second copy of this share of its answers.
	secondAnswerShare = 0.2
	// The second copy comes some milliseconds late: from minLateness to maxLateness after the answer.
	minLateness = 2 * time.Millisecond
	maxLateness = 12 * time.Millisecond
	// The one-way delays of the network within a zone and between the two zones.
	sameZoneDelay  = 150 * time.Microsecond
	crossZoneDelay = 600 * time.Microsecond
	// The time that a server works on a request.
	minWork = 8 * time.Millisecond
	maxWork = 20 * time.Millisecond

	lateAnswerServers = 8
	lateAnswerLength  = 60 * time.Second
	// With fewer answers the run shows nothing.
	minLateAnswerServed = 2000
)

// usualSettings are the settings of a sidecar with the highest limits of the pages.
var usualSettings = siteSettings{quotaPerSecond: 300, memoryMB: 192, descriptors: 1024}

// madeAnswers holds the bodies that servers made for each request.
type madeAnswers struct {
	mu     sync.Mutex
	bodies map[string]map[string]bool // by request, then by body
}

func (m *madeAnswers) add(x *exchange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bodies[x.id] == nil {
		m.bodies[x.id] = make(map[string]bool)
	}
	m.bodies[x.id][x.body] = true
}

// madeFor reports whether a server made a body for a request.
func (m *madeAnswers) madeFor(r *clientRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bodies[r.id][r.body]
}

// runLateSecondAnswer checks that each client that is served gets an answer that a server made for its request,
// while some answers come twice: the second copy some milliseconds late, and only if nothing else waits on the
// connection.
func runLateSecondAnswer(e *environment) (violations int, err error) {
	made := &madeAnswers{bodies: make(map[string]map[string]bool)}
	servers, err := startServers(lateAnswerServers, e.record, func(x *exchange) bool {
		time.Sleep(minWork + rand.N(maxWork-minWork))
		made.add(x)
		if !x.write(x.text()) {
			return false
		}
		if !e.trouble || rand.Float64() >= secondAnswerShare {
			return true
		}
		lateness := minLateness + rand.N(maxLateness-minLateness)
		if !x.conn.quietFor(lateness) {
			return true // another request waits on the connection, or the sidecar has closed it
		}
		x.server.record.printf("server %d sends its answer to %s again, %v after the first", x.server.index, x.id, lateness)
		return x.write(x.text())
	})
	if err != nil {
		return 0, err
	}
	var addresses []string
	for i, s := range servers {
		l, err := startLink(s.address(), []time.Duration{sameZoneDelay, crossZoneDelay}[i%2])
		if err != nil {
			return 0, err
		}
		addresses = append(addresses, l.address())
	}
	d, err := startDiscovery(addresses)
	if err != nil {
		return 0, err
	}
	if err := e.startSidecar(d.address(), usualSettings); err != nil {
		return 0, err
	}
	load := loadPlan{
		clients: 12, meanPause: 40 * time.Millisecond, timeout: 2500 * time.Millisecond, length: lateAnswerLength,
		classes: []string{classMapView, classPisteUpdate, classPrintOrder},
	}
	requests := load.run(e)
	served := 0
	for _, r := range requests {
		if r.status != 200 {
			continue
		}
		served++
		if !made.madeFor(r) {
			violations++
			e.record.printf("RULE BROKEN: %s %s was served with %q, which no server made for it", r.class, r.id, r.body)
		}
	}
	e.record.summary("%d requests, %d served, %d of them with an answer that was made for another request", len(requests), served, violations)
	if served < minLateAnswerServed {
		return 0, errTooFewAnswers
	}
	return violations, nil
}
