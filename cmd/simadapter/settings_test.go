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

// bootInfo is a file of settings as the simulator gives them: one path=value a line.
func bootInfo(t *testing.T, file string) string {
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

// Instances of two deployments in one process each go by their own settings: how often a request of a class that
// fails is sent, how it ends, how long an attempt may take, and which classes and tenants there are.
func TestSettingsAreOfTheInstance(t *testing.T) {
	files := []string{"piste.json", "desk.json", "piste.json"}
	type want struct {
		class    uint8
		sends    int
		end      uint16
		patience float64
	}
	wants := map[string][]want{
		"piste.json": {{0, 3, simprotocol.ActPushBack, 10000}, {1, 3, simprotocol.ActPushBack, 20000}, {2, 1, simprotocol.ActLose, 30000}, {3, 0, simprotocol.ActPushBack, 0}},
		"desk.json":  {{0, 1, simprotocol.ActLose, 15000}, {1, 1, simprotocol.ActLose, 12000}, {2, 2, simprotocol.ActLose, 11000}, {3, 2, simprotocol.ActPushBack, 13000}},
	}
	for class := range 4 { // one at a time: admission learns from failures
		var first [][]byte
		for i, file := range files {
			info := bootInfo(t, file)
			first = append(first,
				record(simprotocol.EvOpenInstance, uint32(i), uint64(5), uint32(len(info)), info),
				manifest(uint16(i), 1, 2, 3, 4), fleet(uint32(i), simprotocol.FleetFull, uint16(i)),
				record(simprotocol.EvAsk, uint32(i), uint32(100), uint16(0), uint64(0), uint32(1), float64(40000), float64(0), uint8(class)),
				// tenants there are two and three
				record(simprotocol.EvAsk, uint32(i), uint32(101), uint16(0), uint64(0), uint32(3), float64(40000), float64(0), uint8(0)))
		}
		batches := [][]byte{batch(1, 0, first...)}
		for hop := range 4 { // outcomes of attempts that were not made are passed over
			var ends [][]byte
			for i := range files {
				ends = append(ends, record(simprotocol.EvFinished, uint32(i), uint32(100), uint8(hop), []byte{10, 0, 0, 1, 80, 0},
					uint16(simprotocol.EndErrored), float64(5), uint8(0), uint8(0)))
			}
			batches = append(batches, batch(uint32(hop+2), float64(5*(hop+1)), ends...))
		}
		all := actions(t, slices.Concat(batches...))
		for i, file := range files {
			w := wants[file][class]
			sends := only(all, simprotocol.ActCallOut, uint32(i))
			if len(sends) != w.sends {
				t.Errorf("%s, class %d: %d sends, want %d", file, class, len(sends), w.sends)
			}
			ends := only(all, w.end, uint32(i))
			if !slices.ContainsFunc(ends, func(a action) bool { return a.rest[0] == 100 }) {
				t.Errorf("%s, class %d: %v does not end it", file, class, w.end)
			}
			if refused := only(all, simprotocol.ActPushBack, uint32(i)); !slices.ContainsFunc(refused, func(a action) bool { return a.rest[0] == 101 }) {
				t.Errorf("%s: a tenant that there is none of was not refused", file)
			}
			if len(sends) > 0 && patience(t, sends[0]) > w.patience {
				t.Errorf("%s, class %d: an attempt may take %v ms, want %v at most", file, class, patience(t, sends[0]), w.patience)
			}
		}
	}
}

// patience is the time-out of an attempt, in milliseconds.
func patience(t *testing.T, send action) float64 {
	t.Helper()
	if len(send.rest) != 18 {
		t.Fatalf("an attempt of %d bytes", len(send.rest))
	}
	return math.Float64frombits(binary.LittleEndian.Uint64([]byte(send.rest[10:])))
}
