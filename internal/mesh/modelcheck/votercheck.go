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
				sim.violation("disjoint quorums: of consecutive voter configurations %v and %v", *a, *b)
			}
		}
	case old.Coordinator != c.Coordinator || !sameVoters(old, c):
		sim.violation("two voter configurations: of one epoch: %v and %v", *old, *c)
	}
	sim.checkOneDecides()
}

// sameVoters reports whether two configurations have the same voters on both sides.
func sameVoters(a, b *consensus.VoterConfig) bool {
	return slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Incoming, b.Incoming)
}

// recordNewest records the newest configuration, and injects the next fault that is scheduled for a change of the voters.
func (sim *simulation) recordNewest(c *consensus.VoterConfig) {
	changed := !sameVoters(c, sim.newest)
	sim.newest = c
	sim.checkRepairs()
	if !changed {
		sim.recordHandover()
		return
	}
	if len(sim.onStep) > 0 {
		inject := sim.onStep[0]
		sim.onStep = sim.onStep[1:]
		inject()
	}
}

// checkOneDecides checks that at most one configuration has a quorum of disks that use it.
func (sim *simulation) checkOneDecides() {
	var withQuorum []*consensus.VoterConfig
	for e := sim.newest.Epoch; e > 0 && e+recentEpochs > sim.newest.Epoch; e-- {
		c := sim.configs[e]
		if c != nil && c.HasQuorum(func(disk string) bool { return sim.diskInEpoch(disk, e) }) {
			withQuorum = append(withQuorum, c)
		}
	}
	if len(withQuorum) > 1 {
		sim.violation("two quorums: voter configurations %v and %v both have one", *withQuorum[0], *withQuorum[1])
	}
}

// recentEpochs bounds the newest configurations that may still be in use on disks.
const recentEpochs = 6

// diskInEpoch reports whether a disk exists and holds the configuration of an epoch.
func (sim *simulation) diskInEpoch(disk string, epoch uint64) bool {
	return slices.ContainsFunc(sim.nodes, func(m *node) bool {
		return !m.removed && m.disk.name == disk && m.disk.set.Epoch == epoch
	})
}

// maxHandovers bounds the handovers of the coordinator role within a second, as each handover restarts what is
// in progress.
const maxHandovers = 6

// recordHandover records a handover of the coordinator role.
func (sim *simulation) recordHandover() {
	sim.handovers = append(slices.DeleteFunc(sim.handovers, func(at time.Duration) bool { return sim.now-at > time.Second }), sim.now)
	if len(sim.handovers) > maxHandovers {
		sim.violation("too many handovers: %d of the coordinator role within a second, last to %s", len(sim.handovers), sim.newest.Coordinator)
	}
}

// quorumsIntersect reports whether each quorum of one configuration intersects each quorum of the other. This holds if, for some side of
// each of them, a majority of one side and a majority of the other have more members together than the union of both sides.
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
