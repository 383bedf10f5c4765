package sidecar

import (
	"context"
	"log/slog"
)

// reload takes discovery's address from the configuration file as it is now, and nothing else: the rest holds until
// the next start. A file that can't be used changes nothing. serve calls it at SIGHUP.
func (d *discoveryClient) reload(path string) {
	cfg, err := ReadConfig(path)
	if err != nil {
		slog.Error("the new configuration can't be used, the old one stays", "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	slog.Info("configuration read again", "discovery", cfg.Discovery, "before", d.address)
	if cfg.Discovery == d.address {
		return
	}
	d.address, d.addressChanged = cfg.Discovery, true
	if d.cancelFollow != nil {
		d.cancelFollow()
	}
}

// followedAddress returns the address to follow, a context that ends when reload brings another, and whether reload has
// changed the address since the call before, or since the start. It tells so also of an address that is the old one
// again: what is there now may be another discovery.
func (d *discoveryClient) startFollowing(ctx context.Context) (following context.Context, address string, moved bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancelFollow != nil {
		d.cancelFollow()
	}
	following, d.cancelFollow = context.WithCancel(ctx)
	moved, d.addressChanged = d.addressChanged, false
	return following, d.address, moved
}
