package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"
)

const (
	// minDrainTime is the minimum time for which new connections are accepted after SIGTERM, even if no
	// connection is open.
	minDrainTime = 500 * time.Millisecond

	// The platform may send SIGKILL once this much time has passed since SIGTERM: the smaller of
	// maxKillDeadline and the longest deadline of the classes, plus killDelay.

	// maxKillDeadline limits how much the longest deadline delays SIGKILL.
	maxKillDeadline = 3 * time.Second
	// killDelay is added to the longest deadline.
	killDelay = 700 * time.Millisecond
	// killMargin is how long before a possible SIGKILL all responses must be written.
	killMargin = 100 * time.Millisecond

	// maxIdleDrainTime is the time between the earliest possible SIGKILL and the close of the remaining idle
	// connections, in case no SIGKILL is sent. No client is expected to use them by then.
	maxIdleDrainTime = 10 * time.Second
)

// drain shuts the service down gracefully, without losing a request. It returns once every connection has
// closed, or maxIdleDrainTime after SIGKILL could have been sent.
//
// It guards against a close that coincides with a request: clients send requests on a connection as long as
// it is open. A request that arrives after the close is lost: the client cannot send it again, because no
// process is listening any more. Therefore no connection is closed while it waits for a request. Each is
// closed with its next response (see closeIfDraining), and new connections are accepted throughout. A client
// that keeps an idle connection open delays the exit, which does no harm because SIGKILL comes first.
func (in *ingress) drain(clients *acceptor, server *http.Server, maxDeadline time.Duration) error {
	slog.Info("draining", "requests_in_flight", in.inFlight.Load())
	timeUntilKill := min(maxDeadline, maxKillDeadline) + killDelay
	in.drainDeadline.Store(int64(in.clock.now() + timeUntilKill - killMargin))
	in.ready.Store(false)
	idleLimit := time.NewTimer(timeUntilKill + maxIdleDrainTime)
	defer idleLimit.Stop()
	<-time.After(minDrainTime)
	select {
	case <-clients.drained():
	case <-idleLimit.C:
	}
	return in.shutdown(server, maxDeadline)
}

// shutdown closes the listener and waits for the requests in flight, for at most maxDeadline.
func (in *ingress) shutdown(server *http.Server, maxDeadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), maxDeadline)
	defer cancel()
	err := server.Shutdown(ctx)
	slog.Info("stopped", "requests_in_flight", in.inFlight.Load())
	if errors.Is(err, context.DeadlineExceeded) && in.inFlight.Load() == 0 {
		return nil // only connections without a request remain
	}
	return err
}
