package modelcheck

import (
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/membership"
)

// core is the interface of the machines under test: a replica, and the coordinator over it.
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

// realMachines are the real ones.
type realMachines struct {
	*consensus.Replica
	coordinator *membership.Coordinator
}

func (m *realMachines) Tick(now time.Time) consensus.Output { return m.coordinator.Tick(now) }
func (m *realMachines) Resign(now time.Time) (consensus.Output, string) {
	return m.coordinator.Resign(now)
}
func (m *realMachines) State() membership.State          { return m.coordinator.State() }
func (m *realMachines) NextTick(now time.Time) time.Time { return m.coordinator.NextTick(now) }

// hooks alter the simulation or wrap the machines, so that a test can plant a fault. All may be
// nil.
type hooks struct {
	wrap              func(c core) core
	restart           func(set *consensus.VoterConfig, held []consensus.Register) []consensus.Register
	persist           func(me string, out *consensus.Output) // before it is written to disk
	send              func(a *consensus.Request)             // before it is sent
	respond           func(a *consensus.Request, t *consensus.Response)
	sendBeforeSync    bool // responses are sent before the disk has synced
	states            func(digest uint64)
	keepDiskID        bool // an emptied disk keeps its identity
	ignoreWriteErrors bool // a failed write counts as done
}

// storeProcess is one process of a store. It handles one input at a time, and no other before the
// records of its output are on disk.
type storeProcess struct {
	core
	machine       *machine
	incarnation   int
	busy          bool // the disk is syncing
	storageFailed bool // a write has failed
	pending       []func()
	tick          time.Duration // time of the next one
	proposals     map[uint64]func(consensus.Result)
	lastID        uint64
	leaseSeen     time.Time // the lease that was seen last
}

// input has the process handle an input, now or once it can.
func (p *storeProcess) input(f func()) {
	w := p.machine.sim
	switch {
	case p.machine.process != p:
	case p.busy || p.machine.frozen > 0:
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
	for len(p.pending) > 0 && !p.busy && p.machine.frozen == 0 && p.machine.process == p {
		f := p.pending[0]
		p.pending = p.pending[1:]
		p.input(f)
	}
}

// scheduleTick schedules the next tick.
func (p *storeProcess) scheduleTick() {
	w := p.machine.sim
	due := w.now + max(min(p.NextTick(w.time()).Sub(w.time()), tickInterval), time.Millisecond)
	if p.tick > w.now && p.tick <= due {
		return
	}
	p.tick = due
	w.after(due-w.now, func() {
		if p.tick == due && p.machine.process == p {
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
	p.apply(p.Tick(p.machine.sim.time()), nil)
}

// apply emits an output once its records are on disk.
func (p *storeProcess) apply(out consensus.Output, also func()) {
	w := p.machine.sim
	if w.hooks.persist != nil {
		w.hooks.persist(p.Self().DiskID, &out)
	}
	say := func() {
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
		say()
		return
	}
	if w.hooks.sendBeforeSync {
		p.writeDisk(write{out.Registers, out.Voters}, func() {})
		say()
		return
	}
	p.writeDisk(write{out.Registers, out.Voters}, say)
}

// writeDisk writes and syncs; no other input is handled meanwhile. If the write fails, the process
// stays silent.
func (p *storeProcess) writeDisk(x write, then func()) {
	w := p.machine.sim
	if p.machine.diskFull > 0 && w.hooks.ignoreWriteErrors {
		then()
		return
	}
	if p.machine.diskFull > 0 {
		p.storageFailed = true
		clear(p.proposals)
		return
	}
	p.machine.disk.write(x)
	p.busy = true
	w.after(w.syncTime(p.machine), func() { p.onSynced(then) })
}

func (p *storeProcess) onSynced(then func()) {
	w := p.machine.sim
	if p.machine.process != p {
		return
	}
	if p.machine.diskStalled > 0 {
		w.after(20*time.Millisecond, func() { p.onSynced(then) })
		return
	}
	p.machine.disk.sync()
	if p.machine.frozen > 0 { // it is notified once it is not frozen
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
