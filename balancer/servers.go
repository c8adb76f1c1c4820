// The list of servers, and what follows from a change of it.

package balancer

import (
	"cmp"
	"slices"

	"milletmast/internal/namehash"
)

func (b *Balancer) handleServerList(ev *Event) {
	if ev.List == ListFailed {
		if b.settings.PollsList && b.pollAt == 0 {
			b.pollAt = b.now + b.pollBackoff*(0.5+b.random())
			b.pollBackoff = min(2*b.pollBackoff, max(minPollBackoff, b.settings.Safety.ListInterval))
		}
		return
	}
	b.pollBackoff = minPollBackoff
	b.settings.Replicas = cmp.Or(max(ev.Replicas, 0), b.settings.Replicas)
	b.settings.Rank = cmp.Or(max(ev.Rank, 0), b.settings.Rank+1) - 1
	if ev.List != ListDelta {
		for _, s := range b.servers {
			s.listed = false
			b.markLeaving(s)
		}
	}
	for i := range ev.Servers {
		if s := b.updateServer(&ev.Servers[i]); s.listed && !s.inUsable {
			s.inUsable = true
			b.usable = append(b.usable, s)
		}
	}
	b.usable = slices.DeleteFunc(b.usable, func(s *server) bool {
		b.closeIdleConns(s)
		s.inUsable = s.isReady()
		return !s.inUsable
	})
	if b.rejectsWaiting() {
		b.expireAt = b.now // what waits is not to wait any longer
	}
	b.inFlight, b.meanWeight = 0, 0
	for _, s := range b.usable {
		b.meanWeight += max(s.Weight, 0) / float64(len(b.usable))
		if !s.ejected {
			b.inFlight += s.inFlight
		}
	}
	// Servers come and go for as long as a copy runs: what is gone for good must not be kept.
	b.leaving = slices.DeleteFunc(b.leaving, func(s *server) bool {
		done := !s.listed && s.inFlight+s.boundStreams == 0 && !s.probePending
		if done {
			delete(b.servers, s.ID)
		}
		s.leaving = !s.listed && !done
		return !s.leaving
	})
	b.hasBackups = slices.ContainsFunc(b.usable, func(s *server) bool { return s.Backup })
	b.updateTotals()
	b.assignHomes()
}

// closeIdle closes the idle connections to a server that drains: on the notice, after each outcome and probe
// there, and once more later, for one that was still being opened. A quiet copy would hold the drain up.
func (b *Balancer) closeIdleConns(s *server) {
	if s.isReady() || b.settings.Safety.DrainCloseTime <= 0 {
		return
	}
	if s.closeIdleAt == 0 {
		b.closingIdle = append(b.closingIdle, s)
	}
	s.closeIdleAt = b.now + b.settings.Safety.DrainCloseTime/2
	b.actions = append(b.actions, Action{Kind: ActCloseIdle, Server: s.ID},
		Action{Kind: ActTimer, Delay: b.settings.Safety.DrainCloseTime / 2})
}

// closeAgain does so for those whose time has come, give or take what a host rounds off a timer.
func (b *Balancer) closeDueIdleConns() {
	b.closingIdle = slices.DeleteFunc(b.closingIdle, func(s *server) bool {
		due := b.now >= s.closeIdleAt-1
		if due {
			s.closeIdleAt = 0
		}
		if due && !s.isReady() {
			b.actions = append(b.actions, Action{Kind: ActCloseIdle, Server: s.ID})
		}
		return due
	})
}

// assignHomes deals the zone's servers out over the copies: an even stretch each of one order that all know.
// A copy sees only its own calls, so without this each server is loaded by chance.
func (b *Balancer) assignHomes() {
	zones := 1
	b.homes = slices.DeleteFunc(b.homes, func(s *server) bool {
		s.inHomes = s.inUsable && int(s.Zone) == b.settings.Zone
		return !s.inHomes
	})
	for _, s := range b.usable {
		s.homeShare = 0
		zones = max(zones, int(s.Zone)+1)
		if int(s.Zone) == b.settings.Zone && !s.inHomes {
			s.inHomes = true
			b.homes = append(b.homes, s)
		}
	}
	// Those that stay are in order, so a few new ones cost a linear pass.
	slices.SortFunc(b.homes, func(a, c *server) int { return cmp.Compare(a.hashOrder, c.hashOrder) })
	copies := max(b.settings.Replicas/zones, 1)
	each := float64(len(b.homes)) / float64(copies)
	from := each * float64(b.settings.Rank/zones%copies)
	for i, s := range b.homes {
		s.homeShare = max(0, min(from+each, float64(i+1))-max(from, float64(i)))
	}
}

// entry takes one line of the list; a fresh start time makes the server new and cold.
func (b *Balancer) updateServer(e *ServerEntry) *server {
	s := b.servers[e.ID]
	if s == nil {
		s = &server{accruedAt: b.now, lastSent: -b.random(), successesSince: b.now}
		s.hashOrder = namehash.Mix(uint64(e.ID))
		s.updateAt = b.now + loadUpdateInterval*(0.2+0.8*b.random())
		b.servers[e.ID] = s
	}
	fresh := e.StartedAt > s.StartedAt
	s.ServerEntry = *e
	if fresh {
		b.resetMeasurement(s)
		s.maxLoad, s.latencyRatio, s.connected = 0, 0, false
		if b.now-s.StartedAt < b.settings.Safety.SlowStartTime {
			// The credit is random, so that replicas do not all send at once.
			s.warmingUp, s.credit, s.accruedAt = true, b.random(), b.now
		}
	}
	if s.listed = e.State != Removed; !s.listed {
		b.markLeaving(s)
	} else if len(b.learnedServers) > 0 {
		b.restoreLearned(s)
	}
	return s
}

// leave notes a server that may be gone for good.
func (b *Balancer) markLeaving(s *server) {
	if !s.leaving {
		s.leaving = true
		b.leaving = append(b.leaving, s)
	}
}
