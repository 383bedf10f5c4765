package soak

import (
	"net"
	"os"
	"sync"
)

// addressAllocator hands out loopback addresses for sidecars to listen on, each only once: the system may pick a
// port again until its sidecar has bound it, and then two runs share an address.
type addressAllocator struct {
	mu   sync.Mutex
	used map[string]bool
}

// sidecarAddresses holds the addresses of all runs of this process.
var sidecarAddresses = addressAllocator{used: make(map[string]bool)}

// allocate returns the first address of pick that it has not returned before.
func (a *addressAllocator) allocate(pick func() (string, error)) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		address, err := pick()
		if err != nil {
			return "", err
		}
		if !a.used[address] {
			a.used[address] = true
			return address, nil
		}
	}
}

// pickAddress returns a loopback address with a port on which nothing listens. Its IP address is this process's own,
// and the system doesn't pick it for other listeners or connections.
func pickAddress() (string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64|pid>>16&63), byte(pid>>8), byte(pid))
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
