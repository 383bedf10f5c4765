package fleetsim

import "time"

// startCPU starts a measurement of processor time, if Config.MeasureCPU is set. The simulation has one thread, so
// the time on the real clock stands for it.
func (s *simSidecar) startCPU() time.Time {
	if !s.sim.config.MeasureCPU {
		return time.Time{}
	}
	return time.Now()
}

// chargeControl ends a measurement of work that does not belong to one request.
func (s *simSidecar) chargeControl(started time.Time) {
	s.charge(started, &s.sim.counts.ControlCPU, &s.sim.counts.HighRateControlCPU)
}

// chargeRequest ends a measurement of work for a request.
func (s *simSidecar) chargeRequest(started time.Time) {
	s.charge(started, &s.sim.counts.RequestCPU, &s.sim.counts.HighRateRequestCPU)
}

// charge adds the time since started to the total of all sidecars, and to that of high-rate sidecars for one of these.
func (s *simSidecar) charge(started time.Time, total, highRate *time.Duration) {
	if !s.sim.config.MeasureCPU {
		return
	}
	elapsed := time.Since(started)
	*total += elapsed
	if s.highRate {
		*highRate += elapsed
	}
}
