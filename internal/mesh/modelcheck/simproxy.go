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
	lastReceived  map[int]time.Duration // time of the last message, by node of a connected control plane
	connectedTo   map[int]int           // incarnation of the control plane, by node
	cut           map[int]int           // number of faults that cut it off from a node
	pending       []func()
	configVersion uint64 // version in use in this incarnation
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
		return // heal has resumed it already
	}
	if p.frozen--; p.frozen == 0 {
		s.resume(p)
	}
}

// resume has a proxy that is no longer frozen handle the inputs that waited.
func (s *discoverySim) resume(p *simProxy) {
	queue := p.pending
	p.pending = nil
	for _, f := range queue {
		f()
	}
}

// restartProxy restarts a proxy.
func (s *discoverySim) restartProxy(p *simProxy) {
	s.sim.lastIncarnation++
	p.incarnation, p.pending = s.sim.lastIncarnation, nil
	p.state = discovery.NewClientState(s.sim.time(), discovery.Limits{KeepMissing: 5 * time.Second, ContactTimeout: contactTimeout})
	p.lastReceived, p.connectedTo, p.configVersion, p.evacuations = map[int]time.Duration{}, map[int]int{}, 0, map[string]consensus.Version{}
}

// connected returns the nodes of the connected control planes, sorted, so that the same seed
// gives the same run.
func (p *simProxy) connected() []int { return slices.Sorted(maps.Keys(p.lastReceived)) }

// reconnect closes the connections to control planes that are idle or restarted, and connects to others. Without contact to the stores
// through any of them, the proxy connects to all control planes.
func (s *discoverySim) reconnect(p *simProxy) {
	w := s.sim
	for _, i := range p.connected() {
		if w.now-p.lastReceived[i] > idleTimeout || s.controlPlanes[i].incarnation != p.connectedTo[i] {
			delete(p.lastReceived, i)
			delete(p.connectedTo, i)
			p.state.ControlPlaneLost(w.time(), s.controlPlanes[i].node.addr)
		}
	}
	maxLinks := linksPerProxy
	if !slices.ContainsFunc(s.controlPlanes, func(l *simControlPlane) bool {
		_, ok := p.lastReceived[l.node.index]
		return ok && p.state.HasContact(l.node.addr)
	}) {
		maxLinks = len(s.controlPlanes)
	}
	for _, i := range s.rng.Perm(len(s.controlPlanes)) {
		l := s.controlPlanes[i]
		if _, ok := p.lastReceived[i]; ok || len(p.lastReceived) >= maxLinks || l.incarnation == 0 || l.isFrozen() || l.node.process == nil ||
			p.cut[i] > 0 ||
			w.unreachable[i] > 0 {
			continue
		}
		p.lastReceived[i], p.connectedTo[i] = w.now, l.incarnation
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

// gossip has a proxy receive the snapshot of a random other one.
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
