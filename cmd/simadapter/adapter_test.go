package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/internal/simprotocol"
	"cranehatch/policy"
)

func TestEmptyBatchesAndEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(slices.Concat(batch(1, 0), batch(2, 5))), &out); err != nil || out.Len() != 24 {
		t.Fatalf("output = %d bytes, error %v, want the 24 bytes of two empty replies", out.Len(), err)
	}
}

// Guards against settings, endpoint states and request keys that do not reach the Balancer. If they do, it
// closes the idle connections to a draining endpoint and sends requests with the same key one at a time.
func TestSettingsAndKeysReachTheBalancer(t *testing.T) {
	text := exampleSettings + "classes.0.fifo_by_key=true\nrules.order_settle_ms=0\nrules.let_go_in_ms=300\n"
	draining := endpointList(4, 77)
	draining[firstStateOffset] = simprotocol.StateDraining
	keyed := func(id uint32) []byte { return request{id: id, key: 9, timeoutMS: 800}.arrived(1) }
	all := serveActions(t, slices.Concat(
		batch(1, 0, instanceStarted(1, 5, text), endpointList(3, 77, 78), endpointsUpdated(1, simprotocol.UpdateCached, 3),
			keyed(100), keyed(101)),
		batch(2, 5, draining, endpointsUpdated(1, simprotocol.UpdateDelta, 4))))
	if sends := actionsOf(all, simprotocol.ActionSend, 1); len(sends) != 1 {
		t.Errorf("sends for two requests with the same key = %d, want 1", len(sends))
	}
	if closed := actionsOf(all, simprotocol.ActionCloseIdle, 1); len(closed) != 1 || closed[0].fields[addressHostOffset] != 77 {
		t.Errorf("closed = %v, want one endpoint with the address 10.0.0.77", closed)
	}
}

// An invalid value in the settings must result in an error of one line that names the field.
func TestErrorNamesInvalidSetting(t *testing.T) {
	for _, test := range []struct{ name, setting, field string }{
		{"negative retry ratio", "rules.further_ratio=-1\nrules.budget_span_ms=1000\n", "Budget"},
		{"retry ratio without interval", "rules.further_ratio=0.2\n", "Budget"},
		{"negative close timeout", "rules.let_go_in_ms=-5\n", "IdleCloseTimeout"},
		{"delay not a number", "rules.order_settle_ms=x\n", "rules.order_settle_ms"},
		{"slow-start fraction above 1", "rules.cold_from=2\n", "SlowStartFraction"},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := serve(bytes.NewReader(batch(1, 0, instanceStarted(1, 5, exampleSettings+test.setting))), io.Discard)
			if err == nil || !strings.Contains(err.Error(), test.field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error = %v, want one line that names %s", err, test.field)
			}
		})
	}
}

// Guards against list numbers that are resolved too late: an update refers to the endpoint list that has the
// number at that moment, even if a later event of the same batch reuses the number.
func TestListNumberIsResolvedInEventOrder(t *testing.T) {
	all := serveActions(t, batch(1, 0,
		instanceStarted(1, 5, exampleSettings), endpointList(3, 77), endpointsUpdated(1, simprotocol.UpdateCached, 3), requestArrived(1, 100),
		instanceStarted(2, 6, exampleSettings), endpointList(3, 88), endpointsUpdated(2, simprotocol.UpdateCached, 3), requestArrived(2, 200)))
	const sendHostOffset = 4 + addressHostOffset // after the request ID
	for instance, want := range map[uint32]byte{1: 77, 2: 88} {
		t.Run(fmt.Sprint("instance ", instance), func(t *testing.T) {
			sends := actionsOf(all, simprotocol.ActionSend, instance)
			if len(sends) != 1 || sends[0].fields[sendHostOffset] != want {
				t.Errorf("sends = %v, want one to 10.0.0.%d", sends, want)
			}
			if watches := actionsOf(all, simprotocol.ActionWatchEndpoints, instance); len(watches) != 1 {
				t.Errorf("subscriptions to the endpoint list = %d, want 1", len(watches))
			}
		})
	}
}

// An instance that is stopped and restarted within one batch must handle the events after its restart. Events
// that arrive while it is stopped must be ignored.
func TestRestartInOneBatch(t *testing.T) {
	all := serveActions(t, slices.Concat(
		batch(1, 0, instanceStarted(1, 5, exampleSettings), endpointList(0, 7), endpointsUpdated(1, simprotocol.UpdateCached, 0), requestArrived(1, 100)),
		batch(2, 5, instanceStopped(1), requestArrived(1, 101),
			instanceStarted(1, 6, exampleSettings), endpointsUpdated(1, simprotocol.UpdateCached, 0), requestArrived(1, 102)),
		batch(3, 10, attemptEnded(1, 100, 0, 7, simprotocol.ResultSucceeded, 1)),
		batch(4, 15, instanceStopped(1), requestArrived(1, 103))))
	if sends := actionsOf(all, simprotocol.ActionSend, 1); len(sends) != 2 {
		t.Fatalf("sends = %d, want 2: one before and one after the restart, and none while stopped", len(sends))
	}
}

// Guards against state that instances share by mistake: two instances in one process must act exactly as each
// of them does in a separate process.
func TestInstancesAreIndependent(t *testing.T) {
	input := func(instances ...uint32) []byte {
		var stream []byte
		for n := range uint32(60) {
			var records [][]byte
			for _, i := range instances {
				if n == 0 {
					records = append(records, instanceStarted(i, uint64(i), exampleSettings),
						endpointList(uint16(i), 1, 2, 3, 4), endpointsUpdated(i, simprotocol.UpdateFull, uint16(i)))
				}
				records = append(records, requestArrived(i, 1000*i+n), timerFired(i))
				if n > 4 {
					records = append(records, eventRecord(simprotocol.EventClientDisconnected, i, 1000*i+n-4))
				}
			}
			stream = append(stream, batch(n, float64(10*n), records...)...)
		}
		return stream
	}
	together := serveActions(t, input(1, 2))
	for _, i := range []uint32{1, 2} {
		alone := serveActions(t, input(i))
		ofInstance := slices.DeleteFunc(slices.Clone(together), func(a action) bool { return a.instance != i })
		if !slices.Equal(alone, ofInstance) || len(ofInstance) < 60 {
			t.Fatalf("instance %d: %d actions together, %d alone, want the same actions and at least 60", i, len(ofInstance), len(alone))
		}
	}
}

// An instance must broadcast gossip messages, and those of other instances must reach its Balancer. The adapter
// drops malformed messages before they reach the Balancer.
func TestGossipBetweenInstances(t *testing.T) {
	started := func(instance uint32) []byte {
		return instanceStarted(instance, 5, fmt.Sprintf("%s\ncaps.peers=true\nme=%d", exampleSettings, instance))
	}
	input := batch(1, 0, started(0), started(1), endpointList(0, 7, 8), endpointsUpdated(0, simprotocol.UpdateCached, 0), requestArrived(0, 100))
	number := uint32(2)
	for ; number < 60; number++ {
		input = append(input, batch(number, float64(100*number), timerFired(0))...)
	}
	if broadcasts := actionsOf(serveActions(t, input), simprotocol.ActionBroadcast, 0); len(broadcasts) == 0 {
		t.Fatal("broadcasts of instance 0 = 0, want at least one")
	}
	message := gossip.Encode(policy.GossipMessage{SentAt: 6 * time.Second, RequestRate: 5})
	input = append(input, batch(number, 6000,
		gossipReceived(1, 0, message), gossipReceived(1, 0, message), gossipReceived(1, 0, []byte("malformed")))...)
	a := handleAll(t, input)
	if c := a.instances[1].balancer.Counters(); c.GossipReceived != 1 || c.GossipDropped != 1 {
		t.Fatalf("gossip messages received = %d, dropped = %d, want 1 of each: the second message is a duplicate", c.GossipReceived, c.GossipDropped)
	}
}

// handleAll handles all batches of a stream and returns the adapter.
func handleAll(t *testing.T, input []byte) *adapter {
	t.Helper()
	a := newAdapter()
	reader := simprotocol.NewReader(bytes.NewReader(input))
	for {
		b, err := reader.ReadBatch()
		if errors.Is(err, io.EOF) {
			return a
		}
		if err != nil {
			t.Fatal(err)
		}
		a.reply.Begin(b.Number)
		if err := a.handleBatch(b); err != nil {
			t.Fatal(err)
		}
	}
}

// Unknown event codes, update kinds and instance numbers must not affect running instances.
func TestUnknownRecordsAreIgnored(t *testing.T) {
	const unknownEvent, unknownKind, unknownInstance = 4711, 99, 44
	all := serveActions(t, batch(1, 0,
		eventRecord(unknownEvent, uint32(9), "anything"), instanceStarted(1, 5, exampleSettings), gossipReceived(1, 2, nil),
		endpointList(0, 7), endpointsUpdated(1, unknownKind, 0), endpointsUpdated(1, simprotocol.UpdateCached, 0),
		requestArrived(1, 100), requestArrived(unknownInstance, 100)))
	if len(actionsOf(all, simprotocol.ActionSend, 1)) != 1 ||
		slices.ContainsFunc(all, func(a action) bool { return a.instance == unknownInstance }) {
		t.Fatalf("actions = %v, want one send of instance 1 and no action of the unknown instance", all)
	}
}

func TestMalformedInputEndsWithAnError(t *testing.T) {
	started := instanceStarted(1, 5, exampleSettings)
	trailing := append(batch(1, 0), 1, 2, 3)
	trailing[8] = 3 // the size of the body in the batch header
	for _, test := range []struct {
		name  string
		input []byte
		err   error // nil: any error
	}{
		{"truncated batch", batch(1, 0, started)[:30], io.ErrUnexpectedEOF},
		{"list never sent", batch(1, 0, started, endpointsUpdated(1, simprotocol.UpdateFull, 9)), nil},
		{"truncated record", batch(1, 0, started, eventRecord(simprotocol.EventRequestArrived, uint32(1), uint32(3))), simprotocol.ErrTruncated},
		{"unusable settings", batch(1, 0, instanceStarted(1, 1, "balancers=0")), nil},
		{"settings without equals sign", batch(1, 0, instanceStarted(1, 1, "abc")), nil},
		{"trailing bytes", trailing, simprotocol.ErrTrailingBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := serve(bytes.NewReader(test.input), io.Discard)
			var batchError *simprotocol.BatchError
			if !errors.As(err, &batchError) || batchError.Number != 1 || strings.Contains(err.Error(), "\n") {
				t.Fatalf("error = %v, want a BatchError for batch 1 in one line", err)
			}
			if test.err != nil && !errors.Is(err, test.err) {
				t.Errorf("error = %v, want %v", err, test.err)
			}
		})
	}
}

func TestPanicIsReportedAsAFault(t *testing.T) {
	a := newAdapter()
	a.reply.Begin(1)
	i := &instance{adapter: a, number: 4, balancer: &policy.Balancer{}}
	if err := i.recoverFault(func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	all := splitActions(t, a.reply.Bytes()[replyHeaderLen:])
	if faults := actionsOf(all, simprotocol.ActionFault, 4); len(faults) != 1 || !strings.Contains(faults[0].fields, "index out of range") {
		t.Errorf("actions = %v, want one fault with the text of the panic", all)
	}
	if i.running() {
		t.Error("instance is still running after a panic")
	}
}

// The counters must be logged once per interval, and not at the first event.
func TestCountersAreLogged(t *testing.T) {
	all := serveActions(t, slices.Concat(
		batch(1, 0, instanceStarted(1, 5, exampleSettings)),
		batch(2, 5, timerFired(1)), batch(3, 9000, timerFired(1)), batch(4, 10005, timerFired(1)), batch(5, 10010, timerFired(1))))
	logs := slices.DeleteFunc(actionsOf(all, simprotocol.ActionLog, 1), func(a action) bool { return !strings.Contains(a.fields, "counters {") })
	if len(logs) != 1 {
		t.Errorf("log lines with counters = %v, want one", logs)
	}
}
