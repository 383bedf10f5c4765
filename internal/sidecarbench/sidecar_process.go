package sidecarbench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"sync/atomic"
	"syscall"
)

// sidecarProcess is a running process of the sidecar program.
type sidecarProcess struct {
	cmd            *exec.Cmd
	address        string // for applications
	logClosed      chan struct{}
	gossipReceived atomic.Int64 // datagrams, by the last log line about them, which comes every 10 s
	warnings       atomic.Int64 // log lines of level WARN or ERROR
}

// What the log lines of the sidecar are recognized by.
var (
	listenField         = regexp.MustCompile(` INFO serving .*listen=(\S+)`)
	gossipReceivedField = regexp.MustCompile(` gossip\.received=(\d+)`)
	warnField           = regexp.MustCompile(`^\S+ \S+ (WARN|ERROR) `)
)

// startSidecar starts the program and returns when GET /up is answered 200. The process ends with ctx at the latest.
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
	go s.readLog(log, listens)
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

// readLog reads the log until the process ends, and sends the first address at which it listens.
func (s *sidecarProcess) readLog(log io.Reader, listens chan<- string) {
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

// stop stops the sidecar gracefully: it waits until all connections to it are closed.
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
