package settings

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cranehatch/internal/loadreport"
)

// Errors that a ValueError of SidecarConfig wraps.
var (
	ErrNotPositive = errors.New("is not above 0")
	ErrNegative    = errors.New("is negative")
)

// SidecarConfig is what a sidecar needs of the settings beside a policy.Config. Names are listed by number.
type SidecarConfig struct {
	ClassNames  []string
	TenantNames []string
	ZoneNames   []string

	ReportFormat      loadreport.Format // of the servers' load reports
	MaxInFlight       int               // requests open at once; 0: no limit
	ServerIdleTimeout time.Duration     // servers close a connection that has been idle for this long
	DialTimeout       time.Duration     // for a connection to a server
	DrainGrace        time.Duration     // sends to a draining server must stop within this; 0: not known
}

// SidecarConfig converts what a sidecar needs beside the policy's settings. It returns a *ValueError for the
// first value that cannot be used.
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
		s.fail("caps.max_open", fmt.Errorf("%d %w", config.MaxInFlight, ErrNegative))
	}
	return config, s.Err()
}

// names returns the names of a list of objects.
func (s *Settings) names(list string) []string {
	names := make([]string, s.Count(list+".count"))
	for i := range names {
		names[i] = s.Text(fmt.Sprintf("%s.%d.name", list, i))
	}
	return names
}

// positiveDuration returns a time that must be set.
func (s *Settings) positiveDuration(key string) time.Duration {
	d := s.Duration(key)
	if d <= 0 {
		s.fail(key, fmt.Errorf("%v %w", d, ErrNotPositive))
	}
	return d
}
