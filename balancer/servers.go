package balancer

import (
	"cmp"
	"slices"

	"milletmast/internal/namehash"
)

// handleServerList applies a list of servers, or changes to it.
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
		b.expireAt = b.now // queued requests must not wait any longer
	}
	b.removeUnlisted()
	b.updateTotals()
	b.assignHomes()
}

// scheduleNextPoll schedules a poll of the list after a failed one, with exponential backoff and jitter.
func (b *Balancer) scheduleNextPoll() {
	if b.settings.PollsList && b.pollAt == 0 {
		b.pollAt = b.now + b.pollBackoff*(0.5+b.random())
		b.pollBackoff = min(2*b.pollBackoff, max(minPollBackoff, b.settings.Safety.ListInterval))
	}
}

// updateUsable applies list entries, and recomputes what depends on the set of usable servers.
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

// updateServer applies a list entry. A later start is a new incarnation of the server, which warms up.
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

// markLeaving records a server that may have been removed for good.
func (b *Balancer) markLeaving(s *server) {
	if !s.leaving {
		s.leaving = true
		b.leaving = append(b.leaving, s)
	}
}

// removeUnlisted deletes servers that are no longer listed and have nothing pending. Otherwise the
// servers that come and go while an instance runs would add up.
func (b *Balancer) removeUnlisted() {
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
// outcome and probe there, and once more later, for one that was being opened. Otherwise an instance that
// seldom sends would delay the drain.
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

// closeDueIdleConns closes idle connections once more where that is due. Timers may fire timerSlack early.
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

// assignHomes assigns the zone's servers to the replicas: each gets an equal range of an order that is the
// same at all. An instance knows only its own requests, so otherwise the load of each server would be random.
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
	// Those that stay are already sorted, so a few new ones cost a linear pass.
	slices.SortFunc(b.homes, func(x, y *server) int { return cmp.Compare(x.hashOrder, y.hashOrder) })
	replicas := max(b.settings.Replicas/zones, 1)
	each := float64(len(b.homes)) / float64(replicas)
	from := each * float64(b.settings.Rank/zones%replicas)
	for i, s := range b.homes {
		s.homeShare = max(0, min(from+each, float64(i+1))-max(from, float64(i)))
	}
}
