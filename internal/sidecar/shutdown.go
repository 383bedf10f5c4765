package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"
)

const (
	// New connections may still come for so long after SIGTERM, also where none is open at that moment.
	minDrainTime = 500 * time.Millisecond

	// The platform may send SIGKILL once killDelay and the longest deadline, of which at most maxKillDeadline counts,
	// have passed since SIGTERM. Responses are to be out killMargin before that.
	maxKillDeadline = 3 * time.Second
	killDelay       = 700 * time.Millisecond
	killMargin      = 100 * time.Millisecond

	// Where no SIGKILL comes, idle connections are closed so long after it could have come: no client is expected to
	// use them by then.
	maxIdleDrainTime = 10 * time.Second
)

// drain shuts the service down gracefully, without losing a request. It returns once every connection has closed, or
// maxIdleDrainTime after SIGKILL could have come.
//
// It guards against a close that crosses a request: clients send on a connection for as long as it is open, and a
// request that arrives after the close is lost, with nobody listening any more to whom the client could send it
// again. So no connection is closed while it waits for a request: each is closed with its next response (see
// closeIfDraining), and new ones are accepted all the while. A client that keeps an idle connection delays the end,
// which does no harm, as SIGKILL comes first.
func (f *ingress) drain(clients *acceptor, server *http.Server, maxDeadline time.Duration) error {
	slog.Info("draining", "requests_in_flight", f.inFlight.Load())
	untilKill := min(maxDeadline, maxKillDeadline) + killDelay
	f.answerBy.Store(int64(f.clock.now() + untilKill - killMargin))
	f.ready.Store(false)
	idleLimit := time.NewTimer(untilKill + maxIdleDrainTime)
	defer idleLimit.Stop()
	<-time.After(minDrainTime)
	select {
	case <-clients.drained():
	case <-idleLimit.C:
	}
	return f.shutdown(server, maxDeadline)
}

// shutdown closes the listener and waits until no request is open, at most for a deadline.
func (f *ingress) shutdown(server *http.Server, maxDeadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), maxDeadline)
	defer cancel()
	err := server.Shutdown(ctx)
	slog.Info("stopped", "requests_in_flight", f.inFlight.Load())
	if errors.Is(err, context.DeadlineExceeded) && f.inFlight.Load() == 0 {
		return nil // what remains are connections on which no request came
	}
	return err
}
