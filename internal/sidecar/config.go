// Package sidecar connects package policy to the network: it accepts an application's requests, asks the
// policy which server each request should go to, and performs the I/O. It makes no balancing decisions of its
// own.
package sidecar

import (
	"log/slog"
	"math"
	"net/netip"
	"os"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/internal/loadreport"
	"cranehatch/internal/settings"
	"cranehatch/policy"
)

// Config is the configuration of a sidecar. configFile has the names of these values in the configuration file
// and in the environment.
type Config struct {
	Path      string // path of the configuration file
	Name      string // name of this sidecar, for the log
	Listen    string // host:port where the application connects
	Discovery string // host:port of discovery
	Seed      uint64 // seed of the policy's random choices

	PeerListen    netip.AddrPort         // address that receives gossip from peers; invalid if there is none
	PeerBroadcast netip.AddrPort         // address that forwards a datagram to all peers
	Peers         map[netip.AddrPort]int // peer index by the address that the peer sends from

	MemoryMB       int // memory in MiB above which the platform kills the process; 0 if no limit is known
	MaxDescriptors int // limit on the file descriptors of the process

	Policy          policy.Config
	Classes         map[string]int    // class index by name
	Tenants         map[string]int    // tenant index by name; empty if there are no tenants
	Zones           map[string]int    // zone index by name
	ReportFormat    loadreport.Format // format of the servers' load reports
	MaxInFlight     int               // limit on requests in flight; 0 for no limit
	MaxDeadline     time.Duration     // the longest deadline of all classes
	DialTimeout     time.Duration     // timeout of a connection attempt to a server and of a health check
	CachedEndpoints endpointlist.List // last known endpoint list, possibly stale; used until discovery responds

	// ServerIdleTimeout is how long servers keep an idle connection open. The transport closes idle
	// connections shortly before that.
	ServerIdleTimeout time.Duration

	// DrainGrace (drain_grace_ms in a site's file under deploy/sites) is the time after the announcement of a
	// drain within which the sidecar must stop sending to the draining server; 0 if it is not known.
	// Regardless of this value, the sidecar stops sending as soon as the update arrives. With a pushed
	// endpoint list, DrainGrace limits how late the update may arrive: newDiscoveryClient derives the longest
	// backoff and the interval of hedged calls from it.
	DrainGrace time.Duration
}

// ConfigError reports which field of the configuration is invalid, and why.
type ConfigError struct {
	Field string // name in the file or the environment; empty if Err names the field
	Err   error
}

func (e *ConfigError) Error() string {
	if e.Field == "" {
		return "config: " + e.Err.Error()
	}
	return "config: " + e.Field + ": " + e.Err.Error()
}

func (e *ConfigError) Unwrap() error { return e.Err }

// ReadConfig reads the configuration file at path, which is the value of the environment variable
// EDGE_CONFIG. Every error is a *ConfigError.
func ReadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Field: "EDGE_CONFIG", Err: err}
	}
	c, err := parseConfig(raw, os.Getenv)
	if err != nil {
		return nil, err
	}
	c.Path = path
	return c, nil
}

// parseConfig parses the content of a configuration file; env looks up an environment variable.
func parseConfig(raw []byte, env func(string) string) (*Config, error) {
	file, err := parseConfigFile(raw)
	if err != nil {
		return nil, err
	}
	file.applyEnvironment(env)
	c := &Config{Name: file.Name}
	for _, apply := range []func(*configFile) error{
		c.applyAddresses, c.applyLimits, c.applySeed, c.applySettings, c.applyPeers,
	} {
		if err := apply(file); err != nil {
			return nil, err
		}
	}
	c.applyCachedEndpoints(file)
	return c, nil
}

// applyCachedEndpoints parses the cached endpoint list. An invalid list is logged and ignored, and does not
// prevent the start: even a valid one may be stale, and discovery has the current list.
func (c *Config) applyCachedEndpoints(file *configFile) {
	if len(file.CachedList) == 0 {
		return
	}
	var err error
	if c.CachedEndpoints, err = endpointlist.ParseFull(file.CachedList, c.Zones); err != nil {
		slog.Error("parse cached endpoint list failed: ignoring the list",
			"error", &ConfigError{Field: "known", Err: err})
	}
}

// applySettings parses the settings of the policy and of the sidecar itself. Package settings maps the names
// in the file to the fields of this code.
func (c *Config) applySettings(file *configFile) error {
	if len(file.Settings) == 0 {
		return &ConfigError{Field: "settings", Err: errMissing}
	}
	s, err := settings.ParseJSON(file.Settings)
	if err != nil {
		return &ConfigError{Err: err}
	}
	if c.Policy, err = s.PolicyConfig(); err != nil {
		return &ConfigError{Err: err}
	}
	for _, class := range c.Policy.Classes {
		c.MaxDeadline = max(c.MaxDeadline, class.Deadline)
	}
	sidecarConfig, err := s.SidecarConfig()
	if err != nil {
		return &ConfigError{Err: err}
	}
	c.Classes = indexByName(sidecarConfig.ClassNames)
	c.Tenants = indexByName(sidecarConfig.TenantNames)
	c.Zones = indexByName(sidecarConfig.ZoneNames)
	c.ReportFormat = sidecarConfig.ReportFormat
	c.MaxInFlight = sidecarConfig.MaxInFlight
	c.ServerIdleTimeout = sidecarConfig.ServerIdleTimeout
	c.DialTimeout = sidecarConfig.DialTimeout
	c.DrainGrace = sidecarConfig.DrainGrace
	return nil
}

func indexByName(names []string) map[string]int {
	byName := make(map[string]int, len(names))
	for i, name := range names {
		byName[name] = i
	}
	return byName
}

const (
	// clientConnBytes is the part of the memory limit for each client connection. A connection with a request
	// takes about a third of it; the rest is for attempts, bodies and garbage.
	clientConnBytes = 80 << 10
	// processDescriptors is what the process needs besides connections of clients and to servers: three standard
	// streams, the listener, gossip, two of the Go runtime, a connection that waits to be admitted, and the calls to
	// discovery that are in flight at once.
	processDescriptors = 16
	// idleProcessMB is the memory of a process without requests, in MiB.
	idleProcessMB = 16
)

// The file descriptors are divided into fixed shares, so that neither client connections nor server
// connections can exhaust those that the other needs: half for clients, three eighths for servers, and one
// eighth for connections that are being closed, discovery, gossip, the listener and the process itself.
// Client connections with a request in flight may take up a third of all descriptors; the share of half leaves
// room for idle client connections as well.

// maxClientConns returns the limit on open client connections: half of the descriptors, or less if MemoryMB does
// not suffice for so many, but not less than clients may need for requests.
func (c *Config) maxClientConns() int {
	conns := c.MaxDescriptors / 2
	if c.MemoryMB > 0 {
		conns = min(conns, c.MemoryMB<<20/clientConnBytes)
	}
	return max(conns, c.MaxDescriptors/3)
}

// maxServerConns returns the limit on open connections to servers: three eighths of the descriptors, or less if that
// leaves fewer than processDescriptors.
func (c *Config) maxServerConns() int {
	rest := c.MaxDescriptors - c.MaxDescriptors/2 - processDescriptors
	return max(min(c.MaxDescriptors*3/8, rest), c.MaxDescriptors/4)
}

// maxTotalBodyBytes returns the limit on the total size of the request bodies in memory, and on that of the long
// responses: each is an eighth of MemoryMB, or no limit if MemoryMB is 0.
func (c *Config) maxTotalBodyBytes() int64 {
	if c.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(c.MemoryMB) << 20 / 8
}

// maxLongRequestBytes returns the limit on the total memory of the long requests that are being received or are
// in flight: an eighth of what MemoryMB leaves beside an idle process, or no limit if MemoryMB is 0.
func (c *Config) maxLongRequestBytes() int64 {
	if c.MemoryMB == 0 {
		return math.MaxInt64
	}
	megabytes := max(c.MemoryMB-idleProcessMB, c.MemoryMB/4)
	return int64(megabytes) << 20 / 8
}
