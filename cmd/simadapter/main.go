// Simadapter runs package policy in the simulator: it speaks the simulator's protocol on standard input and
// output and hosts many instances, each with its own policy.Balancer. It makes no decisions itself.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
)

// gcPercent makes garbage collections rare: the live heap is small, and collections would make the processing
// times of batches uneven.
const gcPercent = 800

func main() {
	runtime.GOMAXPROCS(1) // batches are handled one at a time, so more threads would only add overhead
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
