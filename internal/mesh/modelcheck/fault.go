package modelcheck

import (
	"slices"
	"time"
)

// loss is the loss of a disk.
type loss struct {
	disk     string
	at       time.Duration
	wasVoter bool // the disk was a voter of the newest configuration, on either side of a joint one
}

// faultKinds are the kinds of faults from which Draw chooses, by the names of the bench. A kind that is listed twice is drawn twice as
// often.
var faultKinds = []string{
	"node_kill",
	"node_kill",
	"node_freeze",
	"node_freeze",
	"herd_kill",
	"replace_core",
	"after_ack_kill",
	"after_ack_kill",
	"after_ack_wipe",
	"after_ack_wipe",
	"node_wipe",
	"core_cut",
	"core_cut",
	"core_part",
	"pair_cut",
	"node_cut",
	"zone_loss",
	"disk_slow",
	"disk_full",
	"disk_stall",
	"reset_conns",
	"ack_lost",
	"roll_term",
	"link_loss",
	"link_slow",
	"link_twice",
	"clock_step",
}

// faultModes are the modes of the kinds that have several.
var faultModes = map[string][]string{
	"node_kill": {"", "power"}, "herd_kill": {"", "power"}, "replace_core": {"", "planned"}, "after_ack_kill": {"", "power"},
	"core_cut": {"", "one_way", "other_way"},
}

// inject starts a fault and schedules its end.
func (sim *simulation) inject(t Fault) {
	m := sim.nodes[t.Node%len(sim.nodes)]
	switch t.Kind {
	case "link_cut", "core_cut", "node_cut", "core_part", "pair_cut", "reset_conns", "link_loss", "link_twice", "link_slow":
		sim.injectNetwork(m, t)
	case "disk_slow", "disk_full", "disk_stall", "node_wipe":
		sim.injectDisk(m, t)
	case "ack_lost":
		sim.applyFor(&sim.lostReplies, t.Duration, nil)
	case "clock_step": // no effect: the state machines use the monotonic clock
	default:
		sim.injectProcess(m, t)
	}
}

// injectProcess starts a fault of processes or whole nodes.
func (sim *simulation) injectProcess(m *node, t Fault) {
	power := t.Mode == "power"
	switch t.Kind {
	case "node_kill":
		sim.crash(m, power, t.Duration)
	case "herd_kill":
		for _, m := range sim.nodes {
			sim.crash(m, power, sim.randomDuration(t.Duration))
		}
	case "zone_loss":
		for _, x := range sim.nodes {
			if x.zone == m.zone {
				sim.crash(x, true, t.Duration)
			}
		}
	case "cpu_quota":
		if sim.limitProcessor(&m.frozen, t.Duration, func() { sim.thaw(m) }); sim.discovery != nil && len(sim.discovery.proxies) > 0 {
			p := sim.discovery.proxies[t.Node%len(sim.discovery.proxies)]
			sim.limitProcessor(&p.frozen, t.Duration, func() { sim.discovery.resume(p) })
		}
	case "node_freeze":
		sim.applyFor(&m.frozen, t.Duration, func() { sim.thaw(m) })
	case "after_ack_kill", "after_ack_wipe":
		sim.onAck = append(sim.onAck, func(acking *node) { sim.injectAfterAck(t, acking) })
	case "replace_core":
		sim.replaceNode(m, t)
	case "roll_term":
		sim.terminate(m, func() { sim.after(sim.randomDuration(t.Duration), m.start) })
	}
}

// injectNetwork starts a fault of links.
func (sim *simulation) injectNetwork(m *node, t Fault) {
	switch t.Kind {
	case "link_cut":
		other := t.Count % len(sim.nodes)
		sim.partition(t, func(i, j int) bool { return i != j && (i == m.index && j == other || j == m.index && i == other) })
	case "core_cut":
		sim.partition(t, func(i, j int) bool {
			return i != j && (i == m.index && t.Mode != "other_way" || j == m.index && t.Mode != "one_way")
		})
	case "node_cut":
		sim.partition(t, func(i, j int) bool { return i != j && (i == m.index || j == m.index) })
		sim.applyFor(&sim.unreachable[m.index], t.Duration, nil)
	case "core_part":
		side := sim.rng.Uint32()
		sim.partition(t, func(i, j int) bool { return side>>i&1 != side>>j&1 })
	case "pair_cut": // a random share of the links
		sim.partition(t, func(i, j int) bool { return i != j && sim.chance(300) })
	case "reset_conns":
		sim.reset(m)
	case "link_loss":
		sim.setFor(&sim.lossPermille, 20+sim.rng.IntN(300), t.Duration)
	case "link_twice":
		sim.setFor(&sim.duplicatePermille, 20+sim.rng.IntN(300), t.Duration)
	case "link_slow":
		old := sim.maxDelay
		sim.maxDelay = sim.randomDuration(80 * time.Millisecond)
		sim.after(t.Duration, func() { sim.maxDelay = max(old, usualDelay) })
	}
}

// injectDisk starts a fault of a disk.
func (sim *simulation) injectDisk(m *node, t Fault) {
	switch t.Kind {
	case "disk_slow":
		old := m.syncDelay
		m.syncDelay = 20*time.Millisecond + sim.randomDuration(400*time.Millisecond)
		sim.after(t.Duration, func() { m.syncDelay = old })
	case "disk_full":
		sim.applyFor(&m.diskFull, t.Duration, nil)
	case "disk_stall":
		sim.applyFor(&m.diskStalled, t.Duration, nil)
	case "node_wipe":
		sim.wipeDisk(m, t.Duration)
	}
}

// applyFor increments the counter of a fault for a time, and calls then once no fault of that kind is left.
func (sim *simulation) applyFor(n *int, d time.Duration, then func()) {
	*n++
	sim.after(d, func() {
		if *n > 0 {
			*n--
		}
		if *n == 0 && then != nil {
			then()
		}
	})
}

// setFor sets a number for a time, and then resets it to 0.
func (sim *simulation) setFor(n *int, to int, d time.Duration) {
	*n = to
	sim.after(d, func() { *n = 0 })
}

// partition drops the messages from node i to node j if isCut(i, j).
func (sim *simulation) partition(t Fault, isCut func(i, j int) bool) {
	for i := range sim.nodes {
		for j := range sim.nodes {
			if isCut(i, j) {
				sim.applyFor(&sim.cut[i][j], t.Duration, nil)
			}
		}
	}
}

// crash ends the process of a node and restarts it after d.
func (sim *simulation) crash(m *node, powerLoss bool, d time.Duration) {
	m.stop(powerLoss)
	sim.after(d, m.start)
}

// The quota of a share of a core: in each period a process runs at full speed and then stands still.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaStall  = 90 * time.Millisecond
)

// limitProcessor has a process stand still for quotaStall in every quotaPeriod, for a time or until all faults end.
func (sim *simulation) limitProcessor(frozen *int, d time.Duration, thaw func()) {
	if d <= 0 || sim.healedAt > 0 {
		return
	}
	sim.applyFor(frozen, min(d, quotaStall), thaw)
	sim.after(quotaPeriod, func() { sim.limitProcessor(frozen, d-quotaPeriod, thaw) })
}

// thaw resumes a frozen process.
func (sim *simulation) thaw(m *node) {
	m.frozen = 0
	if m.process != nil {
		m.process.drain()
	}
	if sim.discovery != nil {
		sim.discovery.resumeControlPlane(m.index)
	}
}

// reset breaks the connections of a node: messages in flight are lost, and both sides reconnect.
func (sim *simulation) reset(m *node) {
	m.resets++
	for _, p := range sim.running() {
		for _, addr := range p.PeerAddrs() {
			if p.node == m || addr == m.addr {
				p.input(func() { p.apply(p.PeerReconnected(sim.time(), addr), nil) })
			}
		}
	}
}

// terminate has a process shut down: it first hands over the coordinator role, and runs on until a learner has replaced it as a voter
// or the grace time is over.
func (sim *simulation) terminate(m *node, then func()) {
	p := m.process
	if p == nil {
		return
	}
	p.input(func() {
		if !p.storageFailed {
			out, _ := p.Resign(sim.time())
			p.apply(out, nil)
		}
	})
	p.input(func() {
		if !p.storageFailed {
			p.apply(p.Leave(sim.time()), nil)
		}
	})
	sim.stopWhenReplaced(p, sim.now+graceTime, then)
}

// stopWhenReplaced ends a process that is leaving, once it can leave or at the given time at the latest.
func (sim *simulation) stopWhenReplaced(p *storeProcess, by time.Duration, then func()) {
	sim.after(50*time.Millisecond, func() {
		m := p.node
		switch {
		case m.process != p || sim.healedAt > 0:
		case m.frozen == 0 && (sim.now >= by || !p.storageFailed && !p.busy && p.CanLeave(sim.time())):
			m.stop(false)
			then()
		default:
			sim.stopWhenReplaced(p, by, then)
		}
	})
}

// wipeDisk has a node lose its disk and restart with an empty one at the same address. It returns false if the fault budget does not
// allow the loss.
func (sim *simulation) wipeDisk(m *node, d time.Duration) bool {
	if m.removed || !sim.mayLoseDisk() {
		return false
	}
	sim.recordLoss(m)
	m.stop(true)
	old := m.disk.name
	m.newDisk()
	if sim.hooks.keepDiskID {
		m.disk.name = old
	}
	sim.after(d, m.start)
	return true
}

// injectAfterAck injects a fault into the node that has just acknowledged a command, and into random others, within milliseconds.
func (sim *simulation) injectAfterAck(t Fault, acking *node) {
	targets := []*node{acking}
	for _, i := range sim.shuffledNodes() {
		if len(targets) < t.Count && sim.nodes[i] != acking {
			targets = append(targets, sim.nodes[i])
		}
	}
	sim.after(sim.randomDuration(4*time.Millisecond), func() {
		for _, m := range targets {
			if t.Kind == "after_ack_kill" {
				sim.crash(m, t.Mode == "power", t.Duration)
			} else if !sim.wipeDisk(m, t.Duration) {
				sim.crash(m, true, t.Duration)
			}
		}
	})
}

// replaceNode removes a node for good and adds an empty one at another address. A planned replacement adds the new one first and
// then terminates the old one.
func (sim *simulation) replaceNode(m *node, t Fault) {
	if m.removed || len(sim.nodes) >= maxNodes || !sim.mayLoseDisk() {
		return
	}
	sim.recordLoss(m)
	remove := func() {
		if sim.healedAt == 0 {
			m.stop(true)
			m.removed = true
		}
	}
	add := func() { sim.addNode(len(sim.nodes)).start() }
	if t.Mode != "planned" {
		remove()
		sim.after(t.Duration/2, add)
		return
	}
	add()
	sim.after(t.Duration/2, func() {
		if m.process == nil || m.frozen > 0 {
			remove()
			return
		}
		sim.terminate(m, remove)
		sim.after(2*graceTime, remove)
	})
}

// mayLoseDisk reports whether one more disk may be lost now. The fault budget bounds the losses that are not repaired, and a loss is
// repaired once a sufficiently large configuration without the disk was committed.
func (sim *simulation) mayLoseDisk() bool {
	sim.checkRepairs()
	return len(sim.losses) < sim.plan.FaultBudget
}

// recordLoss records the loss of a disk.
func (sim *simulation) recordLoss(m *node) {
	sim.losses = append(sim.losses, loss{m.disk.name, sim.now, sim.newest.Contains(m.disk.name)})
}

// checkRepairs removes the losses that are repaired: the newest configuration is not joint, does not contain the lost disk, and has
// enough other disks for the fault budget.
func (sim *simulation) checkRepairs() {
	s := sim.newest
	if s.IsJoint() {
		return
	}
	present := 0
	for _, x := range s.Voters {
		if !slices.ContainsFunc(sim.losses, func(l loss) bool { return l.disk == x.DiskID }) {
			present++
		}
	}
	sim.losses = slices.DeleteFunc(sim.losses, func(l loss) bool {
		if s.Contains(l.disk) || present < 2*sim.plan.FaultBudget+1 || !l.wasVoter && sim.now-l.at < 2*time.Second {
			return false
		}
		if l.wasVoter {
			sim.report.RepairTimes = append(sim.report.RepairTimes, sim.now-l.at)
		}
		return true
	})
}
