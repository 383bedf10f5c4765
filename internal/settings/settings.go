// Package settings reads the start-up settings of a load balancer instance.
//
// The settings are a tree in one of two forms: path=value lines from the simulator (Parse) or nested JSON in
// a sidecar's configuration file (ParseJSON). Both are flattened to a map from path, such as
// "classes.0.name", to text. Typed accessors convert the text when a value is read.
//
// PolicyConfig and SidecarConfig map the key names of the settings (orgs, semantics, aim_ms, ...) to the
// terms of this code. No other package contains this mapping.
package settings

import (
	"fmt"
	"strconv"
	"time"

	"cranehatch/internal/loadreport"
	"cranehatch/internal/millis"
)

const (
	// maxCount is the maximum of a count. It is far above the length of any real list, and prevents a
	// malformed value from causing a large allocation.
	maxCount = 1 << 16
	// expectedKeys is the typical number of keys, used as the initial capacity of the map.
	expectedKeys = 128
)

// Settings holds the start-up settings of an instance. If a value cannot be converted, its accessor returns a
// value that must not be used (0, or an extreme value for a number out of range) and Settings keeps the first
// such error for Err. A caller can therefore read many values and check for an error once.
type Settings struct {
	values map[string]string // text by path
	err    error             // a *ValueError for the first value that could not be converted, or nil
}

// Text returns the text of a value, or "" if it is absent.
func (s *Settings) Text(key string) string { return s.values[key] }

// Flag reports whether the text of a value is "true".
func (s *Settings) Flag(key string) bool { return s.values[key] == "true" }

// Number returns the value of a number, or 0 if it is absent.
func (s *Settings) Number(key string) float64 {
	text := s.values[key]
	if text == "" {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.recordError(key, err)
	}
	return number
}

// Count returns the value of a whole number from 0 to maxCount, or 0 if it is absent.
func (s *Settings) Count(key string) int {
	number := s.Number(key)
	if number < 0 || number > maxCount || number != float64(int(number)) {
		s.recordError(key, fmt.Errorf("invalid count %v: %w", number, ErrInvalidCount))
		return 0
	}
	return int(number)
}

// Duration returns the value of a duration configured in milliseconds, or 0 if it is absent.
func (s *Settings) Duration(key string) time.Duration { return millis.ToDuration(s.Number(key)) }

// ReportFormat returns the configured format of the servers' load reports.
func (s *Settings) ReportFormat() loadreport.Format {
	return loadreport.ParseFormat(s.Text("telemetry.columns"))
}

// Err returns a *ValueError for the first value that could not be converted so far, or nil.
func (s *Settings) Err() error { return s.err }

// recordError stores a *ValueError for key, unless an earlier error is stored.
func (s *Settings) recordError(key string, err error) {
	if s.err == nil {
		s.err = &ValueError{Key: key, Value: s.values[key], Err: err}
	}
}
