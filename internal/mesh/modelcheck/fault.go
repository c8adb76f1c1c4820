package modelcheck

import (
	"slices"
	"time"
)

// loss is a disk that was lost.
type loss struct {
	disk     string
	at       time.Duration
	wasVoter bool // it was a voter of the newest configuration or of a proposed one
}

// faultKinds are the kinds of faults that are drawn, by the names of the bench, each as often as it
// is listed.
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

// inject starts a fault, and schedules its end.
func (sim *simulation) inject(t Fault) {
	m := sim.machines[t.Machine%len(sim.machines)]
	switch t.Kind {
	case "link_cut", "core_cut", "node_cut", "core_part", "pair_cut", "reset_conns", "link_loss", "link_twice", "link_slow":
		sim.injectNetwork(m, t)
	case "disk_slow", "disk_full", "disk_stall", "node_wipe":
		sim.injectDisk(m, t)
	case "ack_lost":
		sim.applyFor(&sim.lostReplies, t.Duration, nil)
	case "clock_step": // the machines use the monotonic clock
	default:
		sim.injectProcess(m, t)
	}
}

// injectProcess starts a fault of processes or whole machines.
func (sim *simulation) injectProcess(m *machine, t Fault) {
	power := t.Mode == "power"
	switch t.Kind {
	case "node_kill":
		sim.crash(m, power, t.Duration)
	case "herd_kill":
		for _, m := range sim.machines {
			sim.crash(m, power, sim.randomDuration(t.Duration))
		}
	case "zone_loss":
		for _, x := range sim.machines {
			if x.zone == m.zone {
				sim.crash(x, true, t.Duration)
			}
		}
	case "node_freeze":
		sim.applyFor(&m.frozen, t.Duration, func() { sim.thaw(m) })
	case "after_ack_kill", "after_ack_wipe":
		sim.onAck = append(sim.onAck, func(who *machine) { sim.injectAfterAck(t, who) })
	case "replace_core":
		sim.replaceMachine(m, t)
	case "roll_term":
		sim.terminate(m, func() { sim.after(sim.randomDuration(t.Duration), m.start) })
	}
}

// injectNetwork starts a fault of links.
func (sim *simulation) injectNetwork(m *machine, t Fault) {
	switch t.Kind {
	case "link_cut":
		other := t.Count % len(sim.machines)
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
	case "pair_cut": // some of the links only
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
func (sim *simulation) injectDisk(m *machine, t Fault) {
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

// applyFor applies a fault for a while, by a counter.
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

// setFor sets a number for a while.
func (sim *simulation) setFor(n *int, to int, d time.Duration) {
	*n = to
	sim.after(d, func() { *n = 0 })
}

// partition drops the messages between the pairs for which from holds.
func (sim *simulation) partition(t Fault, from func(i, j int) bool) {
	for i := range sim.machines {
		for j := range sim.machines {
			if from(i, j) {
				sim.applyFor(&sim.cut[i][j], t.Duration, nil)
			}
		}
	}
}

// crash ends a process, which is restarted later.
func (sim *simulation) crash(m *machine, powerLoss bool, d time.Duration) {
	m.stop(powerLoss)
	sim.after(d, m.start)
}

// thaw resumes a frozen process.
func (sim *simulation) thaw(m *machine) {
	m.frozen = 0
	if m.process != nil {
		m.process.drain()
	}
}

// reset breaks the connections of a machine: messages in flight are lost, and both sides reconnect.
func (sim *simulation) reset(m *machine) {
	m.resets++
	for _, p := range sim.running() {
		for _, addr := range p.PeerAddrs() {
			if p.machine == m || addr == m.addr {
				p.input(func() { p.apply(p.PeerReconnected(sim.time(), addr), nil) })
			}
		}
	}
}

// terminate asks a process to end: it names a successor first, and goes on until a learner has
// replaced its voter, if one waits, or its time is over.
func (sim *simulation) terminate(m *machine, then func()) {
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

// stopWhenReplaced ends a process that is leaving, once it can leave or at a time.
func (sim *simulation) stopWhenReplaced(p *storeProcess, by time.Duration, then func()) {
	sim.after(50*time.Millisecond, func() {
		m := p.machine
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

// wipeDisk has a machine lose its disk, if the fault budget allows it, and return empty at its old
// address.
func (sim *simulation) wipeDisk(m *machine, d time.Duration) bool {
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

// injectAfterAck injects a fault into the machine that has just acknowledged a command, and into
// others at random, within milliseconds.
func (sim *simulation) injectAfterAck(t Fault, who *machine) {
	hit := []*machine{who}
	for _, i := range sim.shuffledMachines() {
		if len(hit) < t.Count && sim.machines[i] != who {
			hit = append(hit, sim.machines[i])
		}
	}
	sim.after(sim.randomDuration(4*time.Millisecond), func() {
		for _, m := range hit {
			if t.Kind == "after_ack_kill" {
				sim.crash(m, t.Mode == "power", t.Duration)
			} else if !sim.wipeDisk(m, t.Duration) {
				sim.crash(m, true, t.Duration)
			}
		}
	})
}

// replaceMachine removes a machine for good and adds an empty one at another address, before it if
// that is planned.
func (sim *simulation) replaceMachine(m *machine, t Fault) {
	if m.removed || len(sim.machines) >= maxMachines || !sim.mayLoseDisk() {
		return
	}
	sim.recordLoss(m)
	leave := func() {
		if sim.healedAt == 0 {
			m.stop(true)
			m.removed = true
		}
	}
	come := func() { sim.addMachine(len(sim.machines)).start() }
	if t.Mode != "planned" {
		leave()
		sim.after(t.Duration/2, come)
		return
	}
	come()
	sim.after(t.Duration/2, func() {
		if m.process == nil || m.frozen > 0 {
			leave()
			return
		}
		sim.terminate(m, leave)
		sim.after(2*graceTime, leave)
	})
}

// mayLoseDisk reports whether one more disk may be lost now: the fault budget bounds the losses at
// once, and each loss counts until a configuration without it, as large as it must be, was
// committed.
func (sim *simulation) mayLoseDisk() bool {
	sim.checkRepairs()
	return len(sim.losses) < sim.plan.FaultBudget
}

// recordLoss records the loss of a disk.
func (sim *simulation) recordLoss(m *machine) {
	sim.losses = append(sim.losses, loss{m.disk.name, sim.now, sim.newest.Contains(m.disk.name)})
}

// checkRepairs removes the losses that are repaired: the newest configuration is not joint, does
// not contain them, and is large enough.
func (sim *simulation) checkRepairs() {
	s := sim.newest
	if s.IsJoint() {
		return
	}
	there := 0
	for _, x := range s.Voters {
		if !slices.ContainsFunc(sim.losses, func(l loss) bool { return l.disk == x.DiskID }) {
			there++
		}
	}
	sim.losses = slices.DeleteFunc(sim.losses, func(l loss) bool {
		if s.Contains(l.disk) || there < 2*sim.plan.FaultBudget+1 || !l.wasVoter && sim.now-l.at < 2*time.Second {
			return false
		}
		if l.wasVoter {
			sim.report.RepairTimes = append(sim.report.RepairTimes, sim.now-l.at)
		}
		return true
	})
}
