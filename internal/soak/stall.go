package soak

import (
	"sync"
	"time"
)

// tickInterval is the interval between ticks of a stallMeter. The start of the sidecar is polled at the same
// interval.
const tickInterval = 5 * time.Millisecond

// stallMeter measures stalls of the machine: its goroutine does nothing but tick, so a late tick shows a
// stall.
type stallMeter struct {
	quit chan struct{} // closed to stop ticking
	done sync.WaitGroup
	max  time.Duration // greatest delay of a tick; to be read once the goroutine has ended
}

func startStallMeter() *stallMeter {
	m := &stallMeter{quit: make(chan struct{})}
	m.done.Go(m.run)
	return m
}

func (m *stallMeter) run() {
	for last := time.Now(); ; {
		select {
		case <-m.quit:
			return
		case <-time.After(tickInterval):
		}
		now := time.Now()
		m.max = max(m.max, now.Sub(last)-tickInterval)
		last = now
	}
}

// stop stops the meter and returns the longest stall.
func (m *stallMeter) stop() time.Duration {
	close(m.quit)
	m.done.Wait()
	return m.max
}
