package balancer

import (
	"math"
	"slices"
)

// Ranks of a server by its first property that applies, from high to low. They count more than its credit.
const (
	rankReported     = 1000.0 // it has just reported its queue
	rankPerQueued    = 10.0   // deducted for each request in that queue
	rankPreferred    = 900.0  // the sidecar prefers it
	rankPerPlace     = 100.0  // deducted for each server that the sidecar prefers to this one
	rankTrial        = 50.0   // trial request of an ejected server, whose load is small
	rankWarmingUp    = 45.0   // it warms up and has credit for a request: as the last choice it would idle
	rankHome         = 40.0   // assigned to this replica
	rankOwnConnected = 30.0   // in the own zone, with an open connection: new ones cost both ends
	rankConnected    = 20.0
	rankOwnZone      = 10.0
	rankSilent       = -40.0   // silent for longer than the latency threshold
	rankLastResort   = -2000.0 // already tried, or it needs a new connection while those fail
)

// chooseServer returns the best server that the request may go to now, or nil if it has to wait.
func (b *Balancer) chooseServer(req *request) *server {
	if !b.mayAttempt(req) {
		return nil
	}
	best := b.bestServer(req)
	if best == nil || !b.hasFreshReport(best) {
		return best
	}
	if best.queueLength > b.meanQueueLength && req.probeRounds < maxProbeRounds {
		b.sendProbes(req) // each probed server holds more requests than the mean
		return nil
	}
	if b.settings.Tier == 0 && b.now+b.serviceTime*(best.queueLength+1) > req.targetAt {
		req.heldBackUntil = b.now + probeRetryShare*b.silenceTimeout
		return nil // even the best probed server holds too many for the latency target
	}
	return best
}

// bestServer returns the server with the highest rank; of equal ones the least recently used.
func (b *Balancer) bestServer(req *request) *server {
	var best *server
	bestRank, skipBackups := math.Inf(-1), b.skipsBackups(req)
	for _, s := range b.usable {
		if skipBackups && s.Backup {
			continue
		}
		if b.now >= s.loadUpdateAt {
			b.updateLoad(s)
		}
		maxCredit := b.refillCredit(s)
		creditLeft := s.credit - float64(s.inFlight)
		if s.warmingUp && s.credit < 1 || s.ejected && creditLeft < 1 {
			continue
		}
		rank := b.rank(req, s, creditLeft, maxCredit)
		if rank < bestRank || rank == bestRank && s.lastSent >= best.lastSent || !b.isAllowed(req, s) {
			continue
		}
		best, bestRank = s, rank
	}
	return best
}

// rank returns the rank of a server for a request: the higher, the better.
func (b *Balancer) rank(req *request, s *server, creditLeft, maxCredit float64) float64 {
	// Among servers with similar credit the faster one ranks higher.
	rank := creditLeft/maxCredit - latencyRankWeight*s.latencyRatio/max(b.meanRatio, 1e-9)
	if b.settings.Classes[req.class].Streaming {
		rank -= streamRankWeight * float64(s.longLivedStreams) // streams last: balance their number
	}
	rank += b.preference(req, s, creditLeft)
	if b.connectFailures > connectFailureLimit && !b.isConnected(s) {
		rank += rankLastResort
	}
	if req.hasTried(s) {
		rank += rankLastResort
	}
	return rank
}

// preference returns the part of a server's rank that its first applicable property determines.
func (b *Balancer) preference(req *request, s *server, creditLeft float64) float64 {
	if s.ejected && b.settings.Classes[req.class].Effect == Safe {
		return rankTrial
	}
	if b.hasFreshReport(s) {
		return rankReported - rankPerQueued*(s.queueLength+s.failureRun) // a failure weighs like a request
	}
	if s.inFlight > 0 && b.now-s.lastReceived > b.silenceTimeout {
		return rankSilent
	}
	if place := slices.Index(req.preferred, s.ID); place >= 0 && s.failureRun <= maxFailureRun {
		return rankPreferred - rankPerPlace*float64(place)
	}
	ownZone := int(s.Zone) == b.settings.Zone
	switch {
	case s.warmingUp && s.credit >= 1:
		return rankWarmingUp
	case s.homeShare > 0 && b.prefersHome(s):
		return rankHome
	case ownZone && b.isConnected(s):
		return rankOwnConnected
	case b.isConnected(s):
		return rankConnected
	case ownZone && creditLeft >= 1 && s.failureRun < 1:
		return rankOwnZone
	}
	return -s.failureRun
}

// prefersHome returns whether a home server is to get the next request: it has few in flight and, if slower
// than the tier, gets only a random part. Otherwise servers of all speeds would be loaded alike.
func (b *Balancer) prefersHome(s *server) bool {
	if s.failureRun > maxFailureRun || float64(s.inFlight) >= homeInFlight*s.homeShare/(1+s.failureRun) {
		return false
	}
	return s.latencyRatio <= b.meanRatio ||
		b.random()*s.latencyRatio*s.latencyRatio < b.meanRatio*b.meanRatio
}

// isConnected returns whether the server is assumed to have an open connection with capacity for a request.
func (b *Balancer) isConnected(s *server) bool {
	l := &b.settings.Limits
	timedOut := l.ConnIdleTimeout > 0 && b.now-s.lastReceived >= l.ConnIdleTimeout
	return s.connected && s.inFlight < max(l.StreamsPerConn, 1) && !timedOut
}

// hasFreshReport returns whether the server has just reported its queue.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.queueLengthAt > 0 && b.now-s.queueLengthAt < probeWaitShare*b.silenceTimeout
}

// hasTried returns whether the request has had an attempt at a server.
func (req *request) hasTried(s *server) bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.server == s })
}

// skipsBackups returns whether a request must not use backups, as another server can take it: one that it has
// not tried, that is not ejected, and that has no run of failures or is due to be tried again.
func (b *Balancer) skipsBackups(req *request) bool {
	return b.hasBackups && slices.ContainsFunc(b.usable, func(s *server) bool {
		works := s.failureRun <= maxFailureRun || b.now-s.lastSent > loadUpdateInterval
		return works && !s.Backup && !s.ejected && !req.hasTried(s)
	})
}

// isAllowed returns whether the rules permit this server for a request that may have an attempt.
func (b *Balancer) isAllowed(req *request, s *server) bool {
	if !s.isReady() || s.warmingUp && s.credit < 1 {
		return false
	}
	c := &b.settings.Classes[req.class]
	if !req.mayHaveRun || c.Effect == Safe {
		return true
	}
	remembered := b.now < req.firstRunAt+c.DedupWindow
	return c.Effect == Keyed && remembered && inSameDedupGroup(c.DedupGroup, req.firstRunServer, s)
}

func inSameDedupGroup(g DedupGroup, a, s *server) bool {
	return g == DedupAll || g == DedupZone && a.Zone == s.Zone || g == DedupCell && a.Cell == s.Cell
}
