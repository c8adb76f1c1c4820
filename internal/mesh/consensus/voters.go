package consensus

import "slices"

// Member identifies a replica, a voter or a learner.
type Member struct {
	DiskID string // assigned when the disk was first used; a disk that was emptied gets another
	Node   string
	Addr   string // address of its configuration store
	Zone   string
	// InQuorum reports whether the platform counts the machine among those whose simultaneous
	// loss is bounded.
	InQuorum bool
}

// VoterConfig is the configuration of voters of one epoch. While Incoming is not empty it is joint:
// each decision needs a majority of Voters and one of Incoming.
type VoterConfig struct {
	Epoch       uint64
	Coordinator string // disk of the member that may change the configuration; empty for none
	Voters      []Member
	Incoming    []Member
}

// IsJoint reports whether the configuration is joint.
func (c *VoterConfig) IsJoint() bool { return len(c.Incoming) > 0 }

// Members returns the members of both sides, each once.
func (c *VoterConfig) Members() []Member {
	out := slices.Clone(c.Voters)
	for _, m := range c.Incoming {
		if !ContainsDisk(out, m.DiskID) {
			out = append(out, m)
		}
	}
	return out
}

// Contains reports whether a disk is a voter on either side.
func (c *VoterConfig) Contains(disk string) bool {
	return ContainsDisk(c.Voters, disk) || ContainsDisk(c.Incoming, disk)
}

// ContainsDisk reports whether a disk is among some members.
func ContainsDisk(members []Member, disk string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.DiskID == disk })
}

// Majority returns the number of members that makes a majority.
func Majority(members []Member) int { return len(members)/2 + 1 }

// HasQuorum reports whether the disks that voted are a quorum: a majority of the voters, and of the
// incoming ones if the configuration is joint. An empty configuration has no quorum.
func (c *VoterConfig) HasQuorum(voted func(disk string) bool) bool {
	hasMajority := func(members []Member) bool {
		n := 0
		for _, m := range members {
			if voted(m.DiskID) {
				n++
			}
		}
		return n >= Majority(members)
	}
	return len(c.Voters) > 0 && hasMajority(c.Voters) && (!c.IsJoint() || hasMajority(c.Incoming))
}

// CanFollow reports whether a configuration may follow another, such that each quorum of the one
// intersects each quorum of the other: the coordinator changes, incoming voters are added, or they
// are removed again. The incoming voters replace the present voters only after all registers were
// committed in the joint configuration (Replica.ReproposedInJoint).
func (c *VoterConfig) CanFollow(old *VoterConfig) bool {
	if c.Epoch != old.Epoch+1 || len(c.Voters) == 0 {
		return false
	}
	if SameMembers(c.Voters, old.Voters) {
		return !old.IsJoint() || !c.IsJoint() || SameMembers(c.Incoming, old.Incoming)
	}
	return old.IsJoint() && !c.IsJoint() && SameMembers(c.Voters, old.Incoming)
}

// SameMembers reports whether two member lists have the same disks, in any order.
func SameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !ContainsDisk(b, m.DiskID) })
}
