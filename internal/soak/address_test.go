package soak

import (
	"errors"
	"testing"
)

// The system picks a port for a run that it has picked for another one, whose sidecar has not bound it yet. Each
// run must get an address of its own, or the clients of one talk to the sidecar of the other.
func TestEachRunGetsItsOwnAddress(t *testing.T) {
	errNoPort := errors.New("no port")
	picks := []string{"a", "a", "a", "b"}
	pick := func() (string, error) {
		if len(picks) == 0 {
			return "", errNoPort
		}
		next := picks[0]
		picks = picks[1:]
		return next, nil
	}
	allocator := addressAllocator{used: make(map[string]bool)}
	for _, want := range []string{"a", "b"} {
		if got, err := allocator.allocate(pick); got != want || err != nil {
			t.Errorf("address %q, error %v, want %q", got, err, want)
		}
	}
	if got, err := allocator.allocate(pick); !errors.Is(err, errNoPort) {
		t.Errorf("address %q, error %v, want %v", got, err, errNoPort)
	}
}
