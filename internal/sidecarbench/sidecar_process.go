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
	address        string        // where applications connect
	logEnded       chan struct{} // closed when the log has ended
	gossipReceived atomic.Int64  // datagrams, as of the last counters line in the log; there is one every 10 s
	warnings       atomic.Int64  // log lines of level WARN or ERROR
}

// Patterns for the sidecar's log lines.
var (
	// listenPattern matches the line that reports the listen address.
	listenPattern = regexp.MustCompile(` INFO serving .*listen=(\S+)`)
	// gossipReceivedPattern matches the counter of received gossip datagrams.
	gossipReceivedPattern = regexp.MustCompile(` gossip\.received=(\d+)`)
	// warningPattern matches lines of level WARN or ERROR.
	warningPattern = regexp.MustCompile(`^\S+ \S+ (WARN|ERROR) `)
)

// startSidecar starts the sidecar program, waits until it logs its listen address, and returns when it has
// answered GET /up with 200. Any other answer is an error. The process is killed when ctx ends.
func startSidecar(ctx context.Context, program, configPath string) (*sidecarProcess, error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+configPath)
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("start sidecar: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start sidecar: %w", err)
	}
	s := &sidecarProcess{cmd: cmd, logEnded: make(chan struct{})}
	listenAddress := make(chan string, 1)
	go s.readLog(log, listenAddress)
	select {
	case s.address = <-listenAddress:
	case <-s.logEnded:
		return nil, fmt.Errorf("start sidecar: exited before it logged its listen address: %w", cmd.Wait())
	}
	if _, err := fetch(ctx, http.MethodGet, "http://"+s.address+"/up", nil); err != nil {
		return nil, errors.Join(fmt.Errorf("start sidecar: %w", err), s.stop())
	}
	return s, nil
}

// readLog processes the log until it ends, and sends the first listen address that it finds.
func (s *sidecarProcess) readLog(log io.Reader, listenAddress chan<- string) {
	defer close(s.logEnded)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		line := lines.Text()
		if match := listenPattern.FindStringSubmatch(line); match != nil {
			select {
			case listenAddress <- match[1]:
			default:
			}
		}
		if match := gossipReceivedPattern.FindStringSubmatch(line); match != nil {
			n, _ := strconv.ParseInt(match[1], 10, 64) // matched digits
			s.gossipReceived.Store(n)
		}
		if warningPattern.MatchString(line) {
			s.warnings.Add(1)
		}
	}
}

// stop shuts the sidecar down gracefully and waits until it exits. The sidecar exits when all connections to it
// are closed.
func (s *sidecarProcess) stop() error {
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop sidecar: %w", err)
	}
	<-s.logEnded
	if err := s.cmd.Wait(); err != nil {
		return fmt.Errorf("stop sidecar: %w", err)
	}
	return nil
}

func (s *sidecarProcess) pid() int { return s.cmd.Process.Pid }
