package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Times in a run count from the moment the sidecar reports that it is ready.
const (
	// No event starts before this time.
	earliestFault = 500 * time.Millisecond
	// All events are planned to start before this time.
	latestFault = 6 * time.Second
	// SIGTERM is not sent before this time.
	earliestTerminate = 4 * time.Second
	// SIGTERM is planned to be sent before this time.
	latestTerminate = 7 * time.Second

	// The fraction of runs in which idle clients use up the sidecar's descriptors.
	idleFloodFraction = 0.25

	// The sidecar's memory limit, and the one of plans with unusual responses: the smallest that a sidecar gets.
	usualMemoryMB = 96
	smallMemoryMB = 32

	// How many faults WithUnusualResponses adds for each server.
	unusualResponseFaults = 3
)

// EventKind identifies what an Event does.
type EventKind int

// The kinds of events. "For a time" means for the Event's Duration, and for ServerDraining and ServerRemoved
// for the drain grace in addition. A server that becomes ready again has a new start time.
const (
	ServerFault            EventKind = iota // a server answers in the Event's Mode for a time
	ServerDraining                          // a server is listed as draining for a time, then returns
	ServerRemoved                           // a server is removed from the list for a time, then returns
	AllServersRemoved                       // all servers are removed from the list for a time, then return
	DiscoveryDown                           // discovery resets all connections for a time
	DiscoverySlow                           // discovery delays its responses for a time
	DiscoveryOverloaded                     // discovery answers 503 for a time
	WatchesUnanswered                       // the watches that are now open are never answered
	WatchesReset                            // the connections of the watches that are now open are reset
	DiscoveryInvalidList                    // discovery answers with an invalid endpoint list for a time
	ChangeDiscovery                         // a new configuration names the other discovery, SIGHUP
	ChangeDiscoveryAndBack                  // as ChangeDiscovery, followed by the same change in reverse
	TruncatedConfig                         // the configuration file is truncated, SIGHUP; the file is restored, SIGHUP
	Suspend                                 // SIGSTOP, followed by SIGCONT after a time
	eventKindCount
)

var eventNames = [eventKindCount]string{
	"server fault", "server draining", "server removed", "all servers removed", "discovery down", "discovery slow",
	"discovery overloaded", "watches unanswered", "watches reset", "invalid endpoint list", "discovery change",
	"discovery change and back", "truncated configuration", "sidecar suspended",
}

// eventWeights holds the relative frequency with which each kind is drawn.
var eventWeights = [eventKindCount]int{8, 4, 3, 1, 2, 2, 2, 3, 3, 2, 3, 2, 2, 1}

// Event is one fault that a run injects.
type Event struct {
	At       time.Duration // counted from the moment the sidecar is ready
	Kind     EventKind
	Server   int           // index of the server; only for ServerFault, ServerDraining and ServerRemoved
	Mode     ServerMode    // only for ServerFault
	Duration time.Duration // zero for kinds that happen at one moment
}

func (e Event) String() string {
	text := fmt.Sprintf("%5d ms: %s", e.At.Milliseconds(), eventNames[e.Kind])
	if e.Kind <= ServerRemoved {
		text += fmt.Sprintf(" %d", e.Server)
	}
	if e.Kind == ServerFault {
		text += fmt.Sprintf(" (%s)", e.Mode)
	}
	if e.Duration > 0 {
		text += fmt.Sprintf(" for %d ms", e.Duration.Milliseconds())
	}
	return text
}

// Plan holds the parameters and the events of a run. NewPlan draws all of them from the seed, except for
// SuspendAfterTerminate.
type Plan struct {
	Seed           uint64
	Pushed         bool          // the sidecar watches the endpoint list; otherwise it polls the list
	Deadline       time.Duration // of all classes
	DedupScope     string        // where servers drop repeats of idempotent-by-key requests: all, zone or cell
	DedupWindow    time.Duration // for how long servers drop such repeats
	Servers        int           // number of servers
	Clients        int           // number of clients that send requests
	MaxDescriptors int           // limit on the sidecar's open descriptors
	MemoryMB       int           // limit on the sidecar's memory, in MiB
	IdleFlood      bool          // idle clients use up the sidecar's descriptors
	SlowStart      bool          // the settings give servers a slow start
	TerminateAt    time.Duration // when SIGTERM is sent, counted from the moment the sidecar is ready
	TerminateTwice bool          // SIGTERM is sent twice, with a SIGHUP before each
	AllServersHang bool          // all servers hang from shortly before SIGTERM on
	// How long the process is suspended right after SIGTERM; 0 in plans of NewPlan. SIGKILL is delayed by the
	// same time.
	SuspendAfterTerminate time.Duration
	Events                []Event
}

// NewPlan draws the plan of a seed.
func NewPlan(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a7))
	oneOf := func(choices ...time.Duration) time.Duration { return choices[rng.IntN(len(choices))] }
	p := Plan{
		Seed:           seed,
		Pushed:         rng.IntN(2) == 0,
		Deadline:       oneOf(600*time.Millisecond, 2*time.Second, 6*time.Second),
		DedupScope:     []string{"all", "zone", "cell"}[rng.IntN(3)],
		DedupWindow:    oneOf(300*time.Millisecond, time.Second, 5*time.Second),
		Servers:        3 + rng.IntN(6),
		Clients:        6 + rng.IntN(10),
		MaxDescriptors: []int{64, 128, 256}[rng.IntN(3)],
		MemoryMB:       usualMemoryMB,
		IdleFlood:      rng.Float64() < idleFloodFraction,
		SlowStart:      rng.IntN(2) == 0,
		TerminateAt:    earliestTerminate + time.Duration(rng.Int64N(int64(latestTerminate-earliestTerminate))),
		TerminateTwice: rng.IntN(3) == 0,
		AllServersHang: rng.IntN(4) == 0,
	}
	for range 4 + rng.IntN(9) {
		p.Events = append(p.Events, p.drawEvent(rng))
	}
	slices.SortFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// drawEvent draws one event. The kind is drawn with the probabilities of eventWeights.
func (p *Plan) drawEvent(rng *rand.Rand) Event {
	totalWeight := 0
	for _, weight := range eventWeights {
		totalWeight += weight
	}
	kind, remaining := EventKind(0), rng.IntN(totalWeight)
	for ; remaining >= eventWeights[kind]; kind++ {
		remaining -= eventWeights[kind]
	}
	e := Event{
		At:       earliestFault + time.Duration(rng.Int64N(int64(latestFault-earliestFault))),
		Kind:     kind,
		Server:   rng.IntN(p.Servers),
		Mode:     ServerMode(1 + rng.IntN(int(NoLength)-1)),
		Duration: 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second))),
	}
	switch kind {
	case WatchesUnanswered, WatchesReset, ChangeDiscovery, ChangeDiscoveryAndBack, TruncatedConfig:
		e.Duration = 0
	case Suspend:
		e.Duration = []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond}[rng.IntN(3)]
	}
	return e
}

// WithUnusualResponses returns the plan with a small memory limit and with more faults for each server: it answers
// with responses without a length, with endless or with long ones for a time. They have a generator of their own, so
// that the seeds of plans without them keep their meaning.
func (p Plan) WithUnusualResponses() Plan {
	rng := rand.New(rand.NewPCG(p.Seed, 0x0dd))
	p.MemoryMB = smallMemoryMB
	p.Events = slices.Clone(p.Events)
	for n := range unusualResponseFaults * p.Servers {
		p.Events = append(p.Events, Event{
			At:       earliestFault + time.Duration(rng.Int64N(int64(latestFault-earliestFault))),
			Kind:     ServerFault,
			Server:   n % p.Servers,
			Mode:     NoLength + ServerMode(rng.IntN(int(serverModeCount-NoLength))),
			Duration: time.Second + time.Duration(rng.Int64N(int64(3*time.Second))),
		})
	}
	slices.SortFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// String returns the plan as a schedule, one event per line.
func (p Plan) String() string {
	mode := "polled"
	if p.Pushed {
		mode = "pushed"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: endpoint list %s, deadline %v, dedup scope %s, dedup window %v, %d servers, %d clients, at most %d descriptors and %d MB, idle client flood %v, slow start %v\n",
		p.Seed, mode, p.Deadline, p.DedupScope, p.DedupWindow, p.Servers, p.Clients, p.MaxDescriptors, p.MemoryMB, p.IdleFlood, p.SlowStart)
	for _, e := range p.Events {
		fmt.Fprintln(&text, e)
	}
	fmt.Fprintf(&text, "%5d ms: SIGTERM, sent twice: %v, all servers hang: %v\n", p.TerminateAt.Milliseconds(), p.TerminateTwice, p.AllServersHang)
	return text.String()
}

// minKillDelay returns how long after SIGTERM the platform may send SIGKILL at the earliest.
func (p *Plan) minKillDelay() time.Duration {
	return min(p.Deadline, 3*time.Second) + 700*time.Millisecond
}
