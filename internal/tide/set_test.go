package tide

import (
	"fmt"
	"math/bits"
	"testing"

	"pgregory.net/rapid"
)

// TestQuorumsMeet: for sets of one to seven disks out of eight, whatever sets may follow one another share a disk between each quorum of
// the one and each of the other. Where the members change hands outright, Follows says no.
func TestQuorumsMeet(t *testing.T) {
	const disks = 8
	members := func(mask int) []Member {
		var out []Member
		for i := range disks {
			if mask>>i&1 == 1 {
				out = append(out, Member{Disk: fmt.Sprint(i)})
			}
		}
		return out
	}
	quorum := func(s *Set, mask int) bool {
		return s.Reached(func(disk string) bool { return mask>>(disk[0]-'0')&1 == 1 })
	}
	meet := func(a, b *Set) bool {
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
		set := func(name string, epoch uint64) *Set {
			s := &Set{Epoch: epoch, Members: members(size(name))}
			if rapid.Bool().Draw(t, name+" joint") {
				s.Next = members(size(name + " next"))
			}
			return s
		}
		a := set("a", 4)
		for _, b := range []*Set{
			set("b", 5), {Epoch: 5, Members: a.Members}, {Epoch: 5, Members: a.Members, Next: members(size("c"))}, {Epoch: 5, Members: a.Next},
		} {
			if len(b.Members) > 0 && b.Follows(a) && !meet(a, b) {
				t.Fatalf("%v follows %v, and they do not meet", *b, *a)
			}
			if len(b.Members) > 0 && !SameDisks(a.Members, b.Members) && !a.Joint() && b.Follows(a) {
				t.Fatalf("%v follows %v without a joint set", *b, *a)
			}
		}
		if !meet(a, a) {
			t.Fatalf("quorums of %v do not meet", *a)
		}
	})
}
