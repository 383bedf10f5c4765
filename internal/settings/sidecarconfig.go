package settings

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cranehatch/internal/loadreport"
)

// Errors that a ValueError from SidecarConfig may wrap.
var (
	ErrNotPositive = errors.New("must be above 0")
	ErrNegative    = errors.New("must not be negative")
)

// SidecarConfig holds the settings that a sidecar needs in addition to its policy.Config. The index of a
// class, tenant or zone name is the number that package policy uses for it.
type SidecarConfig struct {
	ClassNames  []string
	TenantNames []string
	ZoneNames   []string

	ReportFormat      loadreport.Format // of the servers' load reports
	MaxInFlight       int               // limit on requests in flight; 0: no limit
	ServerIdleTimeout time.Duration     // idle time after which servers close a connection
	DialTimeout       time.Duration     // limit on opening a connection to a server
	DrainGrace        time.Duration     // time within which sends to a draining server must stop; 0: unknown
}

// SidecarConfig converts the settings that a sidecar needs in addition to PolicyConfig. It returns a
// *ValueError for the first value that cannot be converted or used.
func (s *Settings) SidecarConfig() (SidecarConfig, error) {
	config := SidecarConfig{
		ClassNames:        s.names("classes"),
		TenantNames:       s.names("orgs"),
		ZoneNames:         strings.Split(s.Text("zones"), ","),
		ReportFormat:      s.ReportFormat(),
		MaxInFlight:       int(s.Number("caps.max_open")),
		ServerIdleTimeout: s.positiveDuration("caps.conn_idle_ms"),
		DialTimeout:       s.positiveDuration("caps.dial_timeout_ms"),
		DrainGrace:        s.Duration("rules.stop_sending_within_ms"),
	}
	if config.MaxInFlight < 0 {
		s.recordError("caps.max_open", fmt.Errorf("invalid limit %d: %w", config.MaxInFlight, ErrNegative))
	}
	return config, s.Err()
}

// names returns the value of "name" of each object in a list.
func (s *Settings) names(list string) []string {
	names := make([]string, s.Count(list+".count"))
	for i := range names {
		names[i] = s.Text(fmt.Sprintf("%s.%d.name", list, i))
	}
	return names
}

// positiveDuration returns the value of a duration that is required and must be above 0.
func (s *Settings) positiveDuration(key string) time.Duration {
	d := s.Duration(key)
	if d <= 0 {
		s.recordError(key, fmt.Errorf("invalid duration %v: %w", d, ErrNotPositive))
	}
	return d
}
