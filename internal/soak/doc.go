// Package soak runs the sidecar's program between stand-ins for clients, servers and discovery, under faults that are all
// drawn from one seed, and checks from outside what the sidecar owes them.
//
// A Plan is what a run does: plan.go draws it. Run carries it out: run.go has the process and its signals, server.go,
// discovery.go and client.go the stand-ins, which enter what they see into a journal. check.go goes through the journal
// once the run is over and lists its findings, with bounds from the platform's rules.
//
// The faults come at real times to a real process, so two runs of one seed do not send the same bytes. What the checks
// demand holds for every order. Stalls of the machine are measured beside a run (stall.go) and added to the bounds; a run
// with a longer one than the drain grace is void.
//
// Not played, as loopback has no way to it without privileges: connections that come up late.
package soak
