package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// unfinishedResponse is a connection on which a response arrives up to a point, after which nothing more comes
// until the connection is closed.
type unfinishedResponse struct {
	rest    *strings.Reader
	stalled chan<- struct{} // has an item for each connection on which all has been read
	closed  <-chan struct{}
}

func (c *unfinishedResponse) Read(p []byte) (int, error) {
	n, err := c.rest.Read(p)
	if err == io.EOF {
		c.stalled <- struct{}{}
		<-c.closed
	}
	return n, err
}

// heapBytes returns the size of the heap that is in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Responses whose heads don't end take the process over its memory limit: a parsed header field takes many
// times its size on the wire. On all connections to servers together they must fit into the memory below the
// limit of the garbage collector.
func TestUnfinishedResponseHeadsFitIntoMemory(t *testing.T) {
	const memoryMB, descriptors = 32, 256 // the smallest sidecar
	const softLimit = memoryMB << 20 / 2
	cfg := &Config{MemoryMB: memoryMB, MaxDescriptors: descriptors}
	for name, c := range map[string]struct {
		line  string // repeated with a number
		lines int    // after which nothing more comes
	}{
		"short lines":           {"X-%d: 1\r\n", 10_000},
		"lines without a value": {"%d:\n", 20_000},
		"long lines":            {"X-%d: " + strings.Repeat("x", 1000) + "\r\n", 100},
		"folded lines":          {"X-%d: 1\r\n 1\r\n", 8_000},
		"bytes at the limit":    {"%d:\n", 2_800},
		"fields at the limit":   {"X-%d: " + strings.Repeat("x", 140) + "\r\n", maxHeaderFields},
	} {
		t.Run(name, func(t *testing.T) {
			var head strings.Builder
			head.WriteString("HTTP/1.1 200 OK\r\n")
			for n := range c.lines {
				fmt.Fprintf(&head, c.line, n)
			}
			before := heapBytes()
			stalled, closed, failed := make(chan struct{}), make(chan struct{}), make(chan error)
			for range cfg.maxServerConns() {
				server := &unfinishedResponse{rest: strings.NewReader(head.String()), stalled: stalled, closed: closed}
				go func() {
					_, err := newResponseReader(server, maxFramedBodyBytes).readHead(nil)
					select {
					case failed <- err:
					case <-closed:
					}
				}()
			}
			for range cfg.maxServerConns() {
				select {
				case <-stalled:
				case err := <-failed:
					if err == nil {
						t.Error("a response without the end of its head was read without an error")
					}
				}
			}
			if used := heapBytes() - before; used > softLimit {
				t.Errorf("unfinished heads on %d connections take %d KB, want at most %d KB", cfg.maxServerConns(), used>>10, softLimit>>10)
			}
			close(closed)
		})
	}
}

// A head with as many fields as the limit allows is read, in any pieces and after an interim response; one with
// a field more is not.
func TestHeaderFieldLimit(t *testing.T) {
	for name, c := range map[string]struct {
		fields int
		want   error
	}{
		"at the limit":    {maxHeaderFields, nil},
		"above the limit": {maxHeaderFields + 1, errTooManyHeaderFields},
	} {
		t.Run(name, func(t *testing.T) {
			interim := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
			fields := "Content-Length: 8\r\n" + strings.Repeat("X: 1\r\n", c.fields-1)
			wire := interim + "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + "1\n2\n3\n4\n"
			for _, piece := range []int{1, 2, 7, len(interim), len(wire)} {
				res, err := readResponseIn([]byte(wire), piece)
				if !errors.Is(err, c.want) {
					t.Fatalf("in pieces of %d bytes: error %v, want %v", piece, err, c.want)
				}
				if err == nil && string(res.body) != "1\n2\n3\n4\n" {
					t.Fatalf("in pieces of %d bytes: body %q, want the whole body", piece, res.body)
				}
			}
		})
	}
}

// readResponseIn reads a response that arrives in pieces of a size, after which the connection ends in order.
func readResponseIn(wire []byte, piece int) (*serverResponse, error) {
	c := &conn{reader: newResponseReader(&pieceReader{bytes.NewReader(wire), piece}, maxFramedBodyBytes)}
	charge := &memoryCharge{budget: &memoryBudget{limit: math.MaxInt64}}
	return c.readResponse(http.MethodGet, charge)
}

// pieceReader reads at most size bytes at once.
type pieceReader struct {
	io.Reader
	size int
}

func (r *pieceReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.size)]) }

// A response that is larger than a limit fails, whichever part of it is too large.
func TestResponseSizeLimits(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\n\r\n"
	ok := "HTTP/1.1 200 OK\r\n"
	chunk := "1;extension\r\n1\r\n"
	tooLong := strings.Repeat("x", maxBodyBytes+1)
	for name, c := range map[string]struct {
		wire string
		want error
	}{
		"head":              {ok + "X: " + strings.Repeat("x", maxHeaderBytes), errResponseTooLarge},
		"head in one line":  {strings.Repeat("x", maxHeaderBytes+1), errResponseTooLarge},
		"interim responses": {strings.Repeat(interim, maxInterimResponses+1) + ok, errTooManyInterimResponses},
		"chunk extensions":  {ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, maxFramedBodyBytes/len(chunk)+1), errResponseTooLarge},
		"chunks":            {ok + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(tooLong), tooLong), errBodyTooLarge},
		"announced body":    {ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(tooLong)), errBodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := readResponseIn([]byte(c.wire), len(c.wire)); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// Discovery responds with a head that doesn't end. Its fields took the process over its memory limit, as the
// limit on the size of the list was the only one. The call must fail after a few of them.
func TestEndlessHeadOfDiscoveryFailsTheCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		_, _ = io.WriteString(c, strings.Repeat("X: 1\r\n", maxListBytes/4)) // fails when the client closes the connection
	}()
	address := l.Addr().String()
	d := newTestDiscoveryClient(t, address, fullListResponse(1, "ready"), nil)
	if _, err := d.call(context.Background(), address, listQuery{}); !errors.Is(err, errTooManyHeaderFields) {
		t.Errorf("call: error %v, want %v", err, errTooManyHeaderFields)
	}
}
