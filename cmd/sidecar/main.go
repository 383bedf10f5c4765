// Sidecar accepts the requests of the application beside it and forwards them to servers, as package policy
// decides.
//
// It reads the configuration file named by the environment variable EDGE_CONFIG (package internal/sidecar
// documents the fields). On SIGHUP it reloads the address of discovery from the file. On SIGTERM or SIGINT it
// drains and exits with code 0. If it cannot start, or stops because of an error, it logs the error in one
// line and exits with code 1.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cranehatch/internal/sidecar"
)

// gcPercent lets the heap grow to five times its live size between garbage collections. The live heap is
// small, so more frequent collections would only cost CPU time.
const gcPercent = 400

func main() {
	runtime.GOMAXPROCS(1) // the process gets at most one core, so more threads would only add overhead
	debug.SetGCPercent(gcPercent)
	if err := run(); err != nil {
		slog.Error("sidecar failed", "error", err)
		os.Exit(1)
	}
}

// run reads the configuration and serves until SIGTERM or SIGINT. It registers for the signals before it
// reads the configuration, so that a signal during startup is not lost and does not kill the process.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // several pending SIGHUPs cause a single reload
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := sidecar.ReadConfig(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(memoryLimit(cfg.MemoryMB))
	}
	return sidecar.Run(ctx, cfg, reload)
}

// memoryLimit returns the soft memory limit of the Go runtime, in bytes: half of the size above which the
// platform kills the process. The garbage collector runs more often as memory use approaches the limit.
func memoryLimit(megabytes int) int64 { return int64(megabytes) << 20 / 2 }
