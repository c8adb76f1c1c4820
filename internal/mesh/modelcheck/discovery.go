package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"milletmast/internal/mesh/discovery"
)

const (
	heartbeatInterval = 500 * time.Millisecond  // of a control plane to its store
	pushInterval      = 800 * time.Millisecond  // of a control plane to each proxy
	gossipInterval    = time.Second             // of a proxy, with a random other one
	idleTimeout       = 2200 * time.Millisecond // of a connection of a proxy, without a message
	contactTimeout    = 5 * time.Second         // of a proxy, without a confirmed snapshot
	linksPerProxy     = 2                       // control planes that a proxy is connected to
)

// discoverySim simulates the control planes and proxies of a run: a real discovery.StoreContact beside each store and a real
// discovery.ClientState in each proxy. It has a random source of its own, so that the stores of a run behave the same with it and
// without it.
type discoverySim struct {
	sim           *simulation
	rng           *rand.Rand
	controlPlanes []*simControlPlane
	proxies       []*simProxy
}

func (sim *simulation) startDiscovery(proxies int) {
	s := &discoverySim{sim: sim, rng: rand.New(rand.NewPCG(sim.plan.Seed, 11))}
	sim.discovery = s
	for range proxies {
		p := &simProxy{name: fmt.Sprintf("p%d", len(s.proxies)), cut: map[int]int{}}
		s.proxies = append(s.proxies, p)
		sim.after(s.randomDuration(time.Second), func() { s.restartProxy(p) })
		s.every(gossipInterval, func() { s.gossip(p) })
	}
	s.every(50*time.Millisecond, s.step)
	if !sim.plan.CalmDiscovery {
		s.scheduleFaults()
	}
}

// scheduleFaults schedules random faults of control planes and proxies.
func (s *discoverySim) scheduleFaults() {
	sim := s.sim
	for range 1 + s.rng.IntN(6) {
		p, at, d := s.proxies[s.rng.IntN(len(s.proxies))], s.randomDuration(sim.plan.End), s.randomDuration(sim.plan.End/2)
		switch s.rng.IntN(5) {
		case 0:
			sim.at(at, func() { s.restartProxy(p) })
		case 1:
			sim.at(at, func() {
				p.frozen++
				sim.after(d, func() { s.thaw(p) })
			})
		case 2:
			n := 1 + s.rng.IntN(sim.plan.Nodes)
			for _, i := range s.rng.Perm(sim.plan.Nodes)[:n] {
				sim.at(at, func() {
					p.cut[i]++
					sim.after(d, func() { p.cut[i] = max(p.cut[i]-1, 0) })
				})
			}
		case 3: // the process of a control plane alone
			i := s.rng.IntN(sim.plan.Nodes)
			sim.at(at, func() {
				if l := s.controlPlane(i); l != nil {
					l.incarnation = 0
				}
			})
		case 4: // the control plane is frozen between a heartbeat and the acknowledgement
			i := s.rng.IntN(sim.plan.Nodes)
			sim.at(at, func() {
				if l := s.controlPlane(i); l != nil {
					l.freezeAfterHeartbeat = d
				}
			})
		}
	}
}

func (s *discoverySim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// every calls f at an interval until the end of the run.
func (s *discoverySim) every(d time.Duration, f func()) {
	s.sim.after(d/2+s.randomDuration(d), func() {
		f()
		s.every(d, f)
	})
}

func (s *discoverySim) controlPlane(i int) *simControlPlane {
	if i < len(s.controlPlanes) {
		return s.controlPlanes[i]
	}
	return nil
}

// step updates the control planes and proxies: a control plane runs while its node does, and reconnects to its store after a restart
// of either.
func (s *discoverySim) step() {
	w := s.sim
	for len(s.controlPlanes) < len(w.nodes) {
		l := &simControlPlane{node: w.nodes[len(s.controlPlanes)]}
		s.controlPlanes = append(s.controlPlanes, l)
		if w.plan.CalmDiscovery {
			w.after(s.randomDuration(heartbeatInterval), func() { s.heartbeatRegularly(l) })
		} else {
			s.every(heartbeatInterval, func() { s.heartbeat(l) })
		}
		s.every(pushInterval, func() { s.push(l) })
	}
	for _, l := range s.controlPlanes {
		s.drain(l)
		switch {
		case l.node.process == nil:
			l.incarnation, l.store = 0, nil
		case l.isFrozen():
			s.pushSnapshot(l)
		case l.incarnation == 0 || l.store != l.node.process:
			if l.incarnation == 0 {
				w.lastIncarnation++
				l.incarnation, l.contact = w.lastIncarnation, discovery.NewStoreContact()
			}
			l.store, l.lastSnapshot, l.hadLease = l.node.process, nil, false
			l.contact.StoreLost(w.time())
			s.heartbeat(l)
		default:
			s.pushSnapshot(l)
		}
	}
	for _, p := range s.proxies {
		if p.state != nil && p.frozen == 0 {
			s.reconnect(p)
		}
	}
}
