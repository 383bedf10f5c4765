package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
)

const (
	// defaultMaxDescriptors applies if the configuration file sets no limit.
	defaultMaxDescriptors = 1024

	// minMaxDescriptors is the lowest accepted limit: a lower one leaves hardly any connections to clients
	// and servers.
	minMaxDescriptors = 32
)

var errMissing = errors.New("missing")

// configFile is the configuration file, a JSON object. The platform that starts the sidecar determines its
// field names and the environment variables that replace missing fields. Errors use the same names. Only the
// apply methods of Config map them to the names of Config, which the rest of the sidecar uses; applySettings
// leaves the names in Settings to package settings. Fields that are not listed here are ignored.
type configFile struct {
	// Name is the name of this sidecar, for the log. Default: EDGE_NAME.
	Name string `json:"name"`
	// Listen is the host:port where the application connects. Default: EDGE_LISTEN; one of the two is
	// required.
	Listen string `json:"listen"`
	// Discovery is the host:port of discovery. It is the only field that the sidecar reads again on SIGHUP.
	// Default: EDGE_DISCOVERY; one of the two is required.
	Discovery string `json:"discovery"`
	// Seed is the seed of the policy's random choices: up to 16 hexadecimal digits. Required.
	Seed string `json:"seed"`

	// PeerListen is the IP:port (UDP) where the sidecar receives gossip from peers. The sidecar sends and
	// receives gossip only if PeerListen, GossipBroadcast and Peers are set and the settings allow gossip.
	PeerListen string `json:"peer_listen"`
	// GossipBroadcast is the IP:port (UDP) where the platform forwards a datagram to all other sidecars.
	GossipBroadcast string `json:"peers_all"`
	// Peers are the IP:port addresses from which the sidecars of the service send gossip, including this
	// sidecar, in the order of their indices.
	Peers []string `json:"peers"`

	Limits configLimits `json:"limits"`

	// CachedList is the last known endpoint list, in the format of discovery's responses. Default: none. An
	// invalid list is logged and ignored.
	CachedList json.RawMessage `json:"known"`
	// Settings are the settings of the service: classes, tenants, limits, timeouts. Required.
	Settings json.RawMessage `json:"settings"`
}

// configLimits are the resource limits that the platform sets for the process.
type configLimits struct {
	// MemoryMB is the memory, in MiB, above which the platform kills the process. Default: no limit is known.
	MemoryMB float64 `json:"memory_mb"`
	// DescriptorLimit is the number of file descriptors that the process may hold. Default:
	// defaultMaxDescriptors.
	DescriptorLimit float64 `json:"sockets"`
}

func parseConfigFile(raw []byte) (*configFile, error) {
	file := new(configFile)
	if err := json.Unmarshal(raw, file); err != nil {
		return nil, &ConfigError{Field: "EDGE_CONFIG", Err: err}
	}
	return file, nil
}

// applyEnvironment sets fields that are missing in the file from environment variables.
func (file *configFile) applyEnvironment(env func(string) string) {
	for _, fallback := range []struct {
		value    *string
		variable string
	}{
		{&file.Name, "EDGE_NAME"},
		{&file.Listen, "EDGE_LISTEN"},
		{&file.Discovery, "EDGE_DISCOVERY"},
	} {
		if *fallback.value == "" {
			*fallback.value = env(fallback.variable)
		}
	}
}

func (c *Config) applyAddresses(file *configFile) error {
	c.Listen, c.Discovery = file.Listen, file.Discovery
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return &ConfigError{Field: "listen", Err: err}
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return &ConfigError{Field: "discovery", Err: err}
	}
	return nil
}

func (c *Config) applyLimits(file *configFile) error {
	c.MemoryMB = int(file.Limits.MemoryMB)
	c.MaxDescriptors = int(file.Limits.DescriptorLimit)
	if c.MaxDescriptors == 0 {
		c.MaxDescriptors = defaultMaxDescriptors
	}
	if c.MaxDescriptors < minMaxDescriptors || c.MemoryMB < 0 {
		err := fmt.Errorf("sockets = %d or memory_mb = %d is below the minimum", c.MaxDescriptors, c.MemoryMB)
		return &ConfigError{Field: "limits", Err: err}
	}
	return nil
}

func (c *Config) applySeed(file *configFile) error {
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return &ConfigError{Field: "seed", Err: err}
	}
	return nil
}

// applyPeers parses the addresses for gossip. If one of them is missing it disables gossip, and the policy
// decides from this sidecar's own observations.
func (c *Config) applyPeers(file *configFile) error {
	if !c.Policy.CanGossip || file.PeerListen == "" || file.GossipBroadcast == "" || len(file.Peers) == 0 {
		c.Policy.CanGossip = false
		return nil
	}
	var err error
	if c.PeerListen, err = netip.ParseAddrPort(file.PeerListen); err != nil {
		return &ConfigError{Field: "peer_listen", Err: err}
	}
	if c.PeerBroadcast, err = netip.ParseAddrPort(file.GossipBroadcast); err != nil {
		return &ConfigError{Field: "peers_all", Err: err}
	}
	c.Peers = make(map[netip.AddrPort]int, len(file.Peers))
	for i, peer := range file.Peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			return &ConfigError{Field: "peers", Err: err}
		}
		c.Peers[address] = i
	}
	return nil
}
