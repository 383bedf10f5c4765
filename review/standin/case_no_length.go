package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	noLengthServers = 8
	noLengthLength  = 30 * time.Second
	// One of this many answers has no length; the others have Content-Length.
	noLengthEvery = 3
	// The time that a server works on a request.
	noLengthWork = 20 * time.Millisecond
	// At least this share of the whole answers without a length has to be forwarded.
	minForwardedShare = 0.5
	// With fewer of these answers the run shows nothing.
	minNoLengthAnswers = 200
	minNoLengthServed  = 1000
)

// markedAnswers holds the answers without a length that came whole, by request and body.
type markedAnswers struct {
	mu     sync.Mutex
	bodies map[string]string // request ID by body
}

// runNoLength checks that at least half of the answers without a length that come whole are forwarded. One of
// three answers has neither Content-Length nor chunked encoding and ends with an orderly close of its
// connection.
func runNoLength(e *environment) (violations int, err error) {
	marked := &markedAnswers{bodies: make(map[string]string)}
	servers, err := startServers(noLengthServers, e.record, func(x *exchange) bool {
		time.Sleep(noLengthWork)
		if !e.trouble || x.number%noLengthEvery != 0 {
			return x.write(x.text())
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", x.body)
		if !x.write(text) || x.conn.Conn.(*net.TCPConn).CloseWrite() != nil {
			return false
		}
		marked.mu.Lock()
		marked.bodies[x.body] = x.id
		marked.mu.Unlock()
		x.server.record.printf("server %d answered %s without a length, whole, and ended the connection", x.server.index, x.id)
		x.conn.quietFor(time.Second) // the sidecar closes its side
		return false
	})
	if err != nil {
		return 0, err
	}
	d, err := startDiscovery(addressesOf(servers))
	if err != nil {
		return 0, err
	}
	if err := e.startSidecar(d.address(), usualSettings); err != nil {
		return 0, err
	}
	load := loadPlan{
		clients: 6, meanPause: 60 * time.Millisecond, timeout: 2500 * time.Millisecond, length: noLengthLength,
		classes: []string{classMapView, classPisteUpdate, classPrintOrder},
	}
	requests := load.run(e)
	served, forwarded, orders, failedOrders := 0, 0, 0, 0
	byID := make(map[string]*clientRequest)
	for _, r := range requests {
		byID[r.id] = r
		if r.status == 200 {
			served++
		}
	}
	for body, id := range marked.bodies {
		r := byID[id]
		if r == nil {
			continue
		}
		whole := r.status == 200 && r.body == body
		if whole {
			forwarded++
		}
		if r.class == classPrintOrder {
			orders++
			if r.status != 200 {
				failedOrders++
			}
		}
	}
	total := len(marked.bodies)
	e.record.summary("%d requests, %d served; of %d whole answers without a length %d were forwarded", len(requests), served, total, forwarded)
	e.record.summary("of %d print orders that ran and were answered without a length, %d were answered as failed or refused", orders, failedOrders)
	if e.trouble && total < minNoLengthAnswers || !e.trouble && served < minNoLengthServed {
		return 0, errTooFewAnswers
	}
	if float64(forwarded) < minForwardedShare*float64(total) {
		return total - forwarded, nil
	}
	return 0, nil
}
