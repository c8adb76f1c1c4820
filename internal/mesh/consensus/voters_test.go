package consensus

import (
	"fmt"
	"math/bits"
	"testing"

	"pgregory.net/rapid"
)

// For configurations of one to seven voters out of eight disks: if one configuration can follow another, each quorum of the one intersects
// each quorum of the other. Without a joint configuration, CanFollow rejects a change of the voters.
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
	hasQuorum := func(c *VoterConfig, mask int) bool {
		return c.HasQuorum(func(disk string) bool { return mask>>(disk[0]-'0')&1 == 1 })
	}
	quorumsIntersect := func(a, b *VoterConfig) bool {
		for x := range 1 << disks {
			// The complement of x is the largest set of disks that does not intersect x.
			if hasQuorum(a, x) && hasQuorum(b, (1<<disks-1)&^x) {
				return false
			}
		}
		return true
	}
	rapid.Check(t, func(t *rapid.T) {
		drawMask := func(name string) int {
			return rapid.IntRange(1, 1<<disks-1).Filter(func(m int) bool { return bits.OnesCount(uint(m)) <= 7 }).Draw(t, name)
		}
		drawConfig := func(name string, epoch uint64) *VoterConfig {
			c := &VoterConfig{Epoch: epoch, Voters: members(drawMask(name))}
			if rapid.Bool().Draw(t, name+" joint") {
				c.Incoming = members(drawMask(name + " next"))
			}
			return c
		}
		a := drawConfig("a", 4)
		for _, b := range []*VoterConfig{
			drawConfig("b", 5), {Epoch: 5, Voters: a.Voters}, {Epoch: 5, Voters: a.Voters, Incoming: members(drawMask("c"))}, {Epoch: 5, Voters: a.Incoming},
		} {
			if len(b.Voters) > 0 && b.CanFollow(a) && !quorumsIntersect(a, b) {
				t.Fatalf("%v may follow %v, but their quorums do not intersect", *b, *a)
			}
			if len(b.Voters) > 0 && !SameMembers(a.Voters, b.Voters) && !a.IsJoint() && b.CanFollow(a) {
				t.Fatalf("%v may follow %v without a joint configuration", *b, *a)
			}
		}
		if !quorumsIntersect(a, a) {
			t.Fatalf("quorums of %v do not intersect", *a)
		}
	})
}
