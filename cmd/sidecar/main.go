// Sidecar takes the requests of the application beside it and carries each to a server, as package policy decides.
//
// It reads the configuration file that the environment variable EDGE_CONFIG names (internal/sidecar documents its
// fields). SIGHUP has it read discovery's address again, SIGTERM or SIGINT has it drain and exit with code 0. When it
// cannot serve it logs one line and exits with code 1.
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

// gcPercent lets the heap grow to five times its live size between collections: it is small, so frequent collections
// would only cost CPU time.
const gcPercent = 400

func main() {
	runtime.GOMAXPROCS(1) // the process has one core at most: more threads only cost
	debug.SetGCPercent(gcPercent)
	if err := run(); err != nil {
		slog.Error("the sidecar cannot go on", "error", err)
		os.Exit(1)
	}
}

// run serves until a signal ends it. Signals are taken from the start, so that none is lost or ends the process while
// the configuration is read.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // several in a row count as one
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

// memoryLimit is the size in bytes from which on the garbage collector works harder: half of that at which the process
// is killed.
func memoryLimit(megabytes int) int64 { return int64(megabytes) << 20 / 2 }
