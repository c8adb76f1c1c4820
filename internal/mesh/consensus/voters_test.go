package consensus

import (
	"fmt"
	"math/bits"
	"testing"

	"pgregory.net/rapid"
)

// TestQuorumsMeet: for sets of one to seven disks out of eight, whatever sets may follow one another share a disk between each quorum of
// the one and each of the other. Where the members change hands outright, Follows says no.
func TestQuorumsIntersect(t *testing.T) {
	const disks = 8
	members := func(mask int) []Member {
		var out []Member
		for i := range disks {
			if mask>>i&1 == 1 {
				out = append(out, Member{DiskID: fmt.Sprint(i)})
			}
		}
		return out
	}
	quorum := func(s *VoterConfig, mask int) bool {
		return s.HasQuorum(func(disk string) bool { return mask>>(disk[0]-'0')&1 == 1 })
	}
	meet := func(a, b *VoterConfig) bool {
		for x := range 1 << disks {
			// What is left is the best that another quorum without a disk of the first could have.
			if quorum(a, x) && quorum(b, (1<<disks-1)&^x) {
				return false
			}
		}
		return true
	}
	rapid.Check(t, func(t *rapid.T) {
		size := func(name string) int {
			return rapid.IntRange(1, 1<<disks-1).Filter(func(m int) bool { return bits.OnesCount(uint(m)) <= 7 }).Draw(t, name)
		}
		set := func(name string, epoch uint64) *VoterConfig {
			s := &VoterConfig{Epoch: epoch, Voters: members(size(name))}
			if rapid.Bool().Draw(t, name+" joint") {
				s.Incoming = members(size(name + " next"))
			}
			return s
		}
		a := set("a", 4)
		for _, b := range []*VoterConfig{
			set("b", 5), {Epoch: 5, Voters: a.Voters}, {Epoch: 5, Voters: a.Voters, Incoming: members(size("c"))}, {Epoch: 5, Voters: a.Incoming},
		} {
			if len(b.Voters) > 0 && b.CanFollow(a) && !meet(a, b) {
				t.Fatalf("%v follows %v, and they do not meet", *b, *a)
			}
			if len(b.Voters) > 0 && !SameMembers(a.Voters, b.Voters) && !a.IsJoint() && b.CanFollow(a) {
				t.Fatalf("%v follows %v without a joint set", *b, *a)
			}
		}
		if !meet(a, a) {
			t.Fatalf("quorums of %v do not meet", *a)
		}
	})
}
