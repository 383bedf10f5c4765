package sidecarbench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// cpuTime is the processor time, user's and system's, that all threads of a process have taken, those that have ended
// too. It reads the process's own clock (clock_getcpuclockid(3)), which counts in nanoseconds: utime and stime in
// /proc/PID/stat are in hundredths of a second, which is more than a sidecar takes for a thousand datagrams.
func cpuTime(pid int) (time.Duration, error) {
	const schedulerClock = 2
	clock := uintptr(^pid<<3 | schedulerClock)
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, errno)
	}
	return time.Duration(t.Nano()), nil
}

// Memory is what a process holds, in bytes.
type Memory struct {
	Resident int64 // now (VmRSS)
	Peak     int64 // the most so far (VmHWM)
}

// readMemory reads /proc/PID/status.
func readMemory(pid int) (Memory, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, fmt.Errorf("memory: %w", err)
	}
	var m Memory
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, ":")
		field := map[string]*int64{"VmRSS": &m.Resident, "VmHWM": &m.Peak}[name]
		if field == nil {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return Memory{}, fmt.Errorf("memory: %s: %w", name, err)
		}
		*field = kb << 10
	}
	return m, nil
}

// udpSocketState tells what becomes of datagrams to an address that a process listens at: how many the kernel has dropped
// as its buffer was full, and how many bytes it has not read yet. It reads /proc/net/udp.
func udpSocketState(address string) (drops, waiting int64, err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, 0, fmt.Errorf("socket: %w", err)
	}
	ip := at.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), at.Port())
	raw, err := os.ReadFile("/proc/net/udp")
	if err != nil {
		return 0, 0, fmt.Errorf("socket: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		// sl local remote st tx:rx tr:when retrnsmt uid timeout inode ref pointer drops
		f := strings.Fields(line)
		if len(f) < 13 || f[1] != local {
			continue
		}
		_, rx, _ := strings.Cut(f[4], ":")
		if waiting, err = strconv.ParseInt(rx, 16, 64); err == nil {
			drops, err = strconv.ParseInt(f[12], 10, 64)
		}
		if err != nil {
			return 0, 0, fmt.Errorf("socket %s: %w", address, err)
		}
		return drops, waiting, nil
	}
	return 0, 0, fmt.Errorf("socket %s: nobody listens", address)
}

// standIn is a process that plays a part.
type standIn struct {
	role      string
	cmd       *exec.Cmd
	stdin     io.Closer // its standard input: it ends with that
	addresses standInAddresses
}

// startStandIn starts a part and returns once it listens. It ends with ctx at the latest.
func startStandIn(ctx context.Context, self, role string, o standInConfig) (*standIn, error) {
	cmd := exec.CommandContext(ctx, self)
	cmd.Env = append(os.Environ(), RoleVariable+"="+role)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", role, err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", role, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", role, err)
	}
	p := &standIn{role: role, cmd: cmd, stdin: in}
	if err := json.NewEncoder(in).Encode(o); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: orders: %w", role, err), p.stop())
	}
	if err := json.NewDecoder(out).Decode(&p.addresses); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: whereabouts: %w", role, err), p.stop())
	}
	return p, nil
}

// stop ends the part.
func (p *standIn) stop() error {
	_ = p.stdin.Close() // fails only if it is closed already
	if err := p.cmd.Wait(); err != nil {
		return fmt.Errorf("%s: %w", p.role, err)
	}
	return nil
}

// call puts a question to the part's control side: a GET, or a POST where there is something to say.
func (p *standIn) call(ctx context.Context, path string, say, answer any) error {
	method, body := http.MethodGet, io.Reader(nil)
	if say != nil {
		raw, err := json.Marshal(say)
		if err != nil {
			return fmt.Errorf("%s %s: %w", p.role, path, err)
		}
		method, body = http.MethodPost, bytes.NewReader(raw)
	}
	raw, err := fetch(ctx, method, "http://"+p.addresses.Control+path, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", p.role, path, err)
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fmt.Errorf("%s %s: %w", p.role, path, err)
	}
	return nil
}

// counts are what the part has seen so far.
func (p *standIn) counts(ctx context.Context) (c Counts, err error) {
	err = p.call(ctx, "/counts", nil, &c)
	return c, err
}

// fetch makes a request that is to be answered 200, on a connection of its own: none stays open.
func fetch(ctx context.Context, method, url string, body io.Reader) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("answered %s: %.200s", res.Status, raw)
	}
	return raw, err
}

// sidecarProcess is a process of the real program.
type sidecarProcess struct {
	cmd            *exec.Cmd
	address        string // where the application connects
	logClosed      chan struct{}
	gossipReceived atomic.Int64 // datagrams taken, as its log last said, which it does every 10 s
	warnings       atomic.Int64 // lines of its log that warn
}

var (
	listenField         = regexp.MustCompile(` INFO serving .*listen=(\S+)`)
	gossipReceivedField = regexp.MustCompile(` peers="map\[.*heard:(\d+)`)
	warnField           = regexp.MustCompile(`^\S+ \S+ (WARN|ERROR) `)
)

// startSidecar starts the program and returns once GET /up is answered 200.
func startSidecar(ctx context.Context, program, configPath string) (*sidecarProcess, error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+configPath)
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("sidecar: %w", err)
	}
	s := &sidecarProcess{cmd: cmd, logClosed: make(chan struct{})}
	listens := make(chan string, 1)
	go s.follow(log, listens)
	select {
	case s.address = <-listens:
	case <-s.logClosed:
		return nil, fmt.Errorf("sidecar: it ended before it served: %w", cmd.Wait())
	}
	if _, err := fetch(ctx, http.MethodGet, "http://"+s.address+"/up", nil); err != nil {
		return nil, errors.Join(fmt.Errorf("sidecar: %w", err), s.stop())
	}
	return s, nil
}

// follow reads the log until the program ends.
func (s *sidecarProcess) follow(log io.Reader, listens chan<- string) {
	defer close(s.logClosed)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		line := lines.Text()
		if m := listenField.FindStringSubmatch(line); m != nil {
			select {
			case listens <- m[1]:
			default:
			}
		}
		if m := gossipReceivedField.FindStringSubmatch(line); m != nil {
			n, _ := strconv.ParseInt(m[1], 10, 64) // digits
			s.gossipReceived.Store(n)
		}
		if warnField.MatchString(line) {
			s.warnings.Add(1)
		}
	}
}

// stop has the sidecar end in order. Whoever has connections to it closes them first, or it waits for that.
func (s *sidecarProcess) stop() error {
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("sidecar: stop: %w", err)
	}
	<-s.logClosed
	if err := s.cmd.Wait(); err != nil {
		return fmt.Errorf("sidecar: %w", err)
	}
	return nil
}

func (s *sidecarProcess) pid() int { return s.cmd.Process.Pid }
