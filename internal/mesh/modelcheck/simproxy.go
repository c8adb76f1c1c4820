package modelcheck

import (
	"maps"
	"slices"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/discovery"
)

// simProxy is a proxy with its connections to control planes.
type simProxy struct {
	name          string
	incarnation   int
	frozen        int
	state         *discovery.ClientState
	lastHeard     map[int]time.Duration // by machine, while it is connected
	connectedTo   map[int]int           // life of the control plane there
	cut           map[int]int           // machines that it does not reach
	pending       []func()
	configVersion uint64 // version in use in this life
	evacuations   map[string]consensus.Version
}

// input has a proxy handle an input, once it is not frozen.
func (s *discoverySim) input(p *simProxy, incarnation int, f func()) {
	switch {
	case p.incarnation != incarnation:
	case p.frozen > 0:
		p.pending = append(p.pending, func() { s.input(p, incarnation, f) })
	default:
		f()
		s.sim.checkProxy(p)
	}
}

func (s *discoverySim) thaw(p *simProxy) {
	if p.frozen == 0 {
		return // all faults have ended meanwhile
	}
	if p.frozen--; p.frozen == 0 {
		queue := p.pending
		p.pending = nil
		for _, f := range queue {
			f()
		}
	}
}

// begin restarts a proxy.
func (s *discoverySim) begin(p *simProxy) {
	s.sim.lastIncarnation++
	p.incarnation, p.pending = s.sim.lastIncarnation, nil
	p.state = discovery.NewClientState(s.sim.time(), discovery.Limits{KeepMissing: 5 * time.Second, ContactTimeout: contactTimeout})
	p.lastHeard, p.connectedTo, p.configVersion, p.evacuations = map[int]time.Duration{}, map[int]int{}, 0, map[string]consensus.Version{}
}

// connected returns the machines of the connected control planes, sorted, so that the same seed
// gives the same run.
func (p *simProxy) connected() []int { return slices.Sorted(maps.Keys(p.lastHeard)) }

// reconnect drops control planes that are idle or gone, and connects to others: those with contact
// stay.
func (s *discoverySim) reconnect(p *simProxy) {
	w := s.sim
	for _, i := range p.connected() {
		if w.now-p.lastHeard[i] > idleTimeout || s.controlPlanes[i].incarnation != p.connectedTo[i] {
			delete(p.lastHeard, i)
			delete(p.connectedTo, i)
			p.state.ControlPlaneLost(w.time(), s.controlPlanes[i].machine.addr)
		}
	}
	most := linksPerProxy
	if !slices.ContainsFunc(s.controlPlanes, func(l *simControlPlane) bool {
		_, ok := p.lastHeard[l.machine.index]
		return ok && p.state.HasContact(l.machine.addr)
	}) {
		most = len(s.controlPlanes)
	}
	for _, i := range s.rng.Perm(len(s.controlPlanes)) {
		l := s.controlPlanes[i]
		if _, ok := p.lastHeard[i]; ok || len(p.lastHeard) >= most || l.incarnation == 0 || l.isFrozen() || l.machine.process == nil ||
			p.cut[i] > 0 ||
			w.unreachable[i] > 0 {
			continue
		}
		p.lastHeard[i], p.connectedTo[i] = w.now, l.incarnation
		s.push(l)
	}
	if p.state.WantsLastKnown(w.time()) {
		for _, i := range p.connected() {
			l := s.controlPlanes[i]
			if f := l.contact.Snapshot(); f != nil && !w.time().Before(l.contact.ServeUntil()) {
				u := *f
				u.Confirmed = false
				s.send(l, p, &discovery.ControlMessage{Snapshot: &u})
			}
		}
	}
	p.state.CheckContactTimeout(w.time())
	w.checkProxy(p)
}

// gossip has a proxy receive the snapshot of another one.
func (s *discoverySim) gossip(p *simProxy) {
	q := s.proxies[s.rng.IntN(len(s.proxies))]
	if p == q || p.state == nil || q.state == nil || p.frozen > 0 || q.frozen > 0 || s.rng.IntN(3) == 0 {
		return
	}
	f, incarnation := q.state.Snapshot(), p.incarnation
	s.sim.after(s.randomDuration(100*time.Millisecond), func() {
		s.input(p, incarnation, func() { p.state.HandleSnapshot(discovery.FromProxy, f) })
	})
}
