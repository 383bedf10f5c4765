// Package settings reads the start-up settings of a load balancer instance.
//
// Settings arrive in two forms of the same tree: as path=value lines from the simulator (Parse) and as
// nested JSON in a sidecar's configuration file (ParseJSON). Both are reduced to values by path, such as
// "classes.0.name", which typed accessors convert on demand.
//
// PolicyConfig and SidecarConfig map the settings' own key names (orgs, semantics, aim_ms, ...) to the terms
// of this code. This mapping happens here, once, and nowhere else.
package settings

import (
	"fmt"
	"strconv"
	"time"

	"cranehatch/internal/loadreport"
	"cranehatch/internal/millis"
)

const (
	// maxCount is the maximum of a count. It is far above the length of any real list, and keeps a
	// malformed value from causing a large allocation.
	maxCount = 1 << 16
	// expectedKeys is the usual number of keys.
	expectedKeys = 128
)

// Settings are the start-up settings of an instance, by path. The accessors return a zero value for a
// value that cannot be converted, and the first such error is available from Err, so that callers can read
// many values and check once.
type Settings struct {
	values map[string]string
	err    error // the first value that could not be converted
}

// Text returns a value as it was set, or "" where it is absent.
func (s *Settings) Text(key string) string { return s.values[key] }

// Flag reports whether a value is "true".
func (s *Settings) Flag(key string) bool { return s.values[key] == "true" }

// Number returns a number, or 0 where it is absent.
func (s *Settings) Number(key string) float64 {
	text := s.values[key]
	if text == "" {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.fail(key, err)
	}
	return number
}

// Count returns a whole number from 0 to 65,536, or 0 where it is absent.
func (s *Settings) Count(key string) int {
	number := s.Number(key)
	if number < 0 || number > maxCount || number != float64(int(number)) {
		s.fail(key, fmt.Errorf("%v %w", number, ErrNotCount))
		return 0
	}
	return int(number)
}

// Duration returns a time that is set in milliseconds, or 0 where it is absent.
func (s *Settings) Duration(key string) time.Duration { return millis.ToDuration(s.Number(key)) }

// ReportFormat returns the format of the servers' load reports.
func (s *Settings) ReportFormat() loadreport.Format {
	return loadreport.ParseFormat(s.Text("telemetry.columns"))
}

// Err returns a *ValueError for the first value that could not be converted so far, or nil.
func (s *Settings) Err() error { return s.err }

// fail records the first error.
func (s *Settings) fail(key string, err error) {
	if s.err == nil {
		s.err = &ValueError{Key: key, Value: s.values[key], Err: err}
	}
}
