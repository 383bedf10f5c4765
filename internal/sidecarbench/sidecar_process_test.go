package sidecarbench

import (
	"strings"
	"testing"
)

// Guards against log patterns that no longer match. The number of received datagrams comes from a log line of
// the sidecar: if the line has another format, the number is 0 without any error.
func TestReadLog(t *testing.T) {
	log := strings.Join([]string{
		`2026/12/03 06:00:00 WARN listen address is in use, retrying listen=127.0.0.1:9000`,
		`2026/12/03 06:00:00 INFO serving name=n3 listen=127.0.0.1:9000 cached_endpoints=2`,
		`2026/12/03 06:00:10 INFO counters policy.gossip_received=40 gossip.sent=7 gossip.lost=0 gossip.received=41 gossip.malformed=0`,
	}, "\n")
	s := &sidecarProcess{logEnded: make(chan struct{})}
	listens := make(chan string, 1)
	s.readLog(strings.NewReader(log), listens)
	if address := <-listens; address != "127.0.0.1:9000" {
		t.Errorf("listen address = %q, want 127.0.0.1:9000", address)
	}
	if n := s.gossipReceived.Load(); n != 41 {
		t.Errorf("received datagrams = %d, want 41", n)
	}
	if n := s.warnings.Load(); n != 1 {
		t.Errorf("warnings = %d, want 1", n)
	}
}
