package modelcheck

import (
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/membership"
)

// core is the interface of the state machines under test: a replica and its coordinator.
type core interface {
	Tick(now time.Time) consensus.Output
	Propose(now time.Time, id uint64, c consensus.Change) consensus.Output
	HandleRequest(now time.Time, a *consensus.Request) (consensus.Response, consensus.Output)
	HandleResponse(now time.Time, t *consensus.Response) consensus.Output
	Resign(now time.Time) (consensus.Output, string)
	Leave(now time.Time) consensus.Output
	CanLeave(now time.Time) bool
	PeerReconnected(now time.Time, addr string) consensus.Output
	AddPeer(addr string)
	PeerAddrs() []string
	Self() consensus.Member
	Voters() consensus.VoterConfig
	AllCommitted() []consensus.Register
	Acceptor() *consensus.Acceptor
	LeaseRemaining(now time.Time) time.Duration
	NextTick(now time.Time) time.Time
	State() membership.State
}

// realStateMachines implements core by the state machines of packages consensus and membership.
type realStateMachines struct {
	*consensus.Replica
	coordinator *membership.Coordinator
}

func (m *realStateMachines) Tick(now time.Time) consensus.Output { return m.coordinator.Tick(now) }
func (m *realStateMachines) Resign(now time.Time) (consensus.Output, string) {
	return m.coordinator.Resign(now)
}
func (m *realStateMachines) State() membership.State          { return m.coordinator.State() }
func (m *realStateMachines) NextTick(now time.Time) time.Time { return m.coordinator.NextTick(now) }

// hooks alter the simulation or wrap the state machines, so that a test can plant a fault. The zero value changes nothing.
type hooks struct {
	wrap              func(c core) core
	restart           func(set *consensus.VoterConfig, held []consensus.Register) []consensus.Register
	persist           func(me string, out *consensus.Output) // called before the output is written to disk
	send              func(a *consensus.Request)             // called before the request is sent
	respond           func(a *consensus.Request, t *consensus.Response)
	sendBeforeSync    bool // responses are sent before the disk has synced
	states            func(digest uint64)
	keepDiskID        bool                     // a wiped disk keeps its identity
	ignoreWriteErrors bool                     // a failed write counts as done
	acceptInvalid     func(defect string) bool // a store accepts configurations with this defect
}

// storeProcess is one process of a store. It handles one input at a time, and the next one only after the records of the output are on
// disk.
type storeProcess struct {
	core
	node          *node
	incarnation   int
	busy          bool // the disk is syncing
	storageFailed bool // a write has failed
	pending       []func()
	tick          time.Duration // time of the next tick; 0 for none
	proposals     map[uint64]func(consensus.Result)
	lastID        uint64
	leaseSeen     time.Time // the expiry of the lease that checkLease has checked last
}

// input has the process handle an input, or queues it while the process is frozen or its disk is syncing.
func (p *storeProcess) input(f func()) {
	w := p.node.sim
	switch {
	case p.node.process != p:
	case p.busy || p.node.frozen > 0:
		if len(p.pending) < 4096 {
			p.pending = append(p.pending, f)
		}
	default:
		f()
		w.checkLease(p)
		if w.hooks.states != nil {
			w.hooks.states(w.stateDigest())
		}
		p.scheduleTick()
	}
}

// drain handles the queued inputs.
func (p *storeProcess) drain() {
	for len(p.pending) > 0 && !p.busy && p.node.frozen == 0 && p.node.process == p {
		f := p.pending[0]
		p.pending = p.pending[1:]
		p.input(f)
	}
}

// scheduleTick schedules the next tick.
func (p *storeProcess) scheduleTick() {
	w := p.node.sim
	due := w.now + max(min(p.NextTick(w.time()).Sub(w.time()), tickInterval), time.Millisecond)
	if p.tick > w.now && p.tick <= due {
		return
	}
	p.tick = due
	w.after(due-w.now, func() {
		if p.tick == due && p.node.process == p {
			p.tick = 0
			p.input(p.onTick)
		}
	})
}

func (p *storeProcess) onTick() {
	if p.storageFailed {
		set := p.Voters()
		p.writeDisk(write{p.Acceptor().Registers(), &set}, func() { p.storageFailed = false })
		return
	}
	p.apply(p.Tick(p.node.sim.time()), nil)
}

// apply writes the records of an output to disk, and then calls also and emits the output.
func (p *storeProcess) apply(out consensus.Output, also func()) {
	w := p.node.sim
	if w.hooks.persist != nil {
		w.hooks.persist(p.Self().DiskID, &out)
	}
	emit := func() {
		if also != nil {
			also()
		}
		for i := range out.Requests {
			w.sendRequest(p, out.Requests[i])
		}
		for _, r := range out.Results {
			if then := p.proposals[r.Proposal]; then != nil {
				delete(p.proposals, r.Proposal)
				then(r)
			}
		}
		if out.Changed {
			w.checkCommitted(p)
		}
	}
	if len(out.Registers) == 0 && out.Voters == nil {
		emit()
		return
	}
	if w.hooks.sendBeforeSync {
		p.writeDisk(write{out.Registers, out.Voters}, func() {})
		emit()
		return
	}
	p.writeDisk(write{out.Registers, out.Voters}, emit)
}

// writeDisk writes and syncs; no other input is handled meanwhile. If the write fails, the process
// sends nothing.
func (p *storeProcess) writeDisk(x write, then func()) {
	w := p.node.sim
	if p.node.diskFull > 0 && w.hooks.ignoreWriteErrors {
		then()
		return
	}
	if p.node.diskFull > 0 {
		p.storageFailed = true
		clear(p.proposals)
		return
	}
	p.node.disk.write(x)
	p.busy = true
	w.after(w.syncTime(p.node), func() { p.onSynced(then) })
}

func (p *storeProcess) onSynced(then func()) {
	w := p.node.sim
	if p.node.process != p {
		return
	}
	if p.node.diskStalled > 0 {
		w.after(20*time.Millisecond, func() { p.onSynced(then) })
		return
	}
	p.node.disk.sync()
	if p.node.frozen > 0 { // the process continues when it is resumed
		p.pending = append([]func(){then}, p.pending...)
		p.busy = false
		return
	}
	p.busy = false
	then()
	w.checkLease(p)
	p.scheduleTick()
	p.drain()
}
