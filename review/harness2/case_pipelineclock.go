package main

import (
	"sync"
	"time"
)

// toldSlack is by how much the time that an attempt tells may exceed what is left to the client.
const toldSlack = 150 * time.Millisecond

// pipelineClock lets a client send many commands at once on one connection, and more of them before the first
// ones are all answered. The time of a request must not begin anew with bytes that follow it: no attempt may tell
// more time than is left to the client, and no answer may come later than the slack allows.
func pipelineClock(t *testbed) error {
	const (
		burst         = 24 // commands; two bursts have about 10 KB
		gap           = 2300 * time.Millisecond
		work          = 170 * time.Millisecond
		timeout       = 2500 * time.Millisecond
		watchFor      = 10 * time.Second // longer than the rule allows, so that the record shows a late answer
		printBodySize = 16               // bytes
	)
	if err := t.startServers(8, work); err != nil {
		return err
	}
	runs := t.countRuns()
	t.serve()
	err := t.startSidecar(smallDeployment)
	if err != nil {
		return err
	}
	requests := mixedRequests(2*burst, timeout, printBodySize)
	if t.trouble {
		err = t.sendOnOneConnection(requests, burst, gap, watchFor)
	} else {
		err = t.sendOnConnectionsOfTheirOwn(requests, burst, gap, watchFor)
	}
	if err != nil {
		return err
	}
	runs.checkToldTimes(t.record, requests)
	return nil
}

// sendOnOneConnection sends requests on one connection, all but the first burst after a gap, and checks their
// answers.
func (t *testbed) sendOnOneConnection(requests []*clientRequest, burst int, gap, watchFor time.Duration) error {
	c, err := t.connect()
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.send(requests[:burst]...); err != nil {
		return err
	}
	var second sync.WaitGroup
	second.Go(func() {
		time.Sleep(gap)
		_ = c.send(requests[burst:]...) // a failed write shows in the answers
	})
	defer second.Wait()
	for i, r := range requests {
		if i == burst {
			second.Wait()
		}
		a, err := c.receive(r, r.sentAt.Add(watchFor))
		if t.checkAnswered(r, a, err); err != nil {
			break
		}
	}
	return nil
}

// sendOnConnectionsOfTheirOwn sends each request on its own connection, all but the first burst after a gap, and
// checks their answers.
func (t *testbed) sendOnConnectionsOfTheirOwn(requests []*clientRequest, burst int, gap, watchFor time.Duration) error {
	var clients sync.WaitGroup
	defer clients.Wait()
	for i, r := range requests {
		if i == burst {
			time.Sleep(gap)
		}
		c, err := t.connect()
		if err != nil {
			return err
		}
		if err := c.send(r); err != nil {
			return err
		}
		clients.Go(func() {
			defer c.close()
			a, err := c.receive(r, r.sentAt.Add(watchFor))
			t.checkAnswered(r, a, err)
		})
	}
	return nil
}

// mixedRequests returns requests of all classes, in about the shares of the brief.
func mixedRequests(count int, timeout time.Duration, bodyBytes int) []*clientRequest {
	classes := []string{classPrintOrder, classMapView, classMapView, classPisteUpdate, classMapView, classMapView}
	var requests []*clientRequest
	for n := range count {
		r := newRequest(n, classes[n%len(classes)], timeout)
		if r.class != classMapView {
			r.bodyBytes = bodyBytes
		}
		requests = append(requests, r)
	}
	return requests
}

// checkToldTimes checks that no attempt told its map server more time than was left to the client.
func (l *runLog) checkToldTimes(record *record, requests []*clientRequest) {
	byID := make(map[string]*clientRequest)
	for _, r := range requests {
		byID[r.id] = r
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		r := byID[a.id]
		left := max(0, r.time().Sub(a.receivedAt))
		if a.told > left+toldSlack {
			record.violation("lost: an attempt of %s (%s) told %v when %v was left to the client", a.id, a.class, a.told, left)
		}
	}
}
