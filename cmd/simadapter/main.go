// Simadapter connects package policy to the simulator's protocol: it hosts many instances, each a
// policy.Balancer of its own, on standard input and output. It makes no decisions itself.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
)

// gcPercent makes garbage collections rare: the heap is small, and batches take even times without them.
const gcPercent = 800

func main() {
	runtime.GOMAXPROCS(1) // one batch is answered at a time, so more threads only add cost
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
