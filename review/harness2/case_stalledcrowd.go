package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// stalledCrowd lets bad clients stop in the middle of a request and stay: each connects, makes a readiness check,
// and then sends the first bytes of a request and no more. A usual client's request on a new connection has to
// get its final answer all the same.
func stalledCrowd(t *testbed) error {
	const (
		descriptors  = 256 // the sidecar may hold
		badClients   = 150
		usualClients = 6
		crowdLead    = 500 * time.Millisecond // from the bad clients' connects to the usual clients' requests
		work         = 80 * time.Millisecond
		timeout      = 2500 * time.Millisecond
		watchFor     = 12 * time.Second // longer than the rule allows, so that the record shows a late answer
	)
	if err := t.startServers(8, work); err != nil {
		return err
	}
	t.serve()
	config := smallDeployment
	config.sockets = descriptors
	if err := t.startSidecar(config); err != nil {
		return err
	}
	if t.trouble {
		closeCrowd, err := t.startCrowd(badClients)
		if err != nil {
			return err
		}
		defer closeCrowd()
	}
	time.Sleep(crowdLead)
	var clients sync.WaitGroup
	for n := range usualClients {
		r := newRequest(n, classMapView, timeout)
		clients.Go(func() {
			a, err := t.sendOnNewConnection(r, watchFor)
			t.checkAnswered(r, a, err)
		})
	}
	clients.Wait()
	return nil
}

// startCrowd connects bad clients. The returned function closes those that are left.
func (t *testbed) startCrowd(size int) (closeAll func(), err error) {
	var conns []net.Conn
	closeAll = func() {
		for _, c := range conns {
			c.Close()
		}
	}
	for n := range size {
		c, err := net.Dial("tcp", t.address)
		if err != nil {
			closeAll()
			return nil, err
		}
		conns = append(conns, c)
		go t.runStalledClient(n, c)
	}
	t.record.add("%d bad clients have connected", size)
	return closeAll, nil
}

// runStalledClient runs one bad client on its connection.
func (t *testbed) runStalledClient(number int, c net.Conn) {
	// firstBytes is how much of its request the client sends.
	const firstBytes = 3
	defer c.Close()
	if _, err := io.WriteString(c, "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"); err != nil {
		return
	}
	reader := bufio.NewReader(c)
	if _, err := http.ReadResponse(reader, nil); err != nil {
		return
	}
	const firstNumber = 1000 // of the bad clients' requests
	text := newRequest(firstNumber+number, classMapView, time.Second).encode()
	if _, err := c.Write(text[:firstBytes]); err != nil {
		return
	}
	stoppedAt := time.Now()
	t.record.add("bad client %d stops after %d bytes of a request", number, firstBytes)
	_, _ = io.Copy(io.Discard, reader) // until the sidecar closes the connection, or the case ends
	t.record.add("bad client %d ends %v after it stopped", number, time.Since(stoppedAt))
}

// sendOnNewConnection sends a request on a new connection, and once more on another one if the sidecar closes the
// first without an answer, as it may close a connection that it has not read.
func (t *testbed) sendOnNewConnection(r *clientRequest, watchFor time.Duration) (a answer, err error) {
	for range 2 {
		var c *client
		if c, err = t.connect(); err != nil {
			continue
		}
		if err = c.send(r); err == nil {
			a, err = c.receive(r, r.sentAt.Add(watchFor))
		}
		c.close()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	return a, err
}
