package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"milletmast/internal/mesh/consensus"
)

// heal ends all faults, waits until all machines have recovered, and reads every key at every machine.
func (sim *simulation) heal() {
	if len(sim.report.Violations) > 0 {
		return
	}
	sim.endFaults()
	sim.run(sim.now + 200*time.Millisecond)
	last := len(sim.ops)
	sim.order(Command{Kind: "put", Key: "config", Number: 1_000_000, Body: "last", Machines: sim.shuffledMachines()})
	for sim.now < sim.healedAt+recoveryTimeout && len(sim.report.Violations) == 0 {
		if sim.recovered(last) {
			sim.report.RecoveredAfter = sim.now - sim.healedAt
			break
		}
		sim.run(sim.now + 20*time.Millisecond)
	}
	switch {
	case len(sim.report.Violations) > 0:
	case sim.report.RecoveredAfter == 0:
		sim.violation("not going: %s", sim.describeState(last))
	default:
		sim.readEverywhere()
	}
}

// endFaults ends all faults and restarts the machines that are down.
func (sim *simulation) endFaults() {
	sim.healedAt = sim.now
	sim.onStep, sim.onAck = nil, nil
	sim.cut, sim.unreachable = [maxMachines][maxMachines]int{}, [maxMachines]int{}
	sim.lossPermille, sim.duplicatePermille, sim.lostReplies = 0, 0, 0
	sim.maxDelay = usualDelay
	for _, m := range sim.machines {
		m.diskFull, m.diskStalled, m.syncDelay = 0, 0, 0
		sim.thaw(m)
		if m.process == nil && !m.removed {
			sim.after(sim.randomDuration(200*time.Millisecond), m.start)
		}
	}
	if sim.discovery != nil {
		sim.discovery.heal()
	}
}

// usualDelay bounds the delay of a message without faults.
const usualDelay = 2 * time.Millisecond

// readEverywhere reads every key at every machine; each read must succeed.
func (sim *simulation) readEverywhere() {
	var reads []*op
	for _, m := range sim.machines {
		if m.process == nil {
			continue
		}
		for _, key := range sim.keys() {
			sim.order(Command{Kind: "read", Key: key, Machines: []int{m.index}})
			reads = append(reads, sim.ops[len(sim.ops)-1])
		}
	}
	unanswered := func(o *op) bool { return o.result.Outcome == 0 }
	for until := sim.now + finalReadTime; sim.now < until && slices.ContainsFunc(reads, unanswered); {
		sim.run(sim.now + 10*time.Millisecond)
	}
	for _, o := range reads {
		if o.result.Outcome != consensus.Committed && len(sim.report.Violations) == 0 {
			sim.violation("no read: of %s at m%d", o.command.Key, o.target)
		}
	}
}

// shuffledMachines returns the machines that are not removed, in random order.
func (sim *simulation) shuffledMachines() []int {
	var out []int
	for _, i := range sim.rng.Perm(len(sim.machines)) {
		if !sim.machines[i].removed {
			out = append(out, i)
		}
	}
	return out
}

// recovered reports whether a command was acknowledged, and all stores have a lease and serve the
// same.
func (sim *simulation) recovered(first int) bool {
	if !slices.ContainsFunc(sim.ops[first:], func(o *op) bool { return o.result.Outcome == consensus.Committed }) {
		return false
	}
	var same []consensus.Register
	for _, p := range sim.running() {
		if p.LeaseRemaining(sim.time()) == 0 || p.storageFailed {
			return false
		}
		now := p.AllCommitted()
		if same == nil {
			same = now
		}
		if !slices.EqualFunc(now, same, func(a, b consensus.Register) bool {
			return a.Key == b.Key && a.Value.Version == b.Value.Version && string(a.Value.Body) == string(b.Value.Body)
		}) {
			return false
		}
	}
	return same != nil && (sim.discovery == nil || sim.discovery.allCurrent(same))
}

// describeState describes the state of the stores.
func (sim *simulation) describeState(first int) string {
	s := fmt.Sprintf("newest set %v;", *sim.newest)
	if sim.discovery != nil {
		s += sim.discovery.describeState()
	}
	for _, o := range sim.ops[first:] {
		s += fmt.Sprintf(" order to m%d: %v;", o.target, o.result.Outcome)
	}
	for _, p := range sim.running() {
		s += fmt.Sprintf(
			" %s epoch=%d lease=%v duty=%v mute=%v chosen=",
			p.Self().DiskID,
			p.Voters().Epoch,
			p.LeaseRemaining(sim.time()),
			p.State(),
			p.storageFailed,
		)
		for _, r := range p.AllCommitted() {
			s += fmt.Sprintf("%s@%d.%s ", r.Key, r.Value.Version.Number, r.Value.Version.Proposer)
		}
		for _, h := range p.Acceptor().States() {
			s += fmt.Sprintf("[%s p%v a%v]", h.Key, h.Promised, h.Accepted)
		}
	}
	return s
}
