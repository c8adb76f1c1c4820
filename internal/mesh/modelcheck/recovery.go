package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"milletmast/internal/mesh/consensus"
)

// heal ends all faults, checks that all nodes recover in time, and reads every key at every node.
func (sim *simulation) heal() {
	if len(sim.report.Violations) > 0 {
		return
	}
	sim.endFaults()
	sim.run(sim.now + 200*time.Millisecond)
	last := len(sim.ops)
	sim.submit(Command{Kind: "put", Key: "config", Number: 1_000_000, Body: "last", Nodes: sim.shuffledNodes()})
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
		sim.violation("not recovered: %s", sim.describeState(last))
	default:
		sim.readEverywhere()
	}
}

// endFaults ends all faults and restarts the nodes that are down.
func (sim *simulation) endFaults() {
	sim.healedAt = sim.now
	sim.onStep, sim.onAck = nil, nil
	sim.cut, sim.unreachable = [maxNodes][maxNodes]int{}, [maxNodes]int{}
	sim.lossPermille, sim.duplicatePermille, sim.lostReplies = 0, 0, 0
	sim.maxDelay = usualDelay
	for _, m := range sim.nodes {
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

// readEverywhere reads every key at every node; each read must succeed.
func (sim *simulation) readEverywhere() {
	var reads []*op
	for _, m := range sim.nodes {
		if m.process == nil {
			continue
		}
		for _, key := range sim.keys() {
			sim.submit(Command{Kind: "read", Key: key, Nodes: []int{m.index}})
			reads = append(reads, sim.ops[len(sim.ops)-1])
		}
	}
	unanswered := func(o *op) bool { return o.result.Outcome == 0 }
	for until := sim.now + finalReadTime; sim.now < until && slices.ContainsFunc(reads, unanswered); {
		sim.run(sim.now + 10*time.Millisecond)
	}
	for _, o := range reads {
		if o.result.Outcome != consensus.Committed && len(sim.report.Violations) == 0 {
			sim.violation("no read: %s was not read at m%d", o.command.Key, o.target)
		}
	}
}

// shuffledNodes returns the nodes that are not removed, in random order.
func (sim *simulation) shuffledNodes() []int {
	var out []int
	for _, i := range sim.rng.Perm(len(sim.nodes)) {
		if !sim.nodes[i].removed {
			out = append(out, i)
		}
	}
	return out
}

// recovered reports whether one of the attempts from index first on was acknowledged, all stores have a lease and serve the same values,
// and all proxies use them.
func (sim *simulation) recovered(first int) bool {
	if !slices.ContainsFunc(sim.ops[first:], func(o *op) bool { return o.result.Outcome == consensus.Committed }) {
		return false
	}
	var values []consensus.Register
	for _, p := range sim.running() {
		if p.LeaseRemaining(sim.time()) == 0 || p.storageFailed {
			return false
		}
		now := p.AllCommitted()
		if values == nil {
			values = now
		}
		if !slices.EqualFunc(now, values, func(a, b consensus.Register) bool {
			return a.Key == b.Key && a.Value.Version == b.Value.Version && string(a.Value.Body) == string(b.Value.Body)
		}) {
			return false
		}
	}
	return values != nil && (sim.discovery == nil || sim.discovery.allCurrent(values))
}

// describeState describes the state of the stores and proxies, and the outcomes of the attempts from index first on.
func (sim *simulation) describeState(first int) string {
	s := fmt.Sprintf("newest voter configuration %v;", *sim.newest)
	if sim.discovery != nil {
		s += sim.discovery.describeState()
	}
	for _, o := range sim.ops[first:] {
		s += fmt.Sprintf(" command to m%d: %v;", o.target, o.result.Outcome)
	}
	for _, p := range sim.running() {
		s += fmt.Sprintf(
			" %s epoch=%d lease=%v role=%v storage-failed=%v committed=",
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
