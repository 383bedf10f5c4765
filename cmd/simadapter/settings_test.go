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

// settingsLines converts a JSON file of settings to the path=value lines that the simulator sends.
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

// outcome is the expected handling of a request whose attempts all fail.
type outcome struct {
	sends        int                    // number of attempts
	answer       simprotocol.ActionCode // action that answers the request
	maxTimeoutMS float64                // longest timeout of an attempt, in milliseconds
}

// outcomes has one outcome for each class of a settings file, by the name of the file.
var outcomes = map[string][]outcome{
	"piste.json": {{3, simprotocol.ActionReject, 10000}, {3, simprotocol.ActionReject, 20000}, {1, simprotocol.ActionFail, 30000}, {0, simprotocol.ActionReject, 0}},
	"desk.json":  {{1, simprotocol.ActionFail, 15000}, {1, simprotocol.ActionFail, 12000}, {2, simprotocol.ActionFail, 11000}, {2, simprotocol.ActionReject, 13000}},
}

// Guards against an instance that uses the settings of another instance in the same process, here of another
// deployment. The settings determine how many attempts a failing request of each class gets, how it is
// answered, how long an attempt may take, and which classes and tenants exist.
func TestInstancesUseTheirOwnSettings(t *testing.T) {
	files := []string{"piste.json", "desk.json", "piste.json"}
	for class := range 4 { // one at a time, because failures of one class affect the admission of the others
		all := serveActions(t, failingRequests(t, files, uint8(class)))
		for i, file := range files {
			t.Run(fmt.Sprintf("class %d, instance %d, %s", class, i, file), func(t *testing.T) {
				checkOutcome(t, all, uint32(i), outcomes[file][class])
			})
		}
	}
}

// IDs of the requests in the stream of failingRequests.
const (
	failingRequest       = 100
	unknownTenantRequest = 101
)

// failingRequests builds a stream with one instance per settings file. Each instance gets a request whose
// attempts all fail, and a request of a tenant that its settings do not contain.
func failingRequests(t *testing.T, files []string, class uint8) []byte {
	t.Helper()
	const timeoutMS = 40000
	var firstBatch [][]byte
	for i, file := range files {
		instance := uint32(i)
		firstBatch = append(firstBatch,
			instanceStarted(instance, 5, settingsLines(t, file)),
			endpointList(uint16(i), 1, 2, 3, 4), endpointsUpdated(instance, simprotocol.UpdateFull, uint16(i)),
			request{id: failingRequest, tenant: 1, timeoutMS: timeoutMS, class: class}.arrived(instance),
			request{id: unknownTenantRequest, tenant: 3, timeoutMS: timeoutMS}.arrived(instance)) // the files have two and three tenants
	}
	stream := batch(1, 0, firstBatch...)
	for attempt := range 4 { // the instance ignores outcomes of attempts that it did not send
		var ended [][]byte
		for i := range files {
			ended = append(ended, attemptEnded(uint32(i), failingRequest, uint8(attempt), 1, simprotocol.ResultServerError, 0))
		}
		stream = append(stream, batch(uint32(attempt+2), float64(5*(attempt+1)), ended...)...)
	}
	return stream
}

// checkOutcome checks the actions of an instance in reply to the stream of failingRequests.
func checkOutcome(t *testing.T, all []action, instance uint32, want outcome) {
	t.Helper()
	sends := actionsOf(all, simprotocol.ActionSend, instance)
	if len(sends) != want.sends {
		t.Errorf("sends = %d, want %d", len(sends), want.sends)
	}
	answers := func(id byte) func(action) bool { return func(a action) bool { return a.fields[0] == id } }
	if !slices.ContainsFunc(actionsOf(all, want.answer, instance), answers(failingRequest)) {
		t.Errorf("no action with code %v answers the failing request", want.answer)
	}
	if !slices.ContainsFunc(actionsOf(all, simprotocol.ActionReject, instance), answers(unknownTenantRequest)) {
		t.Error("request of an unknown tenant was not rejected")
	}
	if len(sends) > 0 && attemptTimeoutMS(t, sends[0]) > want.maxTimeoutMS {
		t.Errorf("timeout of the first attempt = %v ms, want at most %v ms", attemptTimeoutMS(t, sends[0]), want.maxTimeoutMS)
	}
}

// attemptTimeoutMS decodes the timeout of an ActionSend, in milliseconds.
func attemptTimeoutMS(t *testing.T, send action) float64 {
	t.Helper()
	const timeoutOffset, size = 4 + 6, 4 + 6 + 8 // request ID, address, timeout
	if len(send.fields) != size {
		t.Fatalf("length of the fields of a send action = %d bytes, want %d", len(send.fields), size)
	}
	return math.Float64frombits(binary.LittleEndian.Uint64([]byte(send.fields[timeoutOffset:])))
}
