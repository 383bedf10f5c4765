package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"
)

const (
	// listenTimeout limits the wait for an address in use. A restarted sidecar must be ready within 10 s.
	listenTimeout = 8 * time.Second
	// listenRetryInterval is the time between two attempts to listen.
	listenRetryInterval = 20 * time.Millisecond
)

// listen opens a TCP listener. While the address is in use it retries until listenTimeout has passed or ctx
// is done: after a restart the previous process may still be exiting.
func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return listener, err
	}
	slog.Warn("listen address is in use, retrying", "listen", address)
	timeout := time.NewTimer(listenTimeout)
	defer timeout.Stop()
	retry := time.NewTicker(listenRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-retry.C:
		case <-timeout.C:
			return nil, err
		case <-ctx.Done():
			return nil, err
		}
		listener, err = net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
	}
}
