package main

import (
	"net/http"
	"sync"
	"time"
)

// borrowedID lets a bad client send two requests at once, the second with the ID of another client's open
// request. The bad client is owed an error or a close, and the other client's print order must not run twice.
func borrowedID(t *testbed) error {
	const (
		work          = 100 * time.Millisecond
		lead          = 50 * time.Millisecond // from the usual client's request to those of the bad client
		timeout       = 2500 * time.Millisecond
		rounds        = 5
		printBodySize = 212 // bytes
	)
	if err := t.startServers(8, work); err != nil {
		return err
	}
	runs := t.countRuns()
	t.serve()
	if err := t.startSidecar(smallDeployment); err != nil {
		return err
	}
	for round := range rounds {
		order := newRequest(2*round, classPrintOrder, timeout)
		order.bodyBytes = printBodySize
		usual, err := t.connect()
		if err != nil {
			return err
		}
		defer usual.close()
		if err := usual.send(order); err != nil {
			return err
		}
		var bad sync.WaitGroup
		if t.trouble {
			time.Sleep(lead)
			c, err := t.connect()
			if err != nil {
				return err
			}
			defer c.close()
			ahead := newRequest(2*round+1, classMapView, timeout)
			borrowed := newRequest(2*round, classPrintOrder, timeout) // the ID of order, which is open
			borrowed.bodyBytes = printBodySize
			t.record.add("the bad client sends a request of its own and one with the ID of an open request")
			if err := c.send(ahead, borrowed); err != nil {
				return err
			}
			bad.Go(func() { t.checkTurnedAway(c, ahead, borrowed) })
		}
		a, err := usual.receive(order, order.time().Add(answerSlack))
		t.checkAnswered(order, a, err)
		bad.Wait()
		if n := runs.of(order.id); n > 1 {
			t.record.violation("duplicate: print order %s ran %d times", order.id, n)
		}
	}
	return nil
}

// checkTurnedAway checks that a bad client gets an error or a close for its second request.
func (t *testbed) checkTurnedAway(c *client, ahead, borrowed *clientRequest) {
	if _, err := c.receive(ahead, ahead.time().Add(answerSlack)); err != nil {
		return
	}
	a, err := c.receive(borrowed, borrowed.time().Add(answerSlack))
	if err == nil && a.status < http.StatusBadRequest {
		t.record.violation("lost: the bad client was served %d for the ID of another client's request, %s", a.status, borrowed.id)
	}
}
