package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/internal/mesh/consensus"
)

// TestNext: from whatever the holder sees, the set that is to come has each disk once, a majority of it answers, it is odd unless one
// less would be fewer than are to be counted, and it is not smaller than that while so many are there.
func TestNextVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.IntRange(0, 3).Draw(t, "losses")
		least := 2*losses + 1
		var members []consensus.Member
		var seen []MemberView
		able := 0
		for i := range rapid.IntRange(1, 11).Draw(t, "machines") {
			m := consensus.Member{DiskID: fmt.Sprint("d", i), Addr: fmt.Sprint("m", i), InQuorum: true}
			s := MemberView{Member: m, Alive: rapid.IntRange(0, 3).Draw(t, "alive") > 0, InSync: rapid.Bool().Draw(t, "holds")}
			if !s.Alive {
				s.UnreachableFor = time.Duration(rapid.IntRange(1, 20).Draw(t, "absent")) * time.Second
			}
			if rapid.Bool().Draw(t, "member") {
				old := m
				if rapid.IntRange(0, 4).Draw(t, "emptied") == 0 {
					old.DiskID += "/old"
				}
				members = append(members, old)
				if s.Alive && (s.InSync || old.DiskID == m.DiskID) {
					able++
				}
			} else if s.Alive && s.InSync {
				able++
			}
			seen = append(seen, s)
		}
		if len(members) == 0 {
			return
		}
		next := NextVoters(members, seen, losses)
		if next == nil {
			return
		}
		disks := map[string]bool{}
		there := 0
		for _, m := range next {
			disks[m.DiskID] = true
			if unreachableFor(m, seen) < replaceAfter {
				there++
			}
		}
		if len(disks) != len(next) || there < consensus.Majority(next) {
			t.Fatalf("%v: %d disks, %d of them answer", next, len(disks), there)
		}
		if len(next)%2 == 0 && len(next) > least {
			t.Fatalf("%v of %v is even", next, members)
		}
		if able >= least && len(next) < least {
			t.Fatalf("%d disks, with %d able and %d to be counted: %v of %v, seen %+v", len(next), able, least, next, members, seen)
		}
	})
}

// TestNextInOneStep: a disk that is lost is replaced by one that waits in one step, whatever the size; never by one that does not hold
// all, and a machine that only does not answer is left in where nobody waits.
func TestNextVotersInOneStep(t *testing.T) {
	for size := 1; size <= 9; size += 2 {
		var members []consensus.Member
		var seen []MemberView
		for i := range size {
			m := consensus.Member{DiskID: fmt.Sprint("d", i), Addr: fmt.Sprint("m", i), InQuorum: true}
			members = append(members, m)
			seen = append(seen, MemberView{Member: m, Alive: true, InSync: true})
		}
		if size == 1 {
			continue // it holds the only copy
		}
		emptied := &seen[size-1]
		emptied.DiskID, emptied.InSync = "new", false
		if next := NextVoters(members, seen, size/2); next != nil && (has(next, "new") || len(next) < size) {
			t.Errorf("%d disks: an empty one is to count: %v", size, next)
		}
		emptied.InSync = true
		next := NextVoters(members, seen, size/2)
		if len(next) != size || !has(next, "new") || has(next, members[size-1].DiskID) {
			t.Errorf("%d disks, one of them replaced: %v", size, next)
		}
		seen[size-1] = MemberView{Member: members[size-1], UnreachableFor: 2 * time.Second}
		if next := NextVoters(members, seen, size/2); next != nil {
			t.Errorf("%d disks, one does not answer for two seconds, nobody waits: %v", size, next)
		}
	}
}

func has(members []consensus.Member, disk string) bool {
	return slices.ContainsFunc(members, func(m consensus.Member) bool { return m.DiskID == disk })
}
