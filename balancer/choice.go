// Which server gets a call.

package balancer

import (
	"math"
	"slices"
)

// choose returns the server with most credit left that the call may go to, or nil.
func (b *Balancer) choose(q *request) *server {
	if !b.mayTry(q) {
		return nil
	}
	var best *server
	bestRank, spare := math.Inf(-1), b.spareBackups(q)
	for _, s := range b.live {
		if spare && s.Backup {
			continue
		}
		if b.now >= s.reviseAt {
			b.revise(s)
		}
		most := b.accrue(s)
		left := s.credit - float64(s.out)
		if s.cold && s.credit < 1 || s.cut && left < 1 {
			continue
		}
		rank := left/most - paceWeight*s.pace/max(b.typical, 1e-9) // of like servers the quicker one
		if b.set.Classes[q.class].Stream {
			rank -= streamWeight * float64(s.streams) // they last: share them evenly
		}
		if s.cut && b.set.Classes[q.class].Effect == Safe {
			rank += 50 // a trial call: its floor is small, and without one it never returns
		} else if b.told(s) {
			rank += 1000 - 10*(s.held+s.run) // each failure in a run weighs like a call held
		} else if s.out > 0 && b.now-s.heard > b.silence {
			rank -= 40 // calls out and no answer for too long: over threshold already
		} else if i := slices.Index(q.prefer, s.Server); i >= 0 && s.run <= runLimit {
			rank += 900 - 100*float64(i) // those that its host would rather have, in that order
		} else if s.cold && s.credit >= 1 {
			rank += 45 // its part, due now: as the last resort of each copy it would idle
		} else if s.home > 0 && b.atHome(s) {
			rank += 40
		} else if own := int(s.Zone) == b.set.Zone; own && b.linked(s) {
			rank += 30 // connections cost both ends and are few: open another only at need
		} else if b.linked(s) {
			rank += 20
		} else if own && left >= 1 && s.run < 1 {
			rank += 10
		} else {
			rank -= s.run
		}
		if b.connLost > lostPart && !b.linked(s) {
			rank -= 2000 // new connections fail: keep to the open ones
		}
		if q.tried(s) {
			rank -= 2000 // it did not help the last time: any other server first
		}
		if rank < bestRank || rank == bestRank && s.lastSent >= best.lastSent || !b.legal(q, s) {
			continue
		}
		best, bestRank = s, rank
	}
	if best != nil && b.told(best) && best.held > b.heldMean && q.asks < askMost {
		b.probe(q) // all those asked hold more than most servers do
		return nil
	}
	if best != nil && b.set.Stage == 0 && b.told(best) && b.now+b.turn*(best.held+1) > q.aimAt {
		q.backAt = b.now + probeAgain*b.silence
		return nil // even the least of those asked holds too many for the aim
	}
	return best
}

// atHome tells whether a home server takes this call: it has few out and, if slower than the tier, keeps only
// a part of its calls by chance. Without it, servers of all speeds are loaded alike.
func (b *Balancer) atHome(s *server) bool {
	few := s.run <= runLimit && float64(s.out) < heldHome*s.home/(1+s.run)
	return few && (s.pace <= b.typical || b.random()*s.pace*s.pace < b.typical*b.typical)
}

// linked tells whether a call finds an open connection there, as far as known.
func (b *Balancer) linked(s *server) bool {
	l := &b.set.Limits
	return s.linked && s.out < max(l.Streams, 1) && (l.ConnIdle <= 0 || b.now-s.heard < l.ConnIdle)
}

// told tells whether what a server holds was heard just now.
func (b *Balancer) told(s *server) bool { return s.heldAt > 0 && b.now-s.heldAt < probeWait*b.silence }

// tried tells whether the call has had an attempt at a server.
func (q *request) tried(s *server) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.server == s })
}

// spareBackups tells whether backups get nothing of a call, as some other server can take it: one that it has
// not tried, and that is not cut and has not failed in a run, or is due to be tried again.
func (b *Balancer) spareBackups(q *request) bool {
	return b.backups && slices.ContainsFunc(b.live, func(s *server) bool {
		able := s.run <= runLimit || b.now-s.lastSent > revisePeriod
		return able && !s.Backup && !s.cut && !q.tried(s)
	})
}

// legal tells whether the rules let a call that may have an attempt have it at this server.
func (b *Balancer) legal(q *request, s *server) bool {
	if !s.ready() || s.cold && s.credit < 1 {
		return false
	}
	c := &b.set.Classes[q.class]
	if !q.mayRun || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && b.now < q.firstRun+c.Window && sameGroup(c.Group, q.runServer, s)
}

func sameGroup(g Group, a, s *server) bool {
	return g == GroupAll || g == GroupZone && a.Zone == s.Zone || g == GroupCell && a.Cell == s.Cell
}
