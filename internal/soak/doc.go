// Package soak runs the real sidecar process between stand-ins for clients, servers and discovery, injects
// random faults, and checks from outside that the sidecar keeps its guarantees. All faults are drawn from one
// seed.
//
// A Plan holds the parameters and events of a run; plan.go draws it from the seed. Run executes a plan: run.go
// starts and ends the process, events.go injects the faults, and server.go, discovery.go and client.go contain the
// stand-ins, which record what they observe in a journal. After the run, the checks (check.go and the files whose names
// begin like it) go through the journal and report violations as findings. Their bounds follow from the platform's
// rules.
//
// The faults hit a real process in real time, so two runs of one seed do not send the same bytes. The checks
// hold for any order of events. Stalls of the machine are measured during a run (stall.go) and added to the
// bounds. A run with a stall, or a delay of the events (delay.go), longer than the drain grace is void.
//
// Slow connection establishment is not simulated: it can't be done on loopback without privileges.
package soak
