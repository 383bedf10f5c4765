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
	defaultMaxDescriptors = 1024 // where the file has no limit
	minMaxDescriptors     = 32   // with fewer, clients and servers would have hardly any connections
)

var errMissing = errors.New("missing")

// configFile is the configuration file, a JSON object. Its names, and those of the environment variables that stand
// in for what it leaves out, are set by the platform that starts the sidecar. They are mapped to the terms of this
// code in Config and its apply methods, and nowhere else. Fields not listed here are ignored.
type configFile struct {
	// Name of this sidecar, for the log. Default: EDGE_NAME.
	Name string `json:"name"`
	// Listen is the host:port where the application connects. Default: EDGE_LISTEN; one of the two is required.
	Listen string `json:"listen"`
	// Discovery is the host:port of discovery, and the one field that SIGHUP reads again. Default: EDGE_DISCOVERY;
	// one of the two is required.
	Discovery string `json:"discovery"`
	// Seed of the policy's random choices: up to 16 hexadecimal digits. Required.
	Seed string `json:"seed"`

	// PeerListen is the IP:port (UDP) where gossip of other sidecars arrives. Without this field, the next two, or
	// the setting that allows gossip, the sidecar neither sends nor receives any.
	PeerListen string `json:"peer_listen"`
	// PeersAll is the IP:port (UDP) from where the platform passes a datagram on to all other sidecars.
	PeerBroadcast string `json:"peers_all"`
	// Peers are the IP:port from which the sidecars of the service send, this one's among them, in the order of their
	// numbers.
	Peers []string `json:"peers"`

	Limits configLimits `json:"limits"`

	// Known is the endpoint list as last known, in the form of discovery's responses. Default: none; an invalid one
	// counts as none, with a line in the log.
	CachedEndpoints json.RawMessage `json:"known"`
	// Settings of the service and its rules: classes, tenants, limits, times. Required.
	Settings json.RawMessage `json:"settings"`
}

// configLimits are what the platform grants the process.
type configLimits struct {
	// MemoryMB, in MiB: the process is killed above this. Default: no limit is known.
	MemoryMB float64 `json:"memory_mb"`
	// Sockets is the number of descriptors that the process may hold. Default: defaultMaxDescriptors.
	MaxDescriptors float64 `json:"sockets"`
}

func parseConfigFile(raw []byte) (*configFile, error) {
	file := new(configFile)
	if err := json.Unmarshal(raw, file); err != nil {
		return nil, &ConfigError{Field: "EDGE_CONFIG", Err: err}
	}
	return file, nil
}

// applyEnvironment takes what the file leaves out from the environment.
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
	c.MaxDescriptors = int(file.Limits.MaxDescriptors)
	if c.MaxDescriptors == 0 {
		c.MaxDescriptors = defaultMaxDescriptors
	}
	if c.MaxDescriptors < minMaxDescriptors || c.MemoryMB < 0 {
		err := fmt.Errorf("sockets %d or memory_mb %d is too small", c.MaxDescriptors, c.MemoryMB)
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

// applyPeers reads where the other sidecars are. Without their addresses this one decides by what it sees itself.
func (c *Config) applyPeers(file *configFile) error {
	if !c.Policy.CanGossip || file.PeerListen == "" || file.PeerBroadcast == "" || len(file.Peers) == 0 {
		c.Policy.CanGossip = false
		return nil
	}
	var err error
	if c.PeerListen, err = netip.ParseAddrPort(file.PeerListen); err != nil {
		return &ConfigError{Field: "peer_listen", Err: err}
	}
	if c.PeerBroadcast, err = netip.ParseAddrPort(file.PeerBroadcast); err != nil {
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
