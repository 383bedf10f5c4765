package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// countingListener counts the bytes that are read from each of its connections.
type countingListener struct {
	net.Listener
	conns chan *countingConn
}

type countingConn struct {
	*net.TCPConn
	received atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counting := &countingConn{TCPConn: c.(*net.TCPConn)}
	l.conns <- counting
	return counting, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// manyFields returns header fields of the given size in bytes, including the line break.
func manyFields(count, size int) string {
	var fields strings.Builder
	for n := range count {
		name := fmt.Sprintf("X%d:", n)
		fields.WriteString(name + strings.Repeat("v", max(0, size-len(name)-2)) + "\r\n")
	}
	return fields.String()
}

// Hundreds of clients stop in the middle of a long request, and stay. What the sidecar has read of their requests
// used to be bounded by the number of connections alone, and took it over its memory limit.
func TestUnfinishedRequestsFitIntoMemory(t *testing.T) {
	const memoryMB, descriptors = 32, 1024 // the least memory, and the most descriptors
	const softLimit = memoryMB << 20 / 2   // of the heap: see cmd/sidecar
	const clients = descriptors / 3        // may hold connections for requests
	const bodyBytes = 64 << 10
	head := func(fields string) string {
		return requestHead("POST", "entry", fmt.Sprintf("Content-Length: %d\r\n%sEnd: 1", bodyBytes, fields))
	}
	for name, text := range map[string]string{
		"most of a body":                          head("") + strings.Repeat("b", bodyBytes-1),
		"most of a body, many short fields":       head(manyFields(90, 6)) + strings.Repeat("b", bodyBytes-1),
		"most of a body, long fields":             head(manyFields(85, 170)) + strings.Repeat("b", bodyBytes-1),
		"head with many short fields, unfinished": strings.TrimSuffix(head(manyFields(90, 6)), "\r\n"),
		"head with long fields, unfinished":       strings.TrimSuffix(head(manyFields(85, 170)), "\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(t, fullListResponse(1, "ready"), func(file, _ map[string]any) {
				file["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors}
			})
			if n := cfg.maxClientConns(); n < clients {
				t.Fatalf("%d client connections are allowed, fewer than a third of the descriptors", n)
			}
			address, accepted := serveCounting(t, cfg)
			before := heapBytes()
			answered := make(chan int, clients)
			var received []*countingConn
			for n := range clients {
				c := sendOnNewConn(t, address, "")
				received = append(received, wait(t, "the connection", accepted))
				if _, err := c.Write([]byte(strings.Replace(text, "ID: r1", fmt.Sprintf("ID: s%03d", n), 1))); err != nil {
					t.Fatal(err)
				}
				go func() {
					if res, err := http.ReadResponse(bufio.NewReaderSize(c, 16), nil); err == nil {
						answered <- res.StatusCode
					}
				}()
			}
			awaitReceived(t, received, int64(len(text)+len("s000")-len("r1")), answered)
			if used := heapBytes() - before; used > softLimit {
				t.Errorf("unfinished requests on %d connections take %d KB, want at most %d KB", clients, used>>10, softLimit>>10)
			}
		})
	}
}

// serveCounting runs an HTTP server on which no time limit of a request ends within a test. It returns its address,
// and the connections that it accepts.
func serveCounting(t *testing.T, cfg *Config) (address string, accepted <-chan *countingConn) {
	t.Helper()
	handler := newIngress(cfg, newClock(), nil)
	handler.bodyTimeout, handler.rejectedBodyTimeout = testTimeout, testTimeout
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan *countingConn, 1)
	a := newAcceptor(countingListener{listener, conns}, cfg.maxClientConns())
	a.closeDelay = testTimeout
	a.receiveLimits = receiveLimits{head: testTimeout, request: testTimeout}
	server := handler.server(a)
	server.ReadHeaderTimeout = testTimeout
	go func() { _ = server.Serve(a) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), conns
}

// awaitReceived waits until each connection has received all bytes that its client has sent or been rejected.
func awaitReceived(t *testing.T, conns []*countingConn, sent int64, answered <-chan int) {
	t.Helper()
	rejected := 0
	for end := time.Now().Add(testTimeout); ; {
		whole := 0
		for _, c := range conns {
			if c.received.Load() == sent {
				whole++
			}
		}
		if whole+rejected >= len(conns) {
			return
		}
		select {
		case status := <-answered:
			if status != http.StatusServiceUnavailable {
				t.Fatalf("status %d for an unfinished request, want 503", status)
			}
			rejected++
		case <-time.After(time.Millisecond):
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d requests were received as far as they were sent, %d rejected", whole, len(conns), rejected)
		}
	}
}

// The head of a request takes memory for each of its fields. Once the budget for long requests is exhausted, a long
// head must be rejected before it is parsed, and a short one accepted; a request that ends returns what it took.
func TestLongHeadsStayWithinTheirBudget(t *testing.T) {
	handler := newIngress(testConfig(t, fullListResponse(1, "ready"), nil), newClock(), nil)
	handler.ready.Store(true)
	address := serveRejectionsOf(t, handler, 10)
	long := strings.Replace(readinessCheck, "\r\n\r\n", "\r\n"+manyFields(90, 100)+"\r\n", 1)
	get := func(text string) *http.Response {
		return readWholeResponse(t, bufio.NewReader(sendOnNewConn(t, address, text)))
	}
	used := func() int64 { return handler.longRequests.used.Load() }
	if res := get(long); res.StatusCode != http.StatusOK {
		t.Fatalf("long head within the budget: status %s, want 200", res.Status)
	}
	partial := sendOnNewConn(t, address, long[:len(long)-2])
	for end := time.Now().Add(testTimeout); used() == 0; {
		if time.Now().After(end) {
			t.Fatal("a long head takes nothing from the budget")
		}
	}
	partial.Close()
	for end := time.Now().Add(testTimeout); used() != 0; {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are taken after the requests have ended, want 0", used())
		}
	}
	handler.longRequests.used.Store(handler.longRequests.limit)
	if res := get(long); res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("long head without memory: status %s, header %v, want 503 with Retry-After and Connection: close", res.Status, res.Header)
	}
	if res := get(readinessCheck); res.StatusCode != http.StatusOK {
		t.Errorf("short head without memory: status %s, want 200", res.Status)
	}
}
