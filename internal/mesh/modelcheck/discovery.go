package modelcheck

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
)

const (
	heartbeatInterval = 500 * time.Millisecond // of a control plane to its store
	pushInterval      = 800 * time.Millisecond // of a control plane to each proxy
	gossipInterval    = time.Second            // of a proxy to the one that it watches
	idleTimeout       = 2200 * time.Millisecond
	contactTimeout    = 5 * time.Second // of a proxy without a confirmed snapshot
	linksPerProxy     = 2               // control planes that a proxy is connected to
)

// discoverySim is the control planes and proxies of a run: the real discovery.StoreContact beside
// each store, the real discovery.ClientState in each proxy. They have a random source of their own,
// so that a run of the stores alone is the same with and without them.
type discoverySim struct {
	sim           *simulation
	rng           *rand.Rand
	controlPlanes []*simControlPlane
	proxies       []*simProxy
}

// simControlPlane is the control plane of a machine. It may outlive a process of its store.
type simControlPlane struct {
	machine              *machine
	incarnation          int // 0 while it is down
	contact              *discovery.StoreContact
	hadLease             bool // its store once had a lease, so that it sends what it knows
	store                *storeProcess
	lastSnapshot         *controlstate.Snapshot // that its store has sent
	connFreeAt           time.Duration          // what was sent between the two has arrived by then
	pending              []func()               // what has arrived while it was frozen
	frozenAlone          int                    // its process alone is frozen
	freezeAfterHeartbeat time.Duration          // for so long, as soon as its next heartbeat is sent
}

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

func (sim *simulation) startDiscovery(proxies int) {
	s := &discoverySim{sim: sim, rng: rand.New(rand.NewPCG(sim.plan.Seed, 11))}
	sim.discovery = s
	for range proxies {
		p := &simProxy{name: fmt.Sprintf("p%d", len(s.proxies)), cut: map[int]int{}}
		s.proxies = append(s.proxies, p)
		sim.after(s.randomDuration(time.Second), func() { s.begin(p) })
		s.every(gossipInterval, func() { s.gossip(p) })
	}
	s.every(50*time.Millisecond, s.step)
	for range 1 + s.rng.IntN(6) { // faults of control planes and proxies
		p, at, d := s.proxies[s.rng.IntN(len(s.proxies))], s.randomDuration(sim.plan.End), s.randomDuration(sim.plan.End/2)
		switch s.rng.IntN(5) {
		case 0:
			sim.at(at, func() { s.begin(p) })
		case 1:
			sim.at(at, func() {
				p.frozen++
				sim.after(d, func() { s.thaw(p) })
			})
		case 2:
			n := 1 + s.rng.IntN(sim.plan.Machines)
			for _, i := range s.rng.Perm(sim.plan.Machines)[:n] {
				sim.at(at, func() {
					p.cut[i]++
					sim.after(d, func() { p.cut[i] = max(p.cut[i]-1, 0) })
				})
			}
		case 3: // the process of a control plane alone
			i := s.rng.IntN(sim.plan.Machines)
			sim.at(at, func() {
				if l := s.controlPlane(i); l != nil {
					l.incarnation = 0
				}
			})
		case 4: // it is frozen between a heartbeat and the acknowledgement
			i := s.rng.IntN(sim.plan.Machines)
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

// every calls f at an interval, to the end of the run.
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

// step follows the machines: a control plane runs while its machine does, and reconnects to its
// store after a restart of either.
func (s *discoverySim) step() {
	w := s.sim
	for len(s.controlPlanes) < len(w.machines) {
		l := &simControlPlane{machine: w.machines[len(s.controlPlanes)]}
		s.controlPlanes = append(s.controlPlanes, l)
		s.every(heartbeatInterval, func() { s.heartbeat(l) })
		s.every(pushInterval, func() { s.push(l) })
	}
	for _, l := range s.controlPlanes {
		s.drain(l)
		switch {
		case l.machine.process == nil:
			l.incarnation, l.store = 0, nil
		case l.isFrozen():
			s.pushSnapshot(l)
		case l.incarnation == 0 || l.store != l.machine.process:
			if l.incarnation == 0 {
				w.lastIncarnation++
				l.incarnation, l.contact = w.lastIncarnation, discovery.NewStoreContact()
			}
			l.store, l.lastSnapshot, l.hadLease = l.machine.process, nil, false
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

// later has a control plane receive something of its own machine after a moment and in order,
// unless either was restarted; while it is frozen it is queued.
func (s *discoverySim) later(l *simControlPlane, do func()) {
	incarnation, p := l.incarnation, l.store
	l.connFreeAt = max(l.connFreeAt, s.sim.now+s.randomDuration(time.Millisecond)) + time.Nanosecond
	s.sim.at(l.connFreeAt, func() {
		l.pending = append(l.pending, func() {
			if l.incarnation == incarnation && l.store == p && l.machine.process == p {
				do()
			}
		})
		s.drain(l)
	})
}

func (l *simControlPlane) isFrozen() bool { return l.machine.frozen > 0 || l.frozenAlone > 0 }

// drain handles what is queued, unless the control plane is frozen.
func (s *discoverySim) drain(l *simControlPlane) {
	for len(l.pending) > 0 && !l.isFrozen() {
		do := l.pending[0]
		l.pending = l.pending[1:]
		do()
	}
}

// pushSnapshot has a store send its snapshot to its control plane, if it has changed.
func (s *discoverySim) pushSnapshot(l *simControlPlane) {
	p, now := l.store, s.sim.time()
	if p == nil || l.incarnation == 0 || p != l.machine.process || p.busy || l.machine.frozen > 0 {
		return
	}
	settled := !p.storageFailed && p.LeaseRemaining(now) > 0
	f := &controlstate.Snapshot{Epoch: p.Voters().Epoch}
	if l.hadLease = l.hadLease || settled; l.hadLease {
		f, _ = configstore.SnapshotOf(settled, p.Voters().Epoch, p.AllCommitted()) // ejections are no lists here
	}
	if f.Equal(l.lastSnapshot) {
		return
	}
	l.lastSnapshot = f
	s.later(l, func() { s.handleUpdate(l, &controlstate.Update{Snapshot: f}) })
}

// heartbeat sends a heartbeat to the store; the acknowledgement follows the snapshot of that
// moment.
func (s *discoverySim) heartbeat(l *simControlPlane) {
	if l.incarnation == 0 || l.store == nil || l.isFrozen() || l.store != l.machine.process {
		return
	}
	id, p := l.contact.StartHeartbeat(s.sim.time()), l.store
	if d := l.freezeAfterHeartbeat; d > 0 {
		l.freezeAfterHeartbeat = 0
		l.frozenAlone++
		s.sim.after(d, func() {
			l.frozenAlone = max(l.frozenAlone-1, 0)
			s.drain(l)
		})
	}
	s.later(l, func() {
		p.input(func() {
			if p.busy || p.machine.process != p {
				return
			}
			s.pushSnapshot(l)
			update := &controlstate.Update{HeartbeatID: id}
			if !p.storageFailed {
				update.LeaseRemaining = p.LeaseRemaining(s.sim.time())
			}
			s.later(l, func() { s.handleUpdate(l, update) })
		})
	})
}

// handleUpdate has a control plane handle an update of its store.
func (s *discoverySim) handleUpdate(l *simControlPlane, update *controlstate.Update) {
	changed, again := l.contact.HandleUpdate(s.sim.time(), update)
	if changed {
		s.push(l)
	}
	if again {
		s.heartbeat(l)
	}
}

// push has a control plane send its snapshot to all connected proxies, if it may.
func (s *discoverySim) push(l *simControlPlane) {
	w := s.sim
	if l.incarnation == 0 || l.isFrozen() || l.machine.process == nil {
		return
	}
	d := &discovery.ControlMessage{HasContact: w.time().Before(l.contact.ServeUntil())}
	if d.HasContact {
		d.Snapshot = l.contact.Snapshot()
		w.checkServed(l, d.Snapshot)
	}
	for _, p := range s.proxies {
		if p.connectedTo[l.machine.index] == l.incarnation {
			s.send(l, p, d)
		}
	}
}

// send delivers a message to a proxy: late perhaps, but never over a connection that has ended.
func (s *discoverySim) send(l *simControlPlane, p *simProxy, d *discovery.ControlMessage) {
	i, incarnation, sender := l.machine.index, p.incarnation, l.incarnation
	s.sim.after(time.Millisecond+s.randomDuration(s.sim.maxDelay), func() {
		if p.cut[i] > 0 {
			return
		}
		s.input(p, incarnation, func() {
			if p.connectedTo[i] == sender {
				p.lastHeard[i] = s.sim.now
				p.state.HandleControlMessage(s.sim.time(), l.machine.addr, d)
			}
		})
	})
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

// checkServed checks what a control plane serves under a lease: nothing older than what was
// acknowledged a lease before.
func (sim *simulation) checkServed(l *simControlPlane, f *controlstate.Snapshot) {
	versions := map[string]uint64{"config": f.ConfigVersion, "removals": f.EjectionsVersion.Number}
	for _, e := range f.Evacuations {
		versions["evacuation/"+e.Zone] = e.Version.Number
	}
	for key, fs := range sim.acked {
		i := len(fs) - 1
		for i >= 0 && fs[i].at > sim.now-leaseTime {
			i--
		}
		if i >= 0 && versions[key] < fs[i].number {
			sim.violation(
				"old snapshot: the control plane of m%d says %s of number %d, %d was acknowledged at %v",
				l.machine.index,
				key,
				versions[key],
				fs[i].number,
				fs[i].at,
			)
		}
	}
}

// checkProxy checks what a proxy uses: never an older version than before in its life, and one
// content for each version.
func (sim *simulation) checkProxy(p *simProxy) {
	body, version := p.state.Config()
	if version < p.configVersion {
		sim.violation("proxy back: %s goes by %d after %d", p.name, version, p.configVersion)
	}
	p.configVersion = version
	if version > 0 {
		sim.checkContent("config", &consensus.Value{Version: consensus.Version{Number: version}, Body: body}, p.name)
	}
	for _, e := range p.state.Snapshot().Evacuations {
		if e.Version.Compare(p.evacuations[e.Zone]) < 0 {
			sim.violation("proxy back: %s goes by %v of %s after %v", p.name, e.Version, e.Zone, p.evacuations[e.Zone])
		}
		p.evacuations[e.Zone] = e.Version
	}
}

// allCurrent reports whether all proxies use what the stores serve, with trust level Certain.
func (s *discoverySim) allCurrent(now []consensus.Register) bool {
	f, _ := configstore.SnapshotOf(true, 0, now)
	for _, p := range s.proxies {
		g := p.state.Snapshot()
		if p.state.Trust() != discovery.Certain || g.ConfigVersion != f.ConfigVersion || g.EjectionsVersion != f.EjectionsVersion ||
			!slices.Equal(g.Evacuations, f.Evacuations) {
			return false
		}
	}
	return true
}

// describeState describes the state of the proxies.
func (s *discoverySim) describeState() (all string) {
	for _, p := range s.proxies {
		_, version := p.state.Config()
		all += fmt.Sprintf(
			" %s life=%d %v version=%d frozen=%d connected=%v;",
			p.name,
			p.incarnation,
			p.state.Trust(),
			version,
			p.frozen,
			p.connectedTo,
		)
	}
	return all
}

// heal ends the faults of control planes and proxies.
func (s *discoverySim) heal() {
	for _, l := range s.controlPlanes {
		l.frozenAlone, l.freezeAfterHeartbeat = 0, 0
	}
	for _, p := range s.proxies {
		clear(p.cut)
		for p.frozen > 0 {
			s.thaw(p)
		}
		if p.state == nil {
			s.begin(p)
		}
	}
}
