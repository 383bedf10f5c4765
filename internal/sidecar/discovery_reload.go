package sidecar

import (
	"context"
	"log/slog"
)

// reload reads the configuration file again and follows discovery at the address in it. All other fields of
// the file are ignored until the next start. If the file is invalid, the previous address is kept. supervise
// calls reload for each reload signal (SIGHUP).
func (d *discoveryClient) reload(path string) {
	cfg, err := ReadConfig(path)
	if err != nil {
		slog.Error("reload config failed: keeping the previous configuration", "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	slog.Info("reloaded configuration", "discovery", cfg.Discovery, "before", d.address)
	if cfg.Discovery == d.address {
		return
	}
	d.address, d.addressChanged = cfg.Discovery, true
	if d.cancelFollow != nil {
		d.cancelFollow()
	}
}

// startFollowing returns the address to follow and a context that is cancelled when reload changes the
// address. It also reports whether reload has changed the address since the previous call of startFollowing,
// or since the start. That includes a change back to the previous address, where another discovery may be
// running by now.
func (d *discoveryClient) startFollowing(ctx context.Context) (followCtx context.Context, address string, addressChanged bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancelFollow != nil {
		d.cancelFollow()
	}
	followCtx, d.cancelFollow = context.WithCancel(ctx)
	addressChanged, d.addressChanged = d.addressChanged, false
	return followCtx, d.address, addressChanged
}
