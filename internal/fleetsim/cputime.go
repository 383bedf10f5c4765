package fleetsim

import "time"

// startCPUTimer starts a measurement of CPU time, if Config.MeasureCPU is set. A simulation runs in one
// goroutine, so it takes the elapsed time on the real clock as the CPU time.
func (s *simSidecar) startCPUTimer() time.Time {
	if !s.sim.config.MeasureCPU {
		return time.Time{}
	}
	return time.Now()
}

// addControlCPU ends a measurement of work that does not belong to a single request.
func (s *simSidecar) addControlCPU(started time.Time) {
	s.addCPU(started, &s.sim.counts.ControlCPU, &s.sim.counts.HighRateControlCPU)
}

// addRequestCPU ends a measurement of work for a request.
func (s *simSidecar) addRequestCPU(started time.Time) {
	s.addCPU(started, &s.sim.counts.RequestCPU, &s.sim.counts.HighRateRequestCPU)
}

// addCPU adds the time since started to the total of all sidecars, and for a high-rate sidecar also to the
// total of high-rate sidecars.
func (s *simSidecar) addCPU(started time.Time, total, highRate *time.Duration) {
	if !s.sim.config.MeasureCPU {
		return
	}
	elapsed := time.Since(started)
	*total += elapsed
	if s.highRate {
		*highRate += elapsed
	}
}
