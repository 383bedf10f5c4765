package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// The times of a run, from the moment in which the sidecar is ready.
const (
	faultsFrom = 500 * time.Millisecond
	faultsTo   = 6 * time.Second
	minStopAt  = 4 * time.Second // SIGTERM comes between this
	maxStopAt  = 7 * time.Second // and this

	floodFraction = 0.25 // of the runs have idle clients that fill the descriptors
)

// EventKind is what happens in an Event.
type EventKind int

// The kinds of events.
const (
	ServerFault         EventKind = iota // a server answers in the Event's Mode for a time
	ServerDrain                          // a server drains, and comes back cold after a time
	ServerGone                           // a server is removed, and comes back cold after a time
	AllGone                              // all servers are removed, and come back cold after a time
	DiscoveryDown                        // discovery resets all connections for a time
	DiscoverySlow                        // discovery answers late for a time
	DiscoveryOverloaded                  // discovery rejects calls for a time
	WatchesSilent                        // the watches that are open now are never answered
	WatchesReset                         // the watches that are open now are reset
	UnusableAnswers                      // discovery answers what is no list for a time
	Move                                 // a new configuration names the other discovery, SIGHUP
	MoveAwayAndBack                      // two new configurations in a row, SIGHUP after each
	BadConfig                            // the configuration file is half written, SIGHUP; then it is whole again
	Suspend                              // SIGSTOP, and SIGCONT after a time
	eventKinds
)

var eventNames = [eventKinds]string{
	"server fault", "server drains", "server gone", "all servers gone", "discovery down", "discovery slow", "discovery busy",
	"watches silent", "watches reset", "unusable answers", "move", "move away and back", "bad configuration", "suspend",
}

// eventWeights are how often each kind is drawn, relative to the others.
var eventWeights = [eventKinds]int{8, 4, 3, 1, 2, 2, 2, 3, 3, 2, 3, 2, 2, 1}

// Event is one fault of a run.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Server int           // of the server's kinds
	Mode   ServerMode    // of ServerFault
	For    time.Duration // of the kinds that last
}

func (e Event) String() string {
	text := fmt.Sprintf("%5d ms: %s", e.At.Milliseconds(), eventNames[e.Kind])
	if e.Kind <= ServerGone {
		text += fmt.Sprintf(" %d", e.Server)
	}
	if e.Kind == ServerFault {
		text += fmt.Sprintf(" (%s)", e.Mode)
	}
	if e.For > 0 {
		text += fmt.Sprintf(" for %d ms", e.For.Milliseconds())
	}
	return text
}

// Plan is what a run does, drawn from its seed.
type Plan struct {
	Seed            uint64
	Pushed          bool          // the endpoint list is pushed, not polled
	Deadline        time.Duration // of all classes
	Scope           string        // in which servers drop repeats of keyed requests: all, zone or cell
	Window          time.Duration // for how long they do
	Servers         int
	Clients         int
	Sockets         int  // descriptors that the sidecar may hold
	IdleFlood       bool // idle clients fill the descriptors
	SlowStart       bool // servers are given a slow start in the settings
	StopAt          time.Duration
	StopTwice       bool          // SIGTERM comes twice, with SIGHUPs around it
	AllHang         bool          // all servers hang from just before SIGTERM on
	SuspendStopping time.Duration // the process is held up for so long right after SIGTERM, and SIGKILL comes that much later
	Events          []Event
}

// NewPlan draws a plan.
func NewPlan(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a7))
	pick := func(choices ...time.Duration) time.Duration { return choices[rng.IntN(len(choices))] }
	p := Plan{
		Seed:      seed,
		Pushed:    rng.IntN(2) == 0,
		Deadline:  pick(600*time.Millisecond, 2*time.Second, 6*time.Second),
		Scope:     []string{"all", "zone", "cell"}[rng.IntN(3)],
		Window:    pick(300*time.Millisecond, time.Second, 5*time.Second),
		Servers:   3 + rng.IntN(6),
		Clients:   6 + rng.IntN(10),
		Sockets:   []int{64, 128, 256}[rng.IntN(3)],
		IdleFlood: rng.Float64() < floodFraction,
		SlowStart: rng.IntN(2) == 0,
		StopAt:    minStopAt + time.Duration(rng.Int64N(int64(maxStopAt-minStopAt))),
		StopTwice: rng.IntN(3) == 0,
		AllHang:   rng.IntN(4) == 0,
	}
	for range 4 + rng.IntN(9) {
		p.Events = append(p.Events, p.drawEvent(rng))
	}
	slices.SortFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// drawEvent draws one event, of a kind by its weight.
func (p *Plan) drawEvent(rng *rand.Rand) Event {
	sum := 0
	for _, w := range eventWeights {
		sum += w
	}
	kind, n := EventKind(0), rng.IntN(sum)
	for ; n >= eventWeights[kind]; kind++ {
		n -= eventWeights[kind]
	}
	e := Event{
		At:     faultsFrom + time.Duration(rng.Int64N(int64(faultsTo-faultsFrom))),
		Kind:   kind,
		Server: rng.IntN(p.Servers),
		Mode:   ServerMode(1 + rng.IntN(int(serverModes)-1)),
		For:    300*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second))),
	}
	switch kind {
	case WatchesSilent, WatchesReset, Move, MoveAwayAndBack, BadConfig:
		e.For = 0
	case Suspend:
		e.For = []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond}[rng.IntN(3)]
	}
	return e
}

// String is the plan as a schedule, an event a line.
func (p Plan) String() string {
	mode := "polled"
	if p.Pushed {
		mode = "pushed"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: lists %s, deadline %v, repeats dropped in %s for %v, %d servers, %d clients, %d descriptors, flood of idle clients %v, slow start %v\n",
		p.Seed, mode, p.Deadline, p.Scope, p.Window, p.Servers, p.Clients, p.Sockets, p.IdleFlood, p.SlowStart)
	for _, e := range p.Events {
		fmt.Fprintln(&text, e)
	}
	fmt.Fprintf(&text, "%5d ms: SIGTERM, twice %v, all servers hang %v\n", p.StopAt.Milliseconds(), p.StopTwice, p.AllHang)
	return text.String()
}

// killDelay is how long after SIGTERM the platform sends SIGKILL, at the earliest.
func (p *Plan) killDelay() time.Duration {
	return min(p.Deadline, 3*time.Second) + 700*time.Millisecond
}
