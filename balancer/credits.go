// What is learned of servers, and the credit and room that follow from it.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

// sound notes that a server did well.
func (b *Balancer) recordSuccess(s *server) {
	s.failureRun = max(0, s.failureRun-successDecrease)
	if s.successRun++; s.ejected && s.successRun >= trialSuccesses {
		b.resetMeasurement(s)
	}
}

// learn puts an outcome into the server's window and the tier's pool.
func (b *Balancer) recordOutcome(s *server, class int, out Outcome, took float64) {
	if out == Canceled || out == NotSent {
		return
	}
	ratio := failureRatio
	if c := &b.classes[class]; out == OK {
		ratio = took / c.threshold
		bounded := min(ratio, failureRatio)
		weight := max(2*latencySmoothing, 1/float64(s.sampleCount+1))
		s.latencyRatio += weight * (bounded - s.latencyRatio)
		if c.meanLatency == 0 {
			c.meanLatency = took
		}
		c.meanLatency += latencySmoothing * (took - c.meanLatency)
		weight = max(latencySmoothing, 1/float64(b.tierSampleCount+1))
		b.meanRatio += weight * (bounded - b.meanRatio)
		if b.now > b.baseRatioFrom { // the first answers are the quick ones
			b.baseRatio = min(b.baseRatio, b.meanRatio)
		}
	}
	s.connected = out == OK || s.connected && out != ConnectFailed
	b.connectFailures -= latencySmoothing * b.connectFailures
	if out == ConnectFailed {
		b.connectFailures += latencySmoothing
	}
	sm := sample{b.now, ratio}
	s.samples[s.sampleCount%serverSamples] = sm
	s.sampleCount++
	if (out == OK || out == NotExecuted) && !s.ejected { // others tell of one server, not of the load
		b.tierWindow[b.tierSampleCount%tierSamples] = sm
		b.tierSampleCount++
	}
	if ratio <= 1 {
		s.successes++
		b.recordSuccess(s)
		return
	}
	s.successRun = 0
	s.failureRun++
	more := float64(b.ejectedCount+1) <= max(1, sharedFaultShare*float64(len(b.usable)))
	if s.failureRun > maxFailureRun && !s.ejected && s.isReady() && more {
		b.inFlight -= s.inFlight
		s.ejected, s.measured = true, true
		s.load = b.minLoad()
		b.updateTotals()
	}
}

// accrue refills a server's credit for the time gone by and returns its most.
func (b *Balancer) refillCredit(s *server) float64 {
	load := b.currentLoad(s)
	most := max(1, load*maxCreditTime/1000)
	s.credit = min(most, s.credit+load*(b.now-s.accruedAt)/1000)
	s.accruedAt = b.now
	return most
}

// loadOf is the load a server is given now, in calls a second of this copy.
func (b *Balancer) currentLoad(s *server) float64 {
	load := s.load
	if s.ejected {
		load = max(load, b.minLoad()) // it was cut when little was known of the others, perhaps
	}
	if !s.measured {
		load = b.defaultLoad()
		if s.Weight > 0 && b.meanWeight > 0 {
			load *= s.Weight / b.meanWeight // a hint, until there is a measurement
		}
	}
	if s.warmingUp {
		age := b.now - s.StartedAt
		if age < b.settings.Safety.SlowStartTime {
			from, share := b.settings.Safety.SlowStartShare, b.loadPerServer()
			return min(load, warmUpMaxShare*share*(from+(1-from)*max(age, 0)/b.settings.Safety.SlowStartTime))
		}
		s.warmingUp = false
		b.hasWarm = b.hasWarm || !s.ejected && b.servingCount > 0
	}
	return load
}

// evenShare is what a server that serves is sent, cold ones counted by their least; with none warm the demand
// on each. Demand counts what is refused too: in an overload its part fills a cold server to the brim.
func (b *Balancer) loadPerServer() float64 {
	if !b.hasWarm {
		return b.arrivalRate.Rate(minRateWeight) / float64(max(len(b.usable), 1))
	}
	return b.sendRate.Rate(minRateWeight) / b.servingCount
}

// usualLoad is the mean of those measured; before any is, what demand asks of each.
func (b *Balancer) defaultLoad() float64 {
	if b.measuredCount == 0 {
		return burstHeadroom * b.sendRate.Rate(minRateWeight) / float64(max(len(b.usable), 1))
	}
	return b.meanLoad
}

// floor is the least load of a server, so that trial calls still reach it.
func (b *Balancer) minLoad() float64 {
	return max(minLoadShare*b.defaultLoad(), 1000/loadUpdateInterval)
}

// reviseRoom applies the paper's rule to the calls that may be out at once, each second: ten are too long
// for an overload. Only the front sheds: an inner error would waste upstream work. Two signs tell of waiting:
// slow answers, and a mean well over its least. It sheds when both do, and rises by the mean (by slow answers
// till there is a least): either lags behind the calls that are out, and servers once driven over stay slow
// for long. The least mean is from a quieter time, or chance: a copy that sees much and gets fast answers
// goes by its tail, so that it reaches what others leave unused; its part is where it begins, not its bound.
func (b *Balancer) updateConcurrencyLimit() {
	out := float64(b.inFlight)
	b.limitUpdateAt = b.now + statsWindow
	if b.settings.Tier > 0 {
		return
	}
	least := b.settings.Limits.MinConcurrencyPerServer * b.servingCount
	b.concurrencyLimit = max(cmp.Or(b.concurrencyLimit, b.initialLimit), least)
	p95, ok := b.latencyP95(nil)
	waits, slow := b.meanRatio/(queueingRatio*b.baseRatio), p95/sheddingRatio
	if math.IsInf(b.baseRatio, 1) {
		waits = slow
	}
	b.baseRatio *= 1 + baseRatioDrift
	if slow < fastTailRatio && len(b.scratch) > minWindowSamples {
		waits = min(waits, slow)
	}
	switch {
	case len(b.scratch) == 0 || !ok && math.IsInf(b.baseRatio, 1): // nothing measured
	case waits > 1 && (slow > 1 || !ok):
		good, _ := slices.BinarySearch(b.scratch, sheddingRatio)
		part := float64(good) / float64(len(b.scratch))
		used := min(b.concurrencyLimit, max(out, b.concurrencyLimit/burstHeadroom))
		b.concurrencyLimit = max(b.initialLimit, decreaseFactor*part*used)
	default:
		rise := math.Sqrt(1 + max(0, 1-waits*waits))
		most := max(b.concurrencyLimit, b.initialLimit, burstHeadroom*(out+1))
		b.concurrencyLimit = min(b.concurrencyLimit*rise, most)
	}
}

// revise is the paper's rule, every 10 s for each server.
func (b *Balancer) updateLoad(s *server) {
	goodput := float64(s.successes) * 1000 / max(b.now-s.successesSince, 1)
	s.updateAt, s.successesSince, s.successes = b.now+loadUpdateInterval, b.now, 0
	p95, ok := b.latencyP95(s)
	if !ok || s.ejected {
		return
	}
	s.load = nextLoad(b.currentLoad(s), goodput, p95, b.minLoad(), max(s.maxLoad, b.meanLoad))
	s.measured = true
	if p95 <= 1 {
		s.maxLoad = max(s.maxLoad, 2*burstHeadroom*goodput)
	}
	b.updateTotals()
}

// revised gives the next load by the two formulas of the paper's section VI, held between floor and most.
func nextLoad(load, goodput, p95, floor, most float64) float64 {
	if p95 > 1 {
		return max(floor, decreaseFactor*goodput)
	}
	next := load * math.Sqrt(1+(1-p95))
	if most > 0 {
		next = min(next, max(most, load))
	}
	return max(floor, next)
}

// p95 is the ratio that 95 in 100 calls stay under: over the last second, over a
// longer window until it holds enough samples, and filled up from the tier's.
func (b *Balancer) latencyP95(s *server) (float64, bool) {
	b.scratch = b.scratch[:0]
	if s != nil {
		b.collectSamples(s.samples[:], s.sampleCount)
		if len(b.scratch) == 0 {
			return 0, false
		}
	}
	if len(b.scratch) < minWindowSamples {
		b.collectSamples(b.tierWindow[:], b.tierSampleCount)
	}
	if len(b.scratch) < min(minWindowSamples, max(minFirstSamples, b.tierSampleCount)) {
		return 0, false
	}
	slices.Sort(b.scratch)
	return b.scratch[int(math.Ceil(latencyPercentile*float64(len(b.scratch))))-1], true
}

// window adds the samples of the last second, and older ones while too few are held.
func (b *Balancer) collectSamples(ring []sample, count int) {
	for i := 0; i < min(count, len(ring)); i++ {
		sm := ring[(count-1-i)%len(ring)]
		enough := len(b.scratch) >= minWindowSamples
		if sm.at < b.now-loadUpdateInterval || sm.at < b.now-statsWindow && enough {
			return
		}
		b.scratch = append(b.scratch, sm.ratio)
	}
}

// unmeasure lets a server take the others' mean again, as after a good run of trials.
func (b *Balancer) resetMeasurement(s *server) {
	if s.ejected && s.isReady() {
		b.inFlight += s.inFlight
	}
	s.measured, s.ejected, s.failureRun, s.successRun, s.sampleCount, s.successes = false, false, 0, 0, 0, 0
	s.successesSince, s.updateAt = b.now, b.now+loadUpdateInterval
	b.updateTotals()
}

// recount renews what depends on the servers that serve: the mean load of the measured ones, and the room.
// The room follows them both ways: those left hold no more than they did, and one that comes or is taken
// back gets as much as each of them, less while cold. Taking alone would add up: servers replaced one by one,
// a zone that flaps or a late list would leave no room beside idle servers. With the room of all, those left
// by cuts are driven over. It does harm where a cut is wrong, or the list names servers that cannot serve:
// their share jams the rest till the next revision.
func (b *Balancer) updateTotals() {
	sum, n, cuts, serving := 0.0, 0, 0, 0.0
	b.hasWarm = false
	for _, s := range b.usable {
		if s.ejected {
			cuts++
		} else if s.measured {
			sum += s.load
			n++
		}
		if s.isReady() && !s.ejected && s.warmingUp {
			serving += b.settings.Safety.SlowStartShare
		} else if s.isReady() && !s.ejected {
			serving++
			b.hasWarm = true
		}
	}
	b.ejectedCount, b.measuredCount, b.meanLoad = cuts, n, sum/float64(max(n, 1))
	if b.servingCount == 0 && b.learnedConcurrency > 0 {
		b.concurrencyLimit = b.learnedConcurrency * serving // what was imported
	}
	if serving > 0 {
		b.concurrencyLimit *= serving / cmp.Or(b.servingCount, serving)
		b.servingCount = serving
	}
	b.initialLimit = max(minConcurrency, initialConcurrency*serving/float64(b.settings.Replicas))
}
