package soak

import (
	"sync"
	"time"
)

const stallInterval = 5 * time.Millisecond

// stallMeter measures how long the machine stood still: a goroutine that only ticks.
type stallMeter struct {
	quit chan struct{}
	done sync.WaitGroup
	max  time.Duration // how late a tick came at most; to be read after stop
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
		case <-time.After(stallInterval):
		}
		now := time.Now()
		m.max = max(m.max, now.Sub(last)-stallInterval)
		last = now
	}
}

// stop returns the longest stall.
func (m *stallMeter) stop() time.Duration {
	close(m.quit)
	m.done.Wait()
	return m.max
}
