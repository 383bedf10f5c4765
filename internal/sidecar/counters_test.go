package sidecar

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Guards against an accidental change of a counter's key. Dashboards and internal/sidecarbench look counters
// up by key, and would read a missing counter as 0.
func TestCountersAreLoggedByName(t *testing.T) {
	var line bytes.Buffer
	cfg := testConfig(t, fullListResponse(1, "ready", "127.0.0.1:1"), nil)
	logger := slog.New(slog.NewTextHandler(&line, nil))
	logger.LogAttrs(t.Context(), slog.LevelInfo, "counters", newTestLoopWithConfig(t, cfg).counters()...)
	for _, key := range []string{
		"policy.round_robin_sends=", "policy.diverted_sends=", "policy.concurrency_limited=", "policy.shed=",
		"policy.cross_zone_sends=", "policy.retries=", "policy.late_rejected=", "policy.queued=", "policy.gossip_sent=",
		"policy.gossip_received=", "policy.gossip_dropped=", "policy.rejected=", "policy.failed=",
		"clients.open_connections=", "clients.evicted_idle=", "clients.evicted_partial=",
		"transport.open_connections=", "transport.dialed_connections=", "transport.stale_connections=",
		"gossip.sent=", "gossip.lost=", "gossip.received=", "gossip.unknown_sender=", "gossip.malformed=",
	} {
		if !strings.Contains(line.String(), key) {
			t.Errorf("log line lacks key %s: %s", key, line.String())
		}
	}
}
