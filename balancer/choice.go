package balancer

import (
	"math"
	"slices"
)

// Ranks of a server, from the most to the least. What a server is first for counts more than its credit.
const (
	rankReported     = 1000.0 // it has just reported its queue
	rankPerQueued    = 10.0   // less for each request in that
	rankPreferred    = 900.0  // the sidecar prefers it
	rankPerPlace     = 100.0  // less for each that it prefers more
	rankTrial        = 50.0   // trial request of an ejected server, whose load is small
	rankWarmingUp    = 45.0   // a part of a server that warms up is due: as the last choice it would idle
	rankHome         = 40.0   // assigned to this replica
	rankOwnConnected = 30.0   // in the own zone, with an open connection: new ones cost both ends
	rankConnected    = 20.0
	rankOwnZone      = 10.0
	rankSilent       = -40.0   // silent for so long that it is over its threshold already
	rankLastResort   = -2000.0 // an attempt there did not help, or new connections fail and it needs one
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
		b.sendProbes(req) // all those probed hold more than most servers do
		return nil
	}
	if b.settings.Tier == 0 && b.now+b.serviceTime*(best.queueLength+1) > req.targetAt {
		req.heldBackUntil = b.now + probeRetryShare*b.silenceTimeout
		return nil // even the best of those probed holds too many for the latency target
	}
	return best
}

// bestServer returns the server with the highest rank; of equal ones that which was sent to longest ago.
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
	// Of servers with like credit the faster one.
	rank := creditLeft/maxCredit - latencyRankWeight*s.latencyRatio/max(b.meanRatio, 1e-9)
	if b.settings.Classes[req.class].Streaming {
		rank -= streamRankWeight * float64(s.longLivedStreams) // they last: an even share for each server
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

// preference returns the rank that a server has by the first of its properties that applies.
func (b *Balancer) preference(req *request, s *server, creditLeft float64) float64 {
	if s.ejected && b.settings.Classes[req.class].Effect == Safe {
		return rankTrial
	}
	if b.hasFreshReport(s) {
		return rankReported - rankPerQueued*(s.queueLength+s.failureRun) // a failure weighs like a request
	}
	if s.inFlight > 0 && b.now-s.lastHeard > b.silenceTimeout {
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
// than the tier, keeps only a random part. Without that, servers of all speeds would be loaded alike.
func (b *Balancer) prefersHome(s *server) bool {
	if s.failureRun > maxFailureRun || float64(s.inFlight) >= homeInFlight*s.homeShare/(1+s.failureRun) {
		return false
	}
	return s.latencyRatio <= b.meanRatio ||
		b.random()*s.latencyRatio*s.latencyRatio < b.meanRatio*b.meanRatio
}

// isConnected returns whether a request finds an open connection to the server, as far as known.
func (b *Balancer) isConnected(s *server) bool {
	l := &b.settings.Limits
	timedOut := l.ConnIdleTimeout > 0 && b.now-s.lastHeard >= l.ConnIdleTimeout
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

// skipsBackups returns whether a request is not for backups, as some other server can take it: one that it
// has not tried, and that is not ejected, and has not failed in a run or is due to be tried again.
func (b *Balancer) skipsBackups(req *request) bool {
	return b.hasBackups && slices.ContainsFunc(b.usable, func(s *server) bool {
		works := s.failureRun <= maxFailureRun || b.now-s.lastSent > loadUpdateInterval
		return works && !s.Backup && !s.ejected && !req.hasTried(s)
	})
}

// isAllowed returns whether the rules let a request that may have an attempt have it at this server.
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
