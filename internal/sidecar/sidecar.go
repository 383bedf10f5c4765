package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
)

// Run listens and serves until ctx ends, then drains: it returns once every request taken by then has its response.
// Each signal on reload has the configuration read again. The caller closes nothing.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal) error {
	listener, err := listen(ctx, cfg.Listen)
	if err != nil {
		return &ConfigError{Field: "listen", Err: err}
	}
	return serve(ctx, cfg, listener, reload)
}

// sidecar holds the parts of the program.
type sidecar struct {
	cfg       *Config
	loop      *eventLoop
	discovery *discoveryClient
	gossip    *gossipTransport // nil: this sidecar has no peers
	ingress   *ingress
}

// newSidecar makes the parts and connects them. Nothing runs yet.
func newSidecar(cfg *Config) (*sidecar, error) {
	c := newClock()
	loop, err := newEventLoop(cfg, c, newTransport(cfg, c))
	if err != nil {
		return nil, fmt.Errorf("start the policy: %w", err)
	}
	s := &sidecar{cfg: cfg, loop: loop, ingress: newIngress(cfg, c, loop)}
	s.discovery = newDiscoveryClient(cfg, loop.endpointsChanged, loop.endpointsFailed)
	loop.watchEndpoints = s.discovery.poll
	if s.gossip, err = newGossipTransport(cfg); err != nil {
		// Gossip only improves decisions: requests are served without it.
		slog.Error("gossip of other sidecars can't be received", "error", err)
	}
	loop.peers = s.gossip
	return s, nil
}

// start starts the goroutines beside the HTTP server. They end with ctx; nobody waits for them, as the process exits
// then.
func (s *sidecar) start(ctx context.Context) {
	go s.loop.run(ctx, s.cfg.CachedEndpoints)
	go s.discovery.run(ctx)
	go s.gossip.run(ctx, s.loop.gossipReceived)
}

// serve runs a sidecar on a listener until ctx ends and it has drained, or until the HTTP server fails.
//
// Its parts go on while it drains, as requests still need them; they end when it returns. The goroutine of the HTTP
// server ends when drain shuts the server down. net/http starts a goroutine for each connection, which calls the
// ingress.
func serve(ctx context.Context, cfg *Config, listener net.Listener, reload <-chan os.Signal) error {
	s, err := newSidecar(cfg)
	if err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "cached_endpoints", len(cfg.CachedEndpoints.Endpoints))
	running, stop := context.WithCancel(context.Background()) // not ctx, which ends before the drain
	defer stop()
	s.start(running)

	s.ingress.ready.Store(true)
	clients := newAcceptor(listener, cfg.maxClientConns())
	server := s.ingress.server(clients)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(clients) }()
	return s.supervise(ctx, clients, server, failed, reload)
}

// supervise waits for what ends the service: a failure of the HTTP server, or ctx. Meanwhile it takes reload signals.
func (s *sidecar) supervise(ctx context.Context, clients *acceptor, server *http.Server, failed <-chan error, reload <-chan os.Signal) error {
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("serve HTTP: %w", err)
		case <-reload:
			s.discovery.reload(s.cfg.Path)
		case <-ctx.Done():
			return s.ingress.drain(clients, server, s.cfg.MaxDeadline)
		}
	}
}
