package modelcheck

import (
	"slices"
	"time"

	"milletmast/internal/mesh/consensus"
)

// recordConfig records a committed voter configuration and checks that it can follow the others.
func (sim *simulation) recordConfig(c *consensus.VoterConfig) {
	if c.Epoch == 0 {
		return
	}
	old, ok := sim.configs[c.Epoch]
	switch {
	case !ok:
		sim.configs[c.Epoch] = c
		if c.Epoch > sim.newest.Epoch {
			sim.recordNewest(c)
		}
		for _, e := range []uint64{c.Epoch, c.Epoch + 1} {
			if a, b := sim.configs[e-1], sim.configs[e]; a != nil && b != nil && !quorumsIntersect(a, b) {
				sim.violation("sets part: %v then %v", *a, *b)
			}
		}
	case old.Coordinator != c.Coordinator || !sameVoters(old, c):
		sim.violation("two sets: of one epoch: %v and %v", *old, *c)
	}
	sim.checkOneDecides()
}

// sameVoters reports whether two configurations have the same voters on both sides.
func sameVoters(a, b *consensus.VoterConfig) bool {
	return slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Incoming, b.Incoming)
}

// recordNewest records the newest configuration, and injects the next fault that waits for a step.
func (sim *simulation) recordNewest(c *consensus.VoterConfig) {
	stepped := !sameVoters(c, sim.newest)
	sim.newest = c
	sim.checkRepairs()
	if !stepped {
		sim.recordHandover()
		return
	}
	if len(sim.onStep) > 0 {
		inject := sim.onStep[0]
		sim.onStep = sim.onStep[1:]
		inject()
	}
}

// checkOneDecides checks that no two configurations are both able to decide.
func (sim *simulation) checkOneDecides() {
	var able []*consensus.VoterConfig
	for e := sim.newest.Epoch; e > 0 && e+recentEpochs > sim.newest.Epoch; e-- {
		c := sim.configs[e]
		if c != nil && c.HasQuorum(func(disk string) bool { return sim.diskInEpoch(disk, e) }) {
			able = append(able, c)
		}
	}
	if len(able) > 1 {
		sim.violation("two able: sets %v and %v both have a quorum", *able[0], *able[1])
	}
}

// recentEpochs is how many of the newest configurations may still have disks that use them.
const recentEpochs = 6

// diskInEpoch reports whether a disk is there and uses the configuration of an epoch.
func (sim *simulation) diskInEpoch(disk string, epoch uint64) bool {
	return slices.ContainsFunc(sim.machines, func(m *machine) bool {
		return !m.removed && m.disk.name == disk && m.disk.set.Epoch == epoch
	})
}

// maxHandovers bounds the handovers of the coordinator role within a second: each restarts what is
// in progress.
const maxHandovers = 6

// recordHandover records a handover of the coordinator role.
func (sim *simulation) recordHandover() {
	sim.handovers = append(slices.DeleteFunc(sim.handovers, func(at time.Duration) bool { return sim.now-at > time.Second }), sim.now)
	if len(sim.handovers) > maxHandovers {
		sim.violation("duel: the duty was handed on %d times within a second, to %s last", len(sim.handovers), sim.newest.Coordinator)
	}
}

// quorumsIntersect reports whether each quorum of one configuration intersects each quorum of the
// other, by counting: a side that is the same on both.
func quorumsIntersect(a, b *consensus.VoterConfig) bool {
	sides := func(s *consensus.VoterConfig) [][]consensus.Member {
		if s.IsJoint() {
			return [][]consensus.Member{s.Voters, s.Incoming}
		}
		return [][]consensus.Member{s.Voters}
	}
	for _, x := range sides(a) {
		for _, y := range sides(b) {
			all := &consensus.VoterConfig{Voters: x, Incoming: y}
			if len(x)/2+1+len(y)/2+1 > len(all.Members()) {
				return true
			}
		}
	}
	return false
}
