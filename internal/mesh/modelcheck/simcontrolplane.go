package modelcheck

import (
	"time"

	"milletmast/internal/mesh/configstore"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
)

// simControlPlane is the control plane of a node. It keeps running while its store restarts.
type simControlPlane struct {
	node                 *node
	incarnation          int // 0 while it is down
	contact              *discovery.StoreContact
	hadLease             bool // its store has had a lease, and sends its values from then on
	store                *storeProcess
	lastSnapshot         *controlstate.Snapshot // the last one that its store has sent
	connFreeAt           time.Duration          // when everything sent on the connection to the store has arrived
	pending              []func()               // messages received and not handled
	frozenAlone          int                    // number of faults that freeze it, but not its store
	missedHeartbeat      bool                   // its next heartbeat was due while it was frozen, and is sent when it resumes
	missedPush           bool                   // likewise for its messages to the proxies
	freezeAfterHeartbeat time.Duration          // it is frozen for this time when it has sent its next heartbeat
}

// deliverLocal delivers a message between a control plane and the store of its node, in order and after a short delay, unless either
// was restarted. Messages are queued while the control plane is frozen.
func (s *discoverySim) deliverLocal(l *simControlPlane, do func()) {
	incarnation, p := l.incarnation, l.store
	l.connFreeAt = max(l.connFreeAt, s.sim.now+s.randomDuration(time.Millisecond)) + time.Nanosecond
	s.sim.at(l.connFreeAt, func() {
		l.pending = append(l.pending, func() {
			if l.incarnation == incarnation && l.store == p && l.node.process == p {
				do()
			}
		})
		s.drain(l)
	})
}

func (l *simControlPlane) isFrozen() bool { return l.node.frozen > 0 || l.frozenAlone > 0 }

// drain handles what is queued, unless the control plane is frozen.
func (s *discoverySim) drain(l *simControlPlane) {
	for len(l.pending) > 0 && !l.isFrozen() {
		do := l.pending[0]
		l.pending = l.pending[1:]
		do()
	}
}

// resumeControlPlane has the control plane of a node that is no longer frozen do what was due: timers that expired meanwhile fire once.
func (s *discoverySim) resumeControlPlane(i int) {
	l := s.controlPlane(i)
	if l == nil || l.isFrozen() {
		return
	}
	s.drain(l)
	s.pushSnapshot(l)
	heartbeat, push := l.missedHeartbeat, l.missedPush
	l.missedHeartbeat, l.missedPush = false, false
	if heartbeat {
		s.heartbeat(l)
	}
	if push {
		s.push(l)
	}
}

// pushSnapshot has a store send its snapshot to its control plane, if it has changed.
func (s *discoverySim) pushSnapshot(l *simControlPlane) {
	p, now := l.store, s.sim.time()
	if p == nil || l.incarnation == 0 || p != l.node.process || p.busy || l.node.frozen > 0 {
		return
	}
	settled := !p.storageFailed && p.LeaseRemaining(now) > 0
	f := &controlstate.Snapshot{Epoch: p.Voters().Epoch}
	if l.hadLease = l.hadLease || settled; l.hadLease {
		f, _ = configstore.SnapshotOf(settled, p.Voters().Epoch, p.AllCommitted()) // fails for ejections, whose bodies are not lists here
	}
	if f.Equal(l.lastSnapshot) {
		return
	}
	l.lastSnapshot = f
	s.deliverLocal(l, func() { s.handleUpdate(l, &controlstate.Update{Snapshot: f}) })
}

// heartbeat sends a heartbeat to the store, which sends its present snapshot before the acknowledgement.
func (s *discoverySim) heartbeat(l *simControlPlane) {
	if l.incarnation == 0 || l.store == nil || l.isFrozen() || l.store != l.node.process {
		l.missedHeartbeat = l.isFrozen()
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
	s.deliverLocal(l, func() {
		p.input(func() {
			if p.busy || p.node.process != p {
				return
			}
			s.pushSnapshot(l)
			update := &controlstate.Update{HeartbeatID: id}
			if !p.storageFailed {
				update.LeaseRemaining = p.LeaseRemaining(s.sim.time())
			}
			s.deliverLocal(l, func() { s.handleUpdate(l, update) })
		})
	})
}

// heartbeatRegularly sends heartbeats at the interval of the program, without the random differences that other runs have.
func (s *discoverySim) heartbeatRegularly(l *simControlPlane) {
	s.heartbeat(l)
	s.sim.after(heartbeatInterval, func() { s.heartbeatRegularly(l) })
}

// handleUpdate has a control plane handle an update of its store.
func (s *discoverySim) handleUpdate(l *simControlPlane, update *controlstate.Update) {
	changed, heartbeat := l.contact.HandleUpdate(s.sim.time(), update)
	if changed {
		s.push(l)
	}
	if heartbeat {
		s.heartbeat(l)
	}
}

// push has a control plane send its snapshot to all connected proxies, if it may.
func (s *discoverySim) push(l *simControlPlane) {
	w := s.sim
	if l.incarnation == 0 || l.isFrozen() || l.node.process == nil {
		l.missedPush = l.isFrozen()
		return
	}
	d := &discovery.ControlMessage{HasContact: w.time().Before(l.contact.ServeUntil())}
	if d.HasContact {
		d.Snapshot = l.contact.Snapshot()
		w.checkServed(l, d.Snapshot)
	}
	for _, p := range s.proxies {
		if p.connectedTo[l.node.index] == l.incarnation {
			s.send(l, p, d)
		}
	}
}

// send delivers a message to a proxy after a random delay, unless the connection has ended by then.
func (s *discoverySim) send(l *simControlPlane, p *simProxy, d *discovery.ControlMessage) {
	i, incarnation, sender := l.node.index, p.incarnation, l.incarnation
	s.sim.after(time.Millisecond+s.randomDuration(s.sim.maxDelay), func() {
		if p.cut[i] > 0 {
			return
		}
		s.input(p, incarnation, func() {
			if p.connectedTo[i] == sender {
				p.lastReceived[i] = s.sim.now
				p.state.HandleControlMessage(s.sim.time(), l.node.addr, d)
			}
		})
	})
}
