package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	endlessHeadServers = 8
	endlessHeadLength  = 40 * time.Second
	// The share of the answers that are spoilt: their head doesn't end.
	endlessHeadShare = 0.1
	// A server sends an endless head at this rate, in bytes per second, in a piece for each interval.
	endlessHeadRate     = 256 << 10
	endlessHeadInterval = 20 * time.Millisecond
	// The time that a server works on a request.
	minEndlessHeadWork = 10 * time.Millisecond
	maxEndlessHeadWork = 30 * time.Millisecond
	// With fewer requests the run shows nothing, unless the sidecar was killed.
	minEndlessHeadRequests = 1000
)

// endlessHeadSettings has the limits of a sidecar: the pages give 32 to 192 MB and 256 to 1,024 descriptors.
var endlessHeadSettings = siteSettings{quotaPerSecond: 300, memoryMB: 64, descriptors: 512}

// runEndlessHead checks that the sidecar stays within its memory limit while one of ten answers is spoilt: its
// head consists of short header lines and doesn't end.
func runEndlessHead(e *environment) (violations int, err error) {
	servers, err := startServers(endlessHeadServers, e.record, func(x *exchange) bool {
		time.Sleep(minEndlessHeadWork + rand.N(maxEndlessHeadWork-minEndlessHeadWork))
		if !e.trouble || rand.Float64() >= endlessHeadShare {
			return x.write(x.text())
		}
		x.server.record.printf("server %d answers %s with a head that doesn't end", x.server.index, x.id)
		x.writeEndlessHead()
		return false
	})
	if err != nil {
		return 0, err
	}
	d, err := startDiscovery(addressesOf(servers))
	if err != nil {
		return 0, err
	}
	if err := e.startSidecar(d.address(), endlessHeadSettings); err != nil {
		return 0, err
	}
	watch := watchMemory(e, endlessHeadSettings.memoryMB)
	load := loadPlan{
		clients: 60, meanPause: 200 * time.Millisecond, timeout: 2500 * time.Millisecond, length: endlessHeadLength,
		classes: []string{classMapView, classPisteUpdate, classPrintOrder},
	}
	requests := load.run(e)
	watch.end()
	served, unanswered := 0, 0
	for _, r := range requests {
		switch r.status {
		case 0:
			unanswered++
		case 200:
			served++
		}
	}
	e.record.summary("%d requests, %d served, %d without an answer; memory of the sidecar at most %d KB, limit %d MB",
		len(requests), served, unanswered, watch.peakKB, endlessHeadSettings.memoryMB)
	if watch.killed {
		return 1, nil
	}
	if len(requests) < minEndlessHeadRequests {
		return 0, errTooFewAnswers
	}
	return 0, nil
}

// writeEndlessHead writes the head of an answer that doesn't end, until the sidecar closes the connection.
func (x *exchange) writeEndlessHead() {
	open := x.write("HTTP/1.1 200 OK\r\n")
	for n := 0; open; time.Sleep(endlessHeadInterval) {
		var piece strings.Builder
		for piece.Len() < int(endlessHeadRate*endlessHeadInterval.Seconds()) {
			n++
			fmt.Fprintf(&piece, "X-%d: 1\r\n", n)
		}
		open = x.write(piece.String())
	}
}
