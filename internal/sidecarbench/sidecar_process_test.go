package sidecarbench

import (
	"strings"
	"testing"
)

// The figures of gossip came from a log line. When the sidecar changed that line, each of them would have been 0, with
// nothing to show that none had been measured.
func TestReadLog(t *testing.T) {
	log := strings.Join([]string{
		`2026/12/03 06:00:00 WARN listen address is in use, retrying listen=127.0.0.1:9000`,
		`2026/12/03 06:00:00 INFO serving name=n3 listen=127.0.0.1:9000 cached_endpoints=2`,
		`2026/12/03 06:00:10 INFO counters policy.gossip_received=40 gossip.sent=7 gossip.lost=0 gossip.received=41 gossip.malformed=0`,
	}, "\n")
	s := &sidecarProcess{logClosed: make(chan struct{})}
	listens := make(chan string, 1)
	s.readLog(strings.NewReader(log), listens)
	if address := <-listens; address != "127.0.0.1:9000" {
		t.Errorf("address is %q", address)
	}
	if n := s.gossipReceived.Load(); n != 41 {
		t.Errorf("%d datagrams received, want 41", n)
	}
	if n := s.warnings.Load(); n != 1 {
		t.Errorf("%d warnings, want 1", n)
	}
}
