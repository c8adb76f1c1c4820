// The list of servers, and what follows from a change of it.

package balancer

import (
	"cmp"
	"slices"

	"milletmast/internal/namehash"
)

func (b *Balancer) list(ev *Event) {
	if ev.List == ListFailed {
		if b.set.ListOnRequest && b.askAt == 0 {
			b.askAt = b.now + b.backoff*(0.5+b.random())
			b.backoff = min(2*b.backoff, max(askBackoff, b.set.Safety.AskEvery))
		}
		return
	}
	b.backoff = askBackoff
	b.set.Copies = cmp.Or(max(ev.Copies, 0), b.set.Copies)
	b.set.Rank = cmp.Or(max(ev.Rank, 0), b.set.Rank+1) - 1
	if ev.List != ListDelta {
		for _, s := range b.byID {
			s.listed = false
			b.leave(s)
		}
	}
	for i := range ev.Servers {
		if s := b.entry(&ev.Servers[i]); s.listed && !s.inLive {
			s.inLive = true
			b.live = append(b.live, s)
		}
	}
	b.live = slices.DeleteFunc(b.live, func(s *server) bool {
		b.closeIdle(s)
		s.inLive = s.ready()
		return !s.inLive
	})
	if b.mustNotWait() {
		b.sweepAt = b.now // what waits is not to wait any longer
	}
	b.out, b.meanWeight = 0, 0
	for _, s := range b.live {
		b.meanWeight += max(s.Weight, 0) / float64(len(b.live))
		if !s.cut {
			b.out += s.out
		}
	}
	// Servers come and go for as long as a copy runs: what is gone for good must not be kept.
	b.leaving = slices.DeleteFunc(b.leaving, func(s *server) bool {
		done := !s.listed && s.out+s.streams == 0 && !s.asked
		if done {
			delete(b.byID, s.Server)
		}
		s.leaving = !s.listed && !done
		return !s.leaving
	})
	b.backups = slices.ContainsFunc(b.live, func(s *server) bool { return s.Backup })
	b.recount()
	b.assignHomes()
}

// closeIdle closes the idle connections to a server that drains: on the notice, after each outcome and probe
// there, and once more later, for one that was still being opened. A quiet copy would hold the drain up.
func (b *Balancer) closeIdle(s *server) {
	if s.ready() || b.set.Safety.DrainClose <= 0 {
		return
	}
	if s.closeAt == 0 {
		b.closing = append(b.closing, s)
	}
	s.closeAt = b.now + b.set.Safety.DrainClose/2
	b.acts = append(b.acts, Action{Kind: ActClose, Server: s.Server},
		Action{Kind: ActTimer, After: b.set.Safety.DrainClose / 2})
}

// closeAgain does so for those whose time has come, give or take what a host rounds off a timer.
func (b *Balancer) closeAgain() {
	b.closing = slices.DeleteFunc(b.closing, func(s *server) bool {
		due := b.now >= s.closeAt-1
		if due {
			s.closeAt = 0
		}
		if due && !s.ready() {
			b.acts = append(b.acts, Action{Kind: ActClose, Server: s.Server})
		}
		return due
	})
}

// assignHomes deals the zone's servers out over the copies: an even stretch each of one order that all know.
// A copy sees only its own calls, so without this each server is loaded by chance.
func (b *Balancer) assignHomes() {
	zones := 1
	b.homes = slices.DeleteFunc(b.homes, func(s *server) bool {
		s.inHomes = s.inLive && int(s.Zone) == b.set.Zone
		return !s.inHomes
	})
	for _, s := range b.live {
		s.home = 0
		zones = max(zones, int(s.Zone)+1)
		if int(s.Zone) == b.set.Zone && !s.inHomes {
			s.inHomes = true
			b.homes = append(b.homes, s)
		}
	}
	// Those that stay are in order, so a few new ones cost a linear pass.
	slices.SortFunc(b.homes, func(a, c *server) int { return cmp.Compare(a.order, c.order) })
	copies := max(b.set.Copies/zones, 1)
	each := float64(len(b.homes)) / float64(copies)
	from := each * float64(b.set.Rank/zones%copies)
	for i, s := range b.homes {
		s.home = max(0, min(from+each, float64(i+1))-max(from, float64(i)))
	}
}

// entry takes one line of the list; a fresh start time makes the server new and cold.
func (b *Balancer) entry(e *ServerEntry) *server {
	s := b.byID[e.Server]
	if s == nil {
		s = &server{accruedAt: b.now, lastSent: -b.random(), since: b.now}
		s.order = namehash.Mix(uint64(e.Server))
		s.reviseAt = b.now + revisePeriod*(0.2+0.8*b.random())
		b.byID[e.Server] = s
	}
	fresh := e.Started > s.Started
	s.ServerEntry = *e
	if fresh {
		b.unmeasure(s)
		s.maxLoad, s.pace, s.linked = 0, 0, false
		if b.now-s.Started < b.set.Safety.Ramp { // credit by chance: copies must not all send at once
			s.cold, s.credit, s.accruedAt = true, b.random(), b.now
		}
	}
	if s.listed = e.State != Gone; !s.listed {
		b.leave(s)
	} else if len(b.remembered) > 0 {
		b.recall(s)
	}
	return s
}

// leave notes a server that may be gone for good.
func (b *Balancer) leave(s *server) {
	if !s.leaving {
		s.leaving = true
		b.leaving = append(b.leaving, s)
	}
}
