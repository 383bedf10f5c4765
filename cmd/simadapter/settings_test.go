package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"cranehatch/internal/simprotocol"
)

// settingsLines converts a JSON file of settings to the form that the simulator sends: path=value lines.
func settingsLines(t *testing.T, file string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "internal", "settings", "testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	var root any
	if err := json.Unmarshal(raw, &root); err != nil {
		t.Fatal(err)
	}
	var lines []string
	var flatten func(path string, v any)
	flatten = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for key, item := range v {
				flatten(strings.TrimPrefix(path+"."+key, "."), item)
			}
		case []any:
			lines = append(lines, fmt.Sprintf("%s.count=%d", path, len(v)))
			for i, item := range v {
				flatten(fmt.Sprintf("%s.%d", path, i), item)
			}
		default:
			lines = append(lines, fmt.Sprintf("%s=%v", path, v))
		}
	}
	flatten("", root)
	return strings.Join(lines, "\n") + "\n"
}

// outcome is what must become of a request whose every attempt fails.
type outcome struct {
	sends        int
	answer       simprotocol.ActionCode
	maxTimeoutMS float64 // of an attempt
}

// outcomes are those of the classes, by the settings file that the classes are from.
var outcomes = map[string][]outcome{
	"piste.json": {{3, simprotocol.ActionReject, 10000}, {3, simprotocol.ActionReject, 20000}, {1, simprotocol.ActionFail, 30000}, {0, simprotocol.ActionReject, 0}},
	"desk.json":  {{1, simprotocol.ActionFail, 15000}, {1, simprotocol.ActionFail, 12000}, {2, simprotocol.ActionFail, 11000}, {2, simprotocol.ActionReject, 13000}},
}

// Instances of two deployments in one process each use their own settings: how often a request of a class that
// fails is sent, how it is answered, how long an attempt may take, and which classes and tenants there are.
func TestSettingsAreOfTheInstance(t *testing.T) {
	files := []string{"piste.json", "desk.json", "piste.json"}
	for class := range 4 { // one class at a time, as failures of one affect the admission of others
		all := serveActions(t, failingRequests(t, files, uint8(class)))
		for i, file := range files {
			t.Run(fmt.Sprintf("class %d, instance %d, %s", class, i, file), func(t *testing.T) {
				checkOutcome(t, all, uint32(i), outcomes[file][class])
			})
		}
	}
}

// The requests of failingRequests.
const (
	failingRequest       = 100
	unknownTenantRequest = 101
)

// failingRequests builds a stream with one instance per settings file. Each gets a request whose attempts all
// fail, and one of a tenant that its settings do not have.
func failingRequests(t *testing.T, files []string, class uint8) []byte {
	t.Helper()
	const timeoutMS = 40000
	var first [][]byte
	for i, file := range files {
		instance := uint32(i)
		first = append(first,
			instanceStarted(instance, 5, settingsLines(t, file)),
			endpointList(uint16(i), 1, 2, 3, 4), endpointsUpdated(instance, simprotocol.UpdateFull, uint16(i)),
			request{id: failingRequest, tenant: 1, timeoutMS: timeoutMS, class: class}.arrived(instance),
			request{id: unknownTenantRequest, tenant: 3, timeoutMS: timeoutMS}.arrived(instance)) // the files have two and three tenants
	}
	stream := batch(1, 0, first...)
	for attempt := range 4 { // outcomes of attempts that were not sent are ignored
		var ended [][]byte
		for i := range files {
			ended = append(ended, attemptEnded(uint32(i), failingRequest, uint8(attempt), 1, simprotocol.ResultServerError, 0))
		}
		stream = append(stream, batch(uint32(attempt+2), float64(5*(attempt+1)), ended...)...)
	}
	return stream
}

func checkOutcome(t *testing.T, all []action, instance uint32, want outcome) {
	t.Helper()
	sends := actionsOf(all, simprotocol.ActionSend, instance)
	if len(sends) != want.sends {
		t.Errorf("%d sends, want %d", len(sends), want.sends)
	}
	isOf := func(id byte) func(action) bool { return func(a action) bool { return a.fields[0] == id } }
	if !slices.ContainsFunc(actionsOf(all, want.answer, instance), isOf(failingRequest)) {
		t.Errorf("no action %v for the request", want.answer)
	}
	if !slices.ContainsFunc(actionsOf(all, simprotocol.ActionReject, instance), isOf(unknownTenantRequest)) {
		t.Error("a request of an unknown tenant was not rejected")
	}
	if len(sends) > 0 && attemptTimeoutMS(t, sends[0]) > want.maxTimeoutMS {
		t.Errorf("an attempt may take %v ms, want %v at most", attemptTimeoutMS(t, sends[0]), want.maxTimeoutMS)
	}
}

// attemptTimeoutMS decodes the timeout of an ActionSend, in milliseconds.
func attemptTimeoutMS(t *testing.T, send action) float64 {
	t.Helper()
	const timeoutOffset, size = 4 + 6, 4 + 6 + 8 // after the request ID and the address
	if len(send.fields) != size {
		t.Fatalf("a send of %d bytes, want %d", len(send.fields), size)
	}
	return math.Float64frombits(binary.LittleEndian.Uint64([]byte(send.fields[timeoutOffset:])))
}
