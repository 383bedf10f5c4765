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
	listenTimeout       = 8 * time.Second // a restarted sidecar is to be ready within 10 s
	listenRetryInterval = 20 * time.Millisecond
)

// listen opens a TCP listener. While the address is in use it tries again, until listenTimeout or ctx ends: after a
// restart the process before this one may still be exiting.
func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return listener, err
	}
	slog.Warn("the address to listen on is in use, it is waited for", "listen", address)
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
