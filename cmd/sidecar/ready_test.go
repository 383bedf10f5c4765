package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testTimeout limits every wait for an event. Only a faulty program reaches it.
const testTimeout = 30 * time.Second

// unusedAddress returns a loopback address on which no process listens. Until the test ends, a process can
// listen on its port only by naming the port.
//
// The port is reserved by a socket that is bound but does not listen: the system never chooses a port to
// which a socket is bound. Without the reservation, it could give the port to a parallel test case before the
// program of this test listens. The program would then wait for its address until it exits, and the test
// would talk to the listener of the other case. A program can still listen on the reserved port, because both
// sockets set SO_REUSEADDR.
func unusedAddress(t *testing.T) string {
	t.Helper()
	reserved, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(reserved) })
	if err := syscall.SetsockoptInt(reserved, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(reserved, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(reserved)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// configValues are the fields of a valid configuration that tests vary.
type configValues struct {
	listen         string
	discovery      string
	mode           string // "ask": the sidecar polls the endpoint list; "push": discovery pushes it
	cachedList     string // the cached endpoint list, as JSON
	maxDescriptors int    // limit on the file descriptors of the process
}

// text returns the configuration as JSON.
func (v configValues) text() string {
	return fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1f","limits":{"memory_mb":64,"sockets":%d},"known":%s,
	"settings":{"balancers":1,"discovery":%q,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"rules":{"ask_within_ms":10000,"stop_sending_within_ms":1000},
	"classes":[{"name":"a","aim_ms":5000,"hard_limit_ms":10000,"semantics":"free"}]}}`,
		v.listen, v.discovery, v.maxDescriptors, v.cachedList, v.mode)
}

// startUntilTestEnds starts a program and kills it at the end of the test. The log is discarded.
func startUntilTestEnds(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	cmd.Stderr = io.Discard
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if it has already exited
		_ = cmd.Wait()
	})
}

// getUntilOK sends requests, each on a new connection, until one is answered with 200. headers alternates
// names and values. A request with headers is to be forwarded to a server, so it also gets an X-Request-ID.
func getUntilOK(t *testing.T, url string, headers ...string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	lastResult := ""
	for n := 0; ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i+1 < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		if len(headers) > 0 {
			req.Header.Set("X-Request-ID", fmt.Sprintf("r%d", n))
		}
		res, err := client.Do(req)
		if err != nil { // the sidecar does not listen yet, or has closed the connection at its connection limit
			lastResult = err.Error()
			continue
		}
		res.Body.Close()
		if lastResult = res.Status; res.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("GET %s: no response with status 200 within the time limit, last result: %s", url, lastResult)
}

// serveConns listens on an address until the test ends and calls serve for each connection, on a goroutine of
// its own. It returns the address with the port that was chosen for port 0.
func serveConns(t *testing.T, address string, serve func(net.Conn)) (listening string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// faultyDiscoveries are the faults of discovery that a restarted sidecar may encounter: the function that
// serves each connection, or nil if no process listens on the address.
var faultyDiscoveries = map[string]func(net.Conn){
	"down":               nil,
	"no response":        func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	"overloaded":         respondOverloaded,
	"resets":             func(net.Conn) {},
	"malformed response": func(c net.Conn) { _, _ = io.WriteString(c, "noise\r\n\r\n") },
}

func respondOverloaded(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Overbooked\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against a sidecar that waits for discovery when it restarts after a crash: during an outage of
// discovery its application would not be served. The sidecar must become ready whatever the result of its
// calls to discovery, and however old its cached list. None of the discoveries here ever responds with an
// endpoint list, so a sidecar that waits for one fails the test.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, serve := range faultyDiscoveries {
		for _, cachedList := range []string{
			`null`, `{}`, `{"generation":0,"reset":true,"instances":[]}`,
			`{"generation":3,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}`,
		} {
			for _, mode := range []string{"ask", "push"} {
				t.Run(name+"/"+mode+"/"+cachedList, func(t *testing.T) {
					t.Parallel()
					discovery := unusedAddress(t)
					if serve != nil {
						discovery = serveConns(t, "127.0.0.1:0", serve)
					}
					values := configValues{listen: unusedAddress(t), discovery: discovery, mode: mode, cachedList: cachedList, maxDescriptors: 64}
					for range 2 { // the second run is the restart after a crash
						cmd := sidecarCommand(t, values.text())
						startUntilTestEnds(t, cmd)
						getUntilOK(t, "http://"+values.listen+"/up")
						if err := cmd.Process.Kill(); err != nil {
							t.Fatal(err)
						}
						_ = cmd.Wait()
					}
				})
			}
		}
	}
}

// Guards against a sidecar that exits if its address is still in use, as it is when the sidecar is restarted
// while the previous process is exiting. It must wait for the address.
func TestReadyOnceItsAddressIsFree(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	values := configValues{listen: address, discovery: unusedAddress(t), mode: "push", cachedList: "{}", maxDescriptors: 64}
	lines := startWithLog(t, sidecarCommand(t, values.text()))
	if lines.skipTo("listen address is in use") == nil {
		t.Fatal("sidecar exited without logging that its address is in use")
	}
	l.Close()
	getUntilOK(t, "http://"+address+"/up")
}

// respondOK responds 200 to one request.
func respondOK(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	}
}

// serveList runs a discovery whose endpoint list has one server. The channel it returns receives a value for
// each response with the list.
func serveList(t *testing.T, address, server string) (listRead chan struct{}) {
	t.Helper()
	listRead = make(chan struct{}, 100)
	list := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"ready"}]}`, server)
	serveConns(t, address, func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if strings.Contains(req.URL.RawQuery, "wait=") && req.FormValue("wait") != "1" {
			_, _ = io.Copy(io.Discard, c) // a watch: the list never changes
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		listRead <- struct{}{}
	})
	return listRead
}

// withDescriptorLimit returns the command with an operating system limit on its file descriptors.
func withDescriptorLimit(cmd *exec.Cmd, limit int) *exec.Cmd {
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, limit), os.Args[0])
	limited.Env = cmd.Env
	return limited
}

// Guards against clients that use up all file descriptors: while discovery is down, they open more
// connections than the sidecar has descriptors and leave them idle. Without free descriptors the sidecar
// could neither call discovery once it is up again nor connect to a server. It must read the endpoint list,
// reach the server that only this list names, and answer a new client.
func TestIdleClientsDoNotStarveOthers(t *testing.T) {
	const maxDescriptors = 64
	for name, firstBytes := range map[string]string{
		"nothing sent":          "",
		"incomplete head":       "GET /a HTTP/1.1\r\nHost: x\r\n",
		"idle after a response": "GET /up HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		for _, mode := range []string{"ask", "push"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				server := serveConns(t, "127.0.0.1:0", respondOK)
				values := configValues{listen: unusedAddress(t), discovery: unusedAddress(t), mode: mode, cachedList: "{}", maxDescriptors: maxDescriptors}
				startUntilTestEnds(t, withDescriptorLimit(sidecarCommand(t, values.text()), maxDescriptors))
				getUntilOK(t, "http://"+values.listen+"/up")
				for range 2 * maxDescriptors {
					c, err := net.Dial("tcp", values.listen)
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					if _, err := io.WriteString(c, firstBytes); err != nil && firstBytes == "" {
						t.Fatal(err)
					}
				}
				listRead := serveList(t, values.discovery, server)
				select {
				case <-listRead:
				case <-time.After(testTimeout):
					t.Fatal("the endpoint list was not read within the time limit")
				}
				getUntilOK(t, "http://"+values.listen+"/a", "X-Priority-Class", "a", "X-Timeout", "9000m")
			})
		}
	}
}
