// Package sidecar runs the decisions of package policy on real sockets: it takes an application's requests, asks the
// policy which server each should go to, and carries that out. It decides nothing itself.
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

// Config is a sidecar's configuration, in the terms of this code. The file's names for these values, and those of
// the environment, are in configFile and Config's methods; they appear nowhere else.
type Config struct {
	Path      string // of the file it was read from
	Name      string // of this sidecar, for the log
	Listen    string // host:port where the application connects
	Discovery string // host:port of discovery
	Seed      uint64 // of the policy's random choices

	PeerListen    netip.AddrPort         // where gossip of other sidecars arrives; not valid: nowhere
	PeerBroadcast netip.AddrPort         // from where a datagram goes to all of them
	Peers         map[netip.AddrPort]int // a peer's number by the address it sends from

	MemoryMB       int // the platform kills the process above this many MiB; 0: no limit is known
	MaxDescriptors int // file descriptors that the process may hold

	Policy          policy.Config
	Classes         map[string]int    // class index by name
	Tenants         map[string]int    // tenant index by name; empty where there are none
	Zones           map[string]int    // zone index by name
	ReportFormat    loadreport.Format // of the servers' load reports
	MaxInFlight     int               // requests open at once; 0: no limit
	MaxDeadline     time.Duration     // the longest deadline of any class
	DialTimeout     time.Duration     // for a connection to a server, and for a health check
	CachedEndpoints endpointlist.List // as last known, maybe old; used until discovery responds

	// ServerIdleTimeout is after how long servers close an idle connection; the transport closes it a little before.
	ServerIdleTimeout time.Duration

	// DrainGrace (drain_grace_ms of a site) is the time from the announcement of a drain in which sends to that server
	// must stop; 0: not known. Sends stop when the update arrives, whatever this value. Where lists are pushed it
	// bounds how late an update may arrive: the pause between two calls, and the interval of hedged ones, see
	// newDiscoveryClient.
	DrainGrace time.Duration
}

// ConfigError says which field of the configuration cannot be used, and why.
type ConfigError struct {
	Field string // as the file or the environment names it; empty: Err names it
	Err   error
}

func (e *ConfigError) Error() string {
	if e.Field == "" {
		return "config: " + e.Err.Error()
	}
	return "config: " + e.Field + ": " + e.Err.Error()
}

func (e *ConfigError) Unwrap() error { return e.Err }

// ReadConfig reads the configuration file. Its path is the value of the environment variable EDGE_CONFIG. Every error
// is a *ConfigError.
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

// parseConfig reads a configuration file's content; env looks up an environment variable.
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

// applyCachedEndpoints reads the endpoint list as last known. An invalid one is no reason not to start: it may be old
// at best, and discovery has the current one.
func (c *Config) applyCachedEndpoints(file *configFile) {
	if len(file.CachedEndpoints) == 0 {
		return
	}
	var err error
	if c.CachedEndpoints, err = endpointlist.ParseComplete(file.CachedEndpoints, c.Zones); err != nil {
		slog.Error("the cached endpoint list in the configuration file can't be used",
			"error", &ConfigError{Field: "known", Err: err})
	}
}

// applySettings reads the settings: those of the policy, and what the sidecar needs besides. The settings' names are
// mapped to the terms of this code in package settings.
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
	own, err := s.SidecarConfig()
	if err != nil {
		return &ConfigError{Err: err}
	}
	c.Classes = indexByName(own.ClassNames)
	c.Tenants = indexByName(own.TenantNames)
	c.Zones = indexByName(own.ZoneNames)
	c.ReportFormat = own.ReportFormat
	c.MaxInFlight = own.MaxInFlight
	c.ServerIdleTimeout = own.ServerIdleTimeout
	c.DialTimeout = own.DialTimeout
	c.DrainGrace = own.DrainGrace
	return nil
}

func indexByName(names []string) map[string]int {
	byName := make(map[string]int, len(names))
	for i, name := range names {
		byName[name] = i
	}
	return byName
}

// The descriptors are divided in fixed parts, so that neither side can use up what the other needs: half for
// clients, three eighths for servers, and the last eighth for connections being closed, discovery, gossip, the
// listener and the process itself. Clients may hold a third of all for open requests; the half leaves room for idle
// ones beside those.

// maxClientConns is the limit on clients' connections.
func (c *Config) maxClientConns() int { return c.MaxDescriptors / 2 }

// maxServerConns is the limit on connections to servers.
func (c *Config) maxServerConns() int { return c.MaxDescriptors * 3 / 8 }

// maxBodyBytes is the limit on the request bodies held at once: an eighth of the memory.
func (c *Config) maxBodyBytes() int64 {
	if c.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(c.MemoryMB) << 20 / 8
}
