// Which server gets a call.

package balancer

import (
	"math"
	"slices"
)

// choose returns the server with most credit left that the call may go to, or nil.
func (b *Balancer) chooseServer(req *request) *server {
	if !b.mayAttempt(req) {
		return nil
	}
	var best *server
	bestRank, spare := math.Inf(-1), b.skipsBackups(req)
	for _, s := range b.usable {
		if spare && s.Backup {
			continue
		}
		if b.now >= s.updateAt {
			b.updateLoad(s)
		}
		most := b.refillCredit(s)
		left := s.credit - float64(s.inFlight)
		if s.warmingUp && s.credit < 1 || s.ejected && left < 1 {
			continue
		}
		// Of servers with like credit the faster one.
		rank := left/most - latencyRankWeight*s.latencyRatio/max(b.meanRatio, 1e-9)
		if b.settings.Classes[req.class].Streaming {
			rank -= streamRankWeight * float64(s.boundStreams) // they last: share them evenly
		}
		if s.ejected && b.settings.Classes[req.class].Effect == Safe {
			rank += 50 // a trial call: its floor is small, and without one it never returns
		} else if b.hasFreshReport(s) {
			rank += 1000 - 10*(s.queueLength+s.failureRun) // each failure in a run weighs like a call held
		} else if s.inFlight > 0 && b.now-s.lastHeard > b.silenceTimeout {
			rank -= 40 // calls out and no answer for too long: over threshold already
		} else if i := slices.Index(req.preferred, s.ID); i >= 0 && s.failureRun <= maxFailureRun {
			rank += 900 - 100*float64(i) // those that its host would rather have, in that order
		} else if s.warmingUp && s.credit >= 1 {
			rank += 45 // its part, due now: as the last resort of each copy it would idle
		} else if s.homeShare > 0 && b.prefersHome(s) {
			rank += 40
		} else if own := int(s.Zone) == b.settings.Zone; own && b.isConnected(s) {
			rank += 30 // connections cost both ends and are few: open another only at need
		} else if b.isConnected(s) {
			rank += 20
		} else if own && left >= 1 && s.failureRun < 1 {
			rank += 10
		} else {
			rank -= s.failureRun
		}
		if b.connectFailures > connectFailureLimit && !b.isConnected(s) {
			rank -= 2000 // new connections fail: keep to the open ones
		}
		if req.hasTried(s) {
			rank -= 2000 // it did not help the last time: any other server first
		}
		if rank < bestRank || rank == bestRank && s.lastSent >= best.lastSent || !b.isAllowed(req, s) {
			continue
		}
		best, bestRank = s, rank
	}
	fresh := best != nil && b.hasFreshReport(best)
	if fresh && best.queueLength > b.meanQueueLength && req.probeRounds < maxProbeRounds {
		b.sendProbes(req) // all those asked hold more than most servers do
		return nil
	}
	if fresh && b.settings.Tier == 0 && b.now+b.serviceTime*(best.queueLength+1) > req.targetAt {
		req.heldBackUntil = b.now + probeRetryShare*b.silenceTimeout
		return nil // even the least of those asked holds too many for the aim
	}
	return best
}

// atHome tells whether a home server takes this call: it has few out and, if slower than the tier, keeps only
// a part of its calls by chance. Without it, servers of all speeds are loaded alike.
func (b *Balancer) prefersHome(s *server) bool {
	few := s.failureRun <= maxFailureRun && float64(s.inFlight) < homeInFlight*s.homeShare/(1+s.failureRun)
	return few && (s.latencyRatio <= b.meanRatio ||
		b.random()*s.latencyRatio*s.latencyRatio < b.meanRatio*b.meanRatio)
}

// linked tells whether a call finds an open connection there, as far as known.
func (b *Balancer) isConnected(s *server) bool {
	l := &b.settings.Limits
	idle := l.ConnIdleTimeout > 0 && b.now-s.lastHeard >= l.ConnIdleTimeout
	return s.connected && s.inFlight < max(l.StreamsPerConn, 1) && !idle
}

// told tells whether what a server holds was heard just now.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.queueLengthAt > 0 && b.now-s.queueLengthAt < probeWaitShare*b.silenceTimeout
}

// tried tells whether the call has had an attempt at a server.
func (req *request) hasTried(s *server) bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.server == s })
}

// spareBackups tells whether backups get nothing of a call, as some other server can take it: one that it has
// not tried, and that is not cut and has not failed in a run, or is due to be tried again.
func (b *Balancer) skipsBackups(req *request) bool {
	return b.hasBackups && slices.ContainsFunc(b.usable, func(s *server) bool {
		able := s.failureRun <= maxFailureRun || b.now-s.lastSent > loadUpdateInterval
		return able && !s.Backup && !s.ejected && !req.hasTried(s)
	})
}

// legal tells whether the rules let a call that may have an attempt have it at this server.
func (b *Balancer) isAllowed(req *request, s *server) bool {
	if !s.isReady() || s.warmingUp && s.credit < 1 {
		return false
	}
	c := &b.settings.Classes[req.class]
	if !req.mayHaveRun || c.Effect == Safe {
		return true
	}
	inWindow := b.now < req.firstRunAt+c.DedupWindow
	return c.Effect == Keyed && inWindow && inSameDedupGroup(c.DedupGroup, req.firstRunServer, s)
}

func inSameDedupGroup(g DedupGroup, a, s *server) bool {
	return g == DedupAll || g == DedupZone && a.Zone == s.Zone || g == DedupCell && a.Cell == s.Cell
}
