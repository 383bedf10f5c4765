package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	listenTimeout       = 8 * time.Second // an address in use is waited for: a restart is to be ready within 10 s
	listenRetryInterval = 20 * time.Millisecond

	minDrainTime = 500 * time.Millisecond // new connections go on coming for so long after a stop is asked for

	// The process may be killed once the longest deadline, or 3 s if that is longer, and 0.7 s more have
	// passed since then. Answers are due a little before.
	minKillDeadline = 3 * time.Second
	killDelay       = 700 * time.Millisecond
	killMargin      = 100 * time.Millisecond

	// Where it is not killed, idle connections are closed so long after that: by then none is to be expected.
	maxIdleDrainTime = 10 * time.Second
)

// Run listens and serves until ctx ends and everything taken by then is answered. Each signal on
// reload has it read its configuration again.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal) error {
	listener, err := listen(ctx, cfg.Listen)
	if err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	return serve(ctx, cfg, listener, reload)
}

// listen takes an address. One that is in use is waited for: the process before this one may be ending still.
func listen(ctx context.Context, address string) (net.Listener, error) {
	until := time.NewTimer(listenTimeout)
	defer until.Stop()
	again := time.NewTicker(listenRetryInterval)
	defer again.Stop()
	for n := 0; ; n++ {
		l, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		if n == 0 {
			slog.Warn("the address to listen on is in use, it is waited for", "listen", address)
		}
		select {
		case <-again.C:
		case <-until.C:
			return nil, err
		case <-ctx.Done():
			return nil, err
		}
	}
}

// serve wires the parts and starts them.
func serve(ctx context.Context, cfg *Config, listener net.Listener, reload <-chan os.Signal) error {
	c := newClock()
	up := newTransport(cfg, c)
	l, err := newEventLoop(cfg, c, up)
	if err != nil {
		return err
	}
	d := newDiscoveryClient(cfg, l.endpointsChanged, l.endpointsFailed)
	l.watchEndpoints = d.poll
	f := newIngress(cfg, c, l)
	p, err := newGossipTransport(cfg)
	if err != nil { // messages only advise: the service goes on without
		slog.Error("other sidecars can't be heard", "error", err)
	}
	l.peers = p
	slog.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "servers", len(cfg.CachedEndpoints.Servers))

	running, stop := context.WithCancel(context.Background())
	defer stop()
	go l.run(running, cfg.CachedEndpoints)
	go d.run(running)
	go p.run(running, l.gossipReceived)
	f.ready.Store(true)
	accepted := newAcceptor(listener, cfg.maxClientConns())
	server := f.server(accepted)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(accepted) }()
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			d.reload(cfg.Path)
		case <-ctx.Done():
			return f.drain(accepted, server, cfg.MaxDeadline)
		}
	}
}

// drain ends the service without losing a request. It ends no connection that is open: clients send on those
// for as long as they stay, and what crosses a close is lost where nobody listens for new ones any more. So
// each connection closes with its next answer, new ones are taken all the while, and the end comes when
// none is left. Idle ones hold it up until long after it may be killed.
func (f *ingress) drain(listener *acceptor, server *http.Server, maxDeadline time.Duration) error {
	slog.Info("stopping", "held", f.inFlight.Load())
	kill := min(maxDeadline, minKillDeadline) + killDelay
	f.killAt.Store(int64(f.clock.now() + kill - killMargin))
	f.ready.Store(false)
	unkilled := time.NewTimer(kill + maxIdleDrainTime)
	defer unkilled.Stop()
	<-time.After(minDrainTime)
	select {
	case <-listener.drained():
	case <-unkilled.C:
	}
	end, cancel := context.WithTimeout(context.Background(), maxDeadline)
	defer cancel()
	err := server.Shutdown(end)
	slog.Info("stopped", "held", f.inFlight.Load())
	if errors.Is(err, context.DeadlineExceeded) && f.inFlight.Load() == 0 {
		return nil // what is left are connections that nothing came on
	}
	return err
}
