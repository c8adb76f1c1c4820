package balancer

import (
	"cmp"
	"slices"

	"milletmast/internal/namehash"
)

// handleServerList takes a list of servers, or changes of it.
func (b *Balancer) handleServerList(ev *Event) {
	if ev.List == ListFailed {
		b.scheduleNextPoll()
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
	b.updateUsable(ev.Servers)
	if b.rejectsWaiting() {
		b.expireAt = b.now // what is queued is to wait no longer
	}
	b.removeGone()
	b.updateTotals()
	b.assignHomes()
}

// scheduleNextPoll polls the list again after a failed poll: later each time, with jitter.
func (b *Balancer) scheduleNextPoll() {
	if b.settings.PollsList && b.pollAt == 0 {
		b.pollAt = b.now + b.pollBackoff*(0.5+b.random())
		b.pollBackoff = min(2*b.pollBackoff, max(minPollBackoff, b.settings.Safety.ListInterval))
	}
}

// updateUsable takes entries of a list, and renews what depends on which servers are usable.
func (b *Balancer) updateUsable(entries []ServerEntry) {
	for i := range entries {
		if s := b.updateServer(&entries[i]); s.listed && !s.inUsable {
			s.inUsable = true
			b.usable = append(b.usable, s)
		}
	}
	b.usable = slices.DeleteFunc(b.usable, func(s *server) bool {
		b.closeIdleConns(s)
		s.inUsable = s.isReady()
		return !s.inUsable
	})
	b.inFlight, b.meanWeight, b.hasBackups = 0, 0, false
	for _, s := range b.usable {
		b.meanWeight += max(s.Weight, 0) / float64(len(b.usable))
		b.hasBackups = b.hasBackups || s.Backup
		if !s.ejected {
			b.inFlight += s.inFlight
		}
	}
}

// updateServer takes an entry of a list. A later start makes a known server another one, which warms up.
func (b *Balancer) updateServer(e *ServerEntry) *server {
	s := b.servers[e.ID]
	if s == nil {
		s = &server{creditedAt: b.now, lastSent: -b.random(), successesSince: b.now}
		s.hashOrder = namehash.Mix(uint64(e.ID))
		s.loadUpdateAt = b.now + loadUpdateInterval*(0.2+0.8*b.random())
		b.servers[e.ID] = s
	}
	restarted := e.StartedAt > s.StartedAt
	s.ServerEntry = *e
	if restarted {
		b.resetMeasurement(s)
		s.maxLoad, s.latencyRatio, s.connected = 0, 0, false
		if b.now-s.StartedAt < b.settings.Safety.SlowStartTime {
			// The credit is random, so that replicas do not all send at once.
			s.warmingUp, s.credit, s.creditedAt = true, b.random(), b.now
		}
	}
	if s.listed = e.State != Removed; !s.listed {
		b.markLeaving(s)
	} else if len(b.learnedServers) > 0 {
		b.restoreLearned(s)
	}
	return s
}

// markLeaving notes a server that may have been removed for good.
func (b *Balancer) markLeaving(s *server) {
	if !s.leaving {
		s.leaving = true
		b.leaving = append(b.leaving, s)
	}
}

// removeGone forgets servers that no list names and that nothing is pending of: servers come and go for as
// long as an instance runs.
func (b *Balancer) removeGone() {
	b.leaving = slices.DeleteFunc(b.leaving, func(s *server) bool {
		gone := !s.listed && s.inFlight+s.longLivedStreams == 0 && !s.probePending
		if gone {
			delete(b.servers, s.ID)
		}
		s.leaving = !s.listed && !gone
		return !s.leaving
	})
}

// closeIdleConns closes the idle connections to a draining server: when it begins to drain, after each
// outcome and probe there, and once more later, for one that was still being opened. Without it, an instance
// that sends seldom would hold the drain up.
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

// closeDueIdleConns does so for those whose time has come. Timers may come timerSlack early.
func (b *Balancer) closeDueIdleConns() {
	b.closingIdle = slices.DeleteFunc(b.closingIdle, func(s *server) bool {
		due := b.now >= s.closeIdleAt-timerSlack
		if due {
			s.closeIdleAt = 0
		}
		if due && !s.isReady() {
			b.actions = append(b.actions, Action{Kind: ActCloseIdle, Server: s.ID})
		}
		return due
	})
}

// assignHomes assigns the zone's servers to the replicas: each gets an even stretch of an order that all
// know. An instance knows its own requests only, so without this each server would be loaded by chance.
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
	slices.SortFunc(b.homes, func(x, y *server) int { return cmp.Compare(x.hashOrder, y.hashOrder) })
	replicas := max(b.settings.Replicas/zones, 1)
	each := float64(len(b.homes)) / float64(replicas)
	from := each * float64(b.settings.Rank/zones%replicas)
	for i, s := range b.homes {
		s.homeShare = max(0, min(from+each, float64(i+1))-max(from, float64(i)))
	}
}
