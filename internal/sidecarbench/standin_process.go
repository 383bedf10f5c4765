package sidecarbench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
)

// standIn is a stand-in process, as seen by the process that started it.
type standIn struct {
	role      string
	cmd       *exec.Cmd
	stdin     io.Closer // closing it stops the process
	addresses standInAddresses
}

// startStandIn starts a program as a stand-in and returns when the stand-in listens. The process is killed
// when ctx ends.
func startStandIn(ctx context.Context, program, role string, config standInConfig) (*standIn, error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), RoleVariable+"="+role)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("start stand-in %s: %w", role, err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start stand-in %s: %w", role, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start stand-in %s: %w", role, err)
	}
	s := &standIn{role: role, cmd: cmd, stdin: stdin}
	if err := json.NewEncoder(stdin).Encode(config); err != nil {
		return nil, errors.Join(fmt.Errorf("start stand-in %s: send configuration: %w", role, err), s.stop())
	}
	if err := json.NewDecoder(stdout).Decode(&s.addresses); err != nil {
		return nil, errors.Join(fmt.Errorf("start stand-in %s: receive addresses: %w", role, err), s.stop())
	}
	return s, nil
}

// stop stops the process and waits until it exits.
func (s *standIn) stop() error {
	_ = s.stdin.Close() // fails only if stdin is already closed
	if err := s.cmd.Wait(); err != nil {
		return fmt.Errorf("stop stand-in %s: %w", s.role, err)
	}
	return nil
}

func (s *standIn) pid() int { return s.cmd.Process.Pid }

// call calls the control interface of the stand-in and decodes the JSON response into response. It sends a
// POST with request as JSON, or a GET if request is nil.
func (s *standIn) call(ctx context.Context, path string, request, response any) error {
	method, body := http.MethodGet, io.Reader(nil)
	if request != nil {
		raw, err := json.Marshal(request)
		if err != nil {
			return fmt.Errorf("call stand-in %s: %s: %w", s.role, path, err)
		}
		method, body = http.MethodPost, bytes.NewReader(raw)
	}
	raw, err := fetch(ctx, method, "http://"+s.addresses.Control+path, body)
	if err != nil {
		return fmt.Errorf("call stand-in %s: %s: %w", s.role, path, err)
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return fmt.Errorf("call stand-in %s: %s: %w", s.role, path, err)
	}
	return nil
}

// counts returns the counters of the stand-in since its start.
func (s *standIn) counts(ctx context.Context) (c Counts, err error) {
	err = s.call(ctx, "/counts", nil, &c)
	return c, err
}

// fetch sends a request on a new connection, which is closed afterwards, and returns the body of the
// response. A status other than 200 is an error.
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
		err = fmt.Errorf("unexpected status %s: %.200s", res.Status, raw)
	}
	return raw, err
}
