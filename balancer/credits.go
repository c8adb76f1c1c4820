package balancer

import (
	"cmp"
	"math"
)

// refillCredit adds the credit for the time since the last refill, and returns the maximum credit of the
// server.
func (b *Balancer) refillCredit(s *server) float64 {
	load := b.currentLoad(s)
	maxCredit := max(1, load*maxCreditTime/1000)
	s.credit = min(maxCredit, s.credit+load*(b.now-s.creditedAt)/1000)
	s.creditedAt = b.now
	return maxCredit
}

// currentLoad returns the current load of a server, in requests a second from this instance.
func (b *Balancer) currentLoad(s *server) float64 {
	load := s.load
	if s.ejected {
		load = max(load, b.minLoad()) // it may have been ejected before others were measured
	}
	if !s.measured {
		load = b.defaultLoad()
		if s.Weight > 0 && b.meanWeight > 0 {
			load *= s.Weight / b.meanWeight // a hint until the server is measured
		}
	}
	if s.warmingUp {
		load = b.warmUpLoad(s, load)
	}
	return load
}

// warmUpLoad returns the load of a server that warms up, which is bounded by its age, and ends the warm-up at
// its time.
func (b *Balancer) warmUpLoad(s *server, load float64) float64 {
	f := &b.settings.Safety
	if age := b.now - s.StartedAt; age < f.SlowStartTime {
		share := f.SlowStartShare + (1-f.SlowStartShare)*max(age, 0)/f.SlowStartTime
		return min(load, warmUpMaxShare*b.evenShare()*share)
	}
	s.warmingUp = false
	b.hasWarm = b.hasWarm || !s.ejected && b.servingCount > 0
	return load
}

// evenShare returns the mean send rate for each serving server, where one that warms up counts by its minimum
// share; if all warm up, the demand on each. Demand includes rejected requests: in an overload a share of it
// would be the full capacity of a new server.
func (b *Balancer) evenShare() float64 {
	if !b.hasWarm {
		return b.arrivalRate.Rate(minRateWeight) / float64(max(len(b.usable), 1))
	}
	return b.sendRate.Rate(minRateWeight) / b.servingCount
}

// defaultLoad returns the mean load of measured servers; if none is, an even share of the send rate.
func (b *Balancer) defaultLoad() float64 {
	if b.measuredCount == 0 {
		return burstHeadroom * b.sendRate.Rate(minRateWeight) / float64(max(len(b.usable), 1))
	}
	return b.meanLoad
}

// minLoad returns the least load of a server, so that trial requests still reach it.
func (b *Balancer) minLoad() float64 {
	return max(minLoadShare*b.defaultLoad(), 1000/loadUpdateInterval)
}

// updateLoad updates a server's load by the SMACE paper's rule, every loadUpdateInterval.
func (b *Balancer) updateLoad(s *server) {
	goodput := float64(s.successes) * 1000 / max(b.now-s.successesSince, 1)
	s.loadUpdateAt, s.successesSince, s.successes = b.now+loadUpdateInterval, b.now, 0
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

// nextLoad returns the next load by the two formulas of the SMACE paper's section VI, between least and most.
func nextLoad(load, goodput, p95, least, most float64) float64 {
	if p95 > 1 {
		return max(least, decreaseFactor*goodput)
	}
	next := load * math.Sqrt(1+(1-p95))
	if most > 0 {
		next = min(next, max(most, load))
	}
	return max(least, next)
}

// updateConcurrencyLimit applies the SMACE paper's rule to the requests in flight of the first tier, every
// second: ten seconds would be too long in an overload. Inner tiers do not shed: their errors would waste
// work done upstream.
//
// Two signs show queueing: slow responses, and a mean latency well over its base. The limit falls if both
// do, and rises by the mean (by slow responses until there is a base): both signs lag behind the requests in
// flight, and servers stay slow for long after an overload. The base may date from a time of less load, or be
// a chance minimum: an instance with many samples and fast responses uses its tail latency instead, so that
// it uses the capacity that others leave.
func (b *Balancer) updateConcurrencyLimit() {
	inFlight := float64(b.inFlight)
	b.limitUpdateAt = b.now + statsWindow
	if b.settings.Tier > 0 {
		return
	}
	least := b.settings.Limits.MinConcurrencyPerServer * b.servingCount
	b.concurrencyLimit = max(cmp.Or(b.concurrencyLimit, b.initialLimit), least)
	p95, ok := b.latencyP95(nil)
	queueing, slow := b.meanRatio/(queueingRatio*b.baseRatio), p95/sheddingRatio
	hasBase := !math.IsInf(b.baseRatio, 1)
	if !hasBase {
		queueing = slow
	}
	b.baseRatio *= 1 + baseRatioDrift
	if slow < fastTailRatio && len(b.sortedRatios) > minWindowSamples {
		queueing = min(queueing, slow)
	}
	switch {
	case len(b.sortedRatios) == 0 || !ok && !hasBase: // nothing measured
	case queueing > 1 && (slow > 1 || !ok):
		used := min(b.concurrencyLimit, max(inFlight, b.concurrencyLimit/burstHeadroom))
		b.concurrencyLimit = max(b.initialLimit, decreaseFactor*b.goodShare()*used)
	default:
		rise := math.Sqrt(1 + max(0, 1-queueing*queueing))
		most := max(b.concurrencyLimit, b.initialLimit, burstHeadroom*(inFlight+1))
		b.concurrencyLimit = min(b.concurrencyLimit*rise, most)
	}
}

// updateTotals recomputes what depends on the set of serving servers: counts, mean load and concurrency
// limit. The limit is scaled with their number both ways: the servers left get no more than before, and one
// that is added or returns brings as much as each other, less while it warms up. Only reducing it would add
// up: servers replaced one by one, a flapping zone or a late list would leave servers idle. Not reducing it
// would overload those left after ejections. Scaling does harm where an ejection is wrong, or where listed
// servers cannot serve: their share overloads the others until the next update.
func (b *Balancer) updateTotals() {
	loads, measured, ejected, serving := 0.0, 0, 0, 0.0
	b.hasWarm = false
	for _, s := range b.usable {
		if s.ejected {
			ejected++
		} else if s.measured {
			loads += s.load
			measured++
		}
		if s.isReady() && !s.ejected && s.warmingUp {
			serving += b.settings.Safety.SlowStartShare
		} else if s.isReady() && !s.ejected {
			serving++
			b.hasWarm = true
		}
	}
	b.ejectedCount, b.measuredCount, b.meanLoad = ejected, measured, loads/float64(max(measured, 1))
	if b.servingCount == 0 && b.learnedConcurrency > 0 {
		b.concurrencyLimit = b.learnedConcurrency * serving
	}
	if serving > 0 {
		b.concurrencyLimit *= serving / cmp.Or(b.servingCount, serving)
		b.servingCount = serving
	}
	b.initialLimit = max(minConcurrency, initialConcurrency*serving/float64(b.settings.Replicas))
}
