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

// generous limits every wait. Tests wait for events, and only a faulty program waits for so long.
const generous = 30 * time.Second

// unusedAddress is an address on loopback that nobody listens on. Until the test ends only who names it can listen
// there.
//
// A socket that is bound, but does not listen, reserves its port. Without that the system may choose the port again,
// for another case that runs at the same time, before the program of this one listens: that program then waits for
// its address until it ends, and the test talks to the listener of the other case. The system chooses no port that a
// socket is bound to. As both sides set SO_REUSEADDR, one who names the port can still listen there.
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

// configValues are what tests vary in a valid configuration.
type configValues struct {
	listen         string
	discovery      string
	mode           string // ask: the endpoint list is polled; push: it is pushed
	cachedList     string
	maxDescriptors int
}

func (v configValues) text() string {
	return fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1f","limits":{"memory_mb":64,"sockets":%d},"known":%s,
	"settings":{"balancers":1,"discovery":%q,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"rules":{"ask_within_ms":10000,"stop_sending_within_ms":1000},
	"classes":[{"name":"a","aim_ms":5000,"hard_limit_ms":10000,"semantics":"free"}]}}`,
		v.listen, v.discovery, v.maxDescriptors, v.cachedList, v.mode)
}

// startUntilTestEnds starts a program, which is killed at the end of the test.
func startUntilTestEnds(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	cmd.Stderr = io.Discard
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
	})
}

// getUntilOK sends requests, each on a connection of its own, until one is answered with 200. headers are names and
// values; with any the request is one to a server and gets an id.
func getUntilOK(t *testing.T, url string, headers ...string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(t.Context(), generous)
	defer cancel()
	last := ""
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
		if err != nil { // it does not listen yet, or has closed the connection at its limit
			last = err.Error()
			continue
		}
		res.Body.Close()
		if last = res.Status; res.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("GET %s was not answered with 200, the last time: %s", url, last)
}

// serveConns has serve take each connection to an address.
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

// faultyDiscoveries are what a restarted sidecar may find at discovery's address. nil: nobody listens there.
var faultyDiscoveries = map[string]func(net.Conn){
	"down":       nil,
	"silent":     func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	"overloaded": respondOverloaded,
	"resets":     func(net.Conn) {},
	"noise":      func(c net.Conn) { _, _ = io.WriteString(c, "noise\r\n\r\n") },
}

func respondOverloaded(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Overbooked\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
}

// A sidecar crashes while discovery is down. If it waited for discovery after its restart, its application would not
// be served for as long. It must be ready whatever becomes of its calls to discovery, and however old its cached list
// is: none of these discoveries ever responds with a list, so it can't be waiting for one.
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
					for range 2 { // the first is killed and starts again, as after a crash
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

// A sidecar is restarted while the process before it still holds the address, as it is exiting. It must wait for the
// address instead of ending.
func TestReadyOnceItsAddressIsFree(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	values := configValues{listen: address, discovery: unusedAddress(t), mode: "push", cachedList: "{}", maxDescriptors: 64}
	lines := startWithLog(t, sidecarCommand(t, values.text()))
	if lines.skipTo("listen address is in use") == nil {
		t.Fatal("it ended")
	}
	l.Close()
	getUntilOK(t, "http://"+address+"/up")
}

// respondHello answers one request.
func respondHello(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	}
}

// serveList serves a discovery whose list has one server. It returns a channel with an item for each read of the list.
func serveList(t *testing.T, address, server string) (read chan struct{}) {
	t.Helper()
	read = make(chan struct{}, 100)
	list := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"ready"}]}`, server)
	serveConns(t, address, func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if strings.Contains(req.URL.RawQuery, "wait=") && req.FormValue("wait") != "1" {
			_, _ = io.Copy(io.Discard, c) // a watch: there is no change
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		read <- struct{}{}
	})
	return read
}

// withDescriptorLimit is a command under an operating system limit on its descriptors.
func withDescriptorLimit(cmd *exec.Cmd, limit int) *exec.Cmd {
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, limit), os.Args[0])
	limited.Env = cmd.Env
	return limited
}

// Clients open more connections than the sidecar has descriptors and send nothing on them, while discovery is down.
// A sidecar that let them hold the descriptors could not call discovery on its return, nor reach a server. The list
// must be read, the server that only this list names be reached, and a new client be answered.
func TestIdleClientsDoNotStarveOthers(t *testing.T) {
	const maxDescriptors = 64
	for name, firstBytes := range map[string]string{
		"silent":      "",
		"half a head": "GET /a HTTP/1.1\r\nHost: x\r\n",
		"resting":     "GET /up HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		for _, mode := range []string{"ask", "push"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				server := serveConns(t, "127.0.0.1:0", respondHello)
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
				read := serveList(t, values.discovery, server)
				select {
				case <-read:
				case <-time.After(generous):
					t.Fatal("the list was not read")
				}
				getUntilOK(t, "http://"+values.listen+"/a", "X-Priority-Class", "a", "X-Timeout", "9000m")
			})
		}
	}
}
