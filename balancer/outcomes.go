package balancer

import "milletmast/internal/stats"

// recordOutcome learns from an outcome: latencies, the connection, and whether the server works.
func (b *Balancer) recordOutcome(s *server, class int, outcome Outcome, elapsed float64) {
	if outcome == Canceled || outcome == NotSent {
		return
	}
	ratio := failureRatio
	if outcome == OK {
		ratio = elapsed / b.classes[class].threshold
		b.recordLatency(s, &b.classes[class], elapsed, min(ratio, failureRatio))
	}
	b.recordConnection(s, outcome)
	sample := stats.Sample{At: b.now, Value: ratio}
	s.samples[s.sampleCount%serverSamples] = sample
	s.sampleCount++
	if (outcome == OK || outcome == NotExecuted) && !s.ejected { // other failures concern one server
		b.tierWindow[b.tierSampleCount%tierSamples] = sample
		b.tierSampleCount++
	}
	if ratio <= 1 {
		s.successes++
		b.recordSuccess(s)
		return
	}
	b.recordFailure(s)
}

// recordSuccess shortens a run of failures, and ends an ejection after trialSuccesses.
func (b *Balancer) recordSuccess(s *server) {
	s.failureRun = max(0, s.failureRun-successDecrease)
	if s.successRun++; s.ejected && s.successRun >= trialSuccesses {
		b.resetMeasurement(s)
	}
}

// recordFailure ejects a server after a run of failures, unless so many are ejected that the fault must
// be a shared one.
func (b *Balancer) recordFailure(s *server) {
	s.successRun = 0
	s.failureRun++
	mayEject := float64(b.ejectedCount+1) <= max(1, sharedFaultShare*float64(len(b.usable)))
	if s.failureRun > maxFailureRun && !s.ejected && s.isReady() && mayEject {
		b.inFlight -= s.inFlight
		s.ejected, s.measured = true, true
		s.load = b.minLoad()
		b.updateTotals()
	}
}

// resetMeasurement gives a server the mean load of the others again, as after enough successful trials.
func (b *Balancer) resetMeasurement(s *server) {
	if s.ejected && s.isReady() {
		b.inFlight += s.inFlight
	}
	s.measured, s.ejected, s.failureRun, s.successRun = false, false, 0, 0
	s.sampleCount, s.successes = 0, 0
	s.successesSince, s.loadUpdateAt = b.now, b.now+loadUpdateInterval
	b.updateTotals()
}
