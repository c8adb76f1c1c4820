package emulate

import (
	"milletmast/balancer"
	"milletmast/internal/rules"
)

// addServer adds a server in a slot. It is cold from a time on, or warm if that is negative.
func (w *simulation) addServer(slot int, started float64) {
	v := &w.scenario.Servers
	s := &server{
		id: uint32(len(w.serversByID) + 1), zone: uint8(slot % max(len(w.scenario.Pool.Zones), 1)), cell: uint16(slot % v.Cells), slot: slot,
		started: started, speed: 1, speedFactor: 1, spec: v, clock: &w.clock,
	}
	if n := len(v.Speeds); n > 0 {
		s.speed = v.Speeds[slot%n]
	}
	s.onOverload = func() { w.serverEnded(s, true) }
	w.serversByID[s.id] = s
	if slot == len(w.servers) {
		w.servers = append(w.servers, s)
	} else {
		w.servers[slot] = s
	}
	w.record(&rules.Fact{Kind: rules.ServerStarted, Server: s.id, Zone: s.zone, Cell: s.cell, Cold: s.isCold()})
	w.setListed(s, balancer.Ready)
	w.scheduleWarm(s)
}

// scheduleWarm schedules the end of the ramp of a cold server, when the rules treat it as warm.
func (w *simulation) scheduleWarm(s *server) {
	if !s.isCold() {
		return
	}
	started := s.started
	w.clock.schedule(started+s.spec.Ramp.MS(), func() {
		if s.started == started {
			w.checker.MarkWarm(s.id)
		}
	})
}

// serverEnded handles the end of a server: its connections break. With detect, discovery removes it after its detection time.
func (w *simulation) serverEnded(s *server, detect bool) {
	for _, h := range w.sidecars {
		if l := h.conns[s.id]; l != nil {
			l.dropAll()
			delete(h.conns, s.id)
		}
	}
	if s.overloaded {
		w.result.Overloads++
	}
	if !detect {
		return
	}
	crashesBefore := s.crashes
	w.clock.after(w.scenario.Discovery.Detect.MS(), func() {
		if s.crashes == crashesBefore && s.state == down {
			w.setListed(s, balancer.Removed)
		}
	})
}

// crashServer ends a server that is not down.
func (w *simulation) crashServer(s *server, detect bool) {
	if s.state == down {
		return
	}
	s.crash()
	w.serverEnded(s, detect)
}

// restartServer starts a server that is down again, cold.
func (w *simulation) restartServer(s *server) {
	if s.state != down || s.replaced || s.overloaded {
		return
	}
	s.restart()
	w.record(&rules.Fact{Kind: rules.ServerStarted, Server: s.id, Zone: s.zone, Cell: s.cell, Cold: s.isCold()})
	w.setListed(s, balancer.Ready)
	w.scheduleWarm(s)
}
