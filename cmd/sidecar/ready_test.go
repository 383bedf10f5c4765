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
	"testing"
	"time"
)

// generous bounds every wait: tests wait for events, and only a broken program waits this long.
const generous = 30 * time.Second

// address is one on loopback that nobody listens on.
func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// config is a usable configuration.
func config(listen, discovery, mode, known string, sockets int) string {
	return fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1f","limits":{"memory_mb":64,"sockets":%d},"known":%s,
	"settings":{"balancers":1,"discovery":%q,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"rules":{"ask_within_ms":10000,"stop_sending_within_ms":1000},
	"classes":[{"name":"a","aim_ms":5000,"hard_limit_ms":10000,"semantics":"free"}]}}`, listen, discovery, sockets, known, mode)
}

// begin starts the program, which ends with the test.
func begin(t *testing.T, cmd *exec.Cmd) {
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

// get asks on a connection of its own until the answer is 200.
func get(t *testing.T, url string, headers ...string) {
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
		if err != nil { // not up yet, or shut to make room
			last = err.Error()
			continue
		}
		res.Body.Close()
		if last = res.Status; res.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("GET %s in vain: %s", url, last)
}

// discoveries are what a restarted process may find: each listens at an address, or not.
var discoveries = map[string]func(net.Conn){
	"down":   nil,
	"silent": func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	"overbooked": func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Overbooked\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}
	},
	"resets": func(net.Conn) {},
	"noise":  func(c net.Conn) { _, _ = io.WriteString(c, "noise\r\n\r\n") },
}

// A restarted process is ready whatever becomes of its calls to discovery and however old the list is that it was
// given: none of these discoveries ever tells it a list, so it can't be waiting for one.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, answer := range discoveries {
		for _, known := range []string{
			`null`, `{}`, `{"generation":0,"reset":true,"instances":[]}`,
			`{"generation":3,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}`,
		} {
			for _, mode := range []string{"ask", "push"} {
				t.Run(name+"/"+mode+"/"+known, func(t *testing.T) {
					t.Parallel()
					at := address(t)
					if answer != nil {
						at = serveAt(t, "127.0.0.1:0", answer)
					}
					listen := address(t)
					text := config(listen, at, mode, known, 64)
					for range 2 { // the first is killed and starts again, as after a crash
						cmd := program(t, text)
						begin(t, cmd)
						get(t, "http://"+listen+"/up")
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

// One whose address is still in use waits for it: the process before it is ending.
func TestReadyOnceItsAddressIsFree(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	cmd := program(t, config(at, address(t), "push", "{}", 64))
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	waits := false
	for lines := bufio.NewScanner(log); !waits && lines.Scan(); {
		waits = strings.Contains(lines.Text(), "waited for")
	}
	if !waits {
		t.Fatal("it ended")
	}
	l.Close()
	get(t, "http://"+at+"/up")
}

// serveAt has answer take each connection to an address.
func serveAt(t *testing.T, at string, answer func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", at)
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
				answer(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Idle clients that fill all descriptors while discovery is down keep nobody else out: at its return the list is
// read, the server that it alone names is reached, and a new client is answered.
func TestIdleClientsLeaveRoom(t *testing.T) {
	const sockets = 64
	for name, says := range map[string]string{
		"silent": "", "half a head": "GET /a HTTP/1.1\r\nHost: x\r\n", "resting": "GET /up HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		for _, mode := range []string{"ask", "push"} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				t.Parallel()
				server := serveAt(t, "127.0.0.1:0", func(c net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
					}
				})
				discovery, listen := address(t), address(t)
				cmd := program(t, config(listen, discovery, mode, "{}", sockets))
				limited := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, sockets), os.Args[0])
				limited.Env = cmd.Env
				begin(t, limited)
				get(t, "http://"+listen+"/up")
				for range 2 * sockets {
					c, err := net.Dial("tcp", listen)
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					if _, err := io.WriteString(c, says); err != nil && says == "" {
						t.Fatal(err)
					}
				}
				read := make(chan struct{}, 100)
				serveAt(t, discovery, func(c net.Conn) {
					req, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					if strings.Contains(req.URL.RawQuery, "wait=") && req.FormValue("wait") != "1" {
						_, _ = io.Copy(io.Discard, c) // a watch: nothing changes
						return
					}
					list := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"ready"}]}`, server)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
					read <- struct{}{}
				})
				select {
				case <-read:
				case <-time.After(generous):
					t.Fatal("the list was not read")
				}
				get(t, "http://"+listen+"/a", "X-Priority-Class", "a", "X-Timeout", "9000m")
			})
		}
	}
}
