package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
)

// Run listens and serves until ctx is cancelled, then drains and returns (see ingress.drain). Each signal on
// reload makes it read the address of discovery from the configuration file again. The process is expected to
// exit when Run returns: idle connections to servers and to discovery may still be open then.
func Run(ctx context.Context, cfg *Config, reload <-chan os.Signal) error {
	listener, err := listen(ctx, cfg.Listen)
	if err != nil {
		return &ConfigError{Field: "listen", Err: err}
	}
	return serve(ctx, cfg, listener, reload)
}

// sidecar holds the components of the program.
type sidecar struct {
	cfg       *Config
	loop      *eventLoop
	discovery *discoveryClient
	gossip    *gossipTransport // nil: no peers or no gossip socket
	ingress   *ingress
}

// newSidecar creates and connects the components. It starts no goroutine.
func newSidecar(cfg *Config) (*sidecar, error) {
	c := newClock()
	loop, err := newEventLoop(cfg, c, newTransport(cfg, c))
	if err != nil {
		return nil, fmt.Errorf("create balancer: %w", err)
	}
	s := &sidecar{cfg: cfg, loop: loop, ingress: newIngress(cfg, c, loop)}
	s.discovery = newDiscoveryClient(cfg, loop.handleEndpointUpdate, loop.handleDiscoveryFailure)
	loop.watchEndpoints = s.discovery.requestPoll
	if s.gossip, err = newGossipTransport(cfg); err != nil {
		// Gossip only improves decisions: the sidecar can serve requests without it.
		slog.Error("open gossip socket failed: serving without gossip", "error", err)
	}
	loop.peers = s.gossip
	return s, nil
}

// start starts the goroutines of the event loop, the discovery client and the gossip transport. They end when
// ctx is cancelled. Nothing waits for them, because the process exits at that point.
func (s *sidecar) start(ctx context.Context) {
	go s.loop.run(ctx, s.cfg.CachedEndpoints)
	go s.discovery.run(ctx)
	go s.gossip.run(ctx, s.loop.handleGossip)
}

// serve runs a sidecar on a listener until ctx is cancelled and the sidecar has drained, or until the HTTP
// server fails.
//
// The components keep running during the drain, because open requests still need them, and end when serve
// returns. The goroutine of the HTTP server ends when drain shuts the server down. net/http starts a
// goroutine for each client connection, which calls the ingress.
func serve(ctx context.Context, cfg *Config, listener net.Listener, reload <-chan os.Signal) error {
	s, err := newSidecar(cfg)
	if err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "cached_endpoints", len(cfg.CachedEndpoints.Endpoints))
	// Not derived from ctx, which is cancelled before the drain.
	componentsCtx, stopComponents := context.WithCancel(context.Background())
	defer stopComponents()
	clients := newAcceptor(listener, cfg.maxClientConns())
	s.loop.clients = clients
	s.start(componentsCtx)

	s.ingress.ready.Store(true)
	server := s.ingress.server(clients)
	serverErr := make(chan error, 1)
	go func() { serverErr <- server.Serve(clients) }()
	return s.supervise(ctx, clients, server, serverErr, reload)
}

// supervise handles reload signals until the HTTP server fails, or until ctx is cancelled and the sidecar has
// drained.
func (s *sidecar) supervise(ctx context.Context, clients *acceptor, server *http.Server, serverErr <-chan error, reload <-chan os.Signal) error {
	for {
		select {
		case err := <-serverErr:
			return fmt.Errorf("serve HTTP: %w", err)
		case <-reload:
			s.discovery.reload(s.cfg.Path)
		case <-ctx.Done():
			return s.ingress.drain(clients, server, s.cfg.MaxDeadline)
		}
	}
}
