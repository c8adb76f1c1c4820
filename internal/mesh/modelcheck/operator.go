package modelcheck

import (
	"time"

	"milletmast/internal/mesh/consensus"
)

const (
	attemptTimeout   = 900 * time.Millisecond // of an operator, for one answer
	retryDelay       = 50 * time.Millisecond
	maxOperatorDelay = 2 * time.Millisecond // of a message between an operator and a store
)

// submit has an operator send a command to one node after the other until the outcome is known.
func (sim *simulation) submit(o Command) {
	if o.Defect != "" {
		sim.invalid[o.Body] = true
	}
	sim.attempt(o, 0)
}

// attempt sends a command to the n-th of its nodes, and to the next one if the outcome is still unknown after a timeout or the command was
// refused.
func (sim *simulation) attempt(o Command, n int) {
	if n >= len(o.Nodes) || o.Nodes[n] >= len(sim.nodes) {
		return
	}
	m := sim.nodes[o.Nodes[n]]
	x := &op{command: o, target: m.index, called: sim.now}
	sim.ops = append(sim.ops, x)
	done := false
	next := func() {
		if !done {
			done = true
			sim.after(retryDelay, func() { sim.attempt(o, n+1) })
		}
	}
	sim.after(attemptTimeout, next)
	if sim.unreachable[m.index] > 0 {
		return
	}
	answered := func(r consensus.Result) {
		if r.Outcome == consensus.Unknown {
			next()
			return
		}
		done = true
		sim.recordAnswer(x, r)
	}
	refused := func() {
		sim.report.Refused++
		next()
	}
	sim.after(sim.operatorDelay(o), func() {
		if p := m.process; p != nil {
			p.input(func() { sim.propose(m, p, x, answered, refused) })
		}
	})
}

// operatorDelay returns the delay of a message between an operator and a store. Invalid commands have a random source of their own, so
// that the stores of a run behave the same with them and without them.
func (sim *simulation) operatorDelay(o Command) time.Duration {
	if o.Defect != "" {
		return time.Duration(sim.invalidRNG.Int64N(int64(maxOperatorDelay) + 1))
	}
	return sim.randomDuration(maxOperatorDelay)
}

// reply delivers the answer to an attempt, unless it is lost.
func (sim *simulation) reply(m *node, x *op, deliver func()) {
	if sim.lostReplies == 0 && sim.unreachable[m.index] == 0 {
		sim.after(sim.operatorDelay(x.command), deliver)
	}
}

// propose has a store validate the command of an attempt, and propose its change or refuse it; the answer is lost if the operator cannot
// reach the node at that time.
func (sim *simulation) propose(m *node, p *storeProcess, x *op, answered func(consensus.Result), refused func()) {
	change, err := sim.changeFor(p, x.command)
	if err != nil {
		if x.command.Defect == "" {
			sim.violation("valid refused: m%d refuses %v: %v", m.index, x.command, err)
		}
		sim.reply(m, x, refused)
		return
	}
	if p.storageFailed {
		return
	}
	p.lastID++
	p.proposals[p.lastID] = func(r consensus.Result) {
		if r.Outcome != consensus.Unknown {
			sim.runOnAck(m)
		}
		sim.reply(m, x, func() { answered(r) })
	}
	x.change = change
	p.apply(p.Propose(sim.time(), p.lastID, x.change), nil)
}

// changeFor returns the change that a store proposes for a command, or the error for which it refuses the command.
func (sim *simulation) changeFor(p *storeProcess, o Command) (consensus.Change, error) {
	if o.Kind == "put" && o.Key == "config" {
		return sim.configChange(p, o)
	}
	c := consensus.Change{Key: o.Key, Proposer: p.Self().DiskID, Body: []byte(o.Body)}
	switch o.Kind {
	case "put":
		c.Kind, c.Version.Number = consensus.PutVersion, o.Number
	case "assign":
		c.Kind = consensus.Put
	case "swap": // the version that an operator read last
		c.Kind, c.Version = consensus.CompareAndSwap, sim.lastRead[o.Key]
	default:
		c.Kind = consensus.Read
	}
	return c, nil
}

// runOnAck injects the faults that are scheduled for the next acknowledgement.
func (sim *simulation) runOnAck(m *node) {
	faults := sim.onAck
	sim.onAck = nil
	for _, f := range faults {
		f(m)
	}
}
