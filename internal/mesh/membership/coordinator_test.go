package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/internal/mesh/consensus"
)

// For any views of the coordinator, the next voters have each disk once, a majority of them responds, their number is odd unless it is the
// minimum of 2*faultBudget+1 or less, and it is not below the minimum while enough disks are available.
func TestNextVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faultBudget := rapid.IntRange(0, 3).Draw(t, "fault budget")
		minimum := 2*faultBudget + 1
		var members []consensus.Member
		var views []MemberView
		available := 0
		for i := range rapid.IntRange(1, 11).Draw(t, "machines") {
			m := consensus.Member{DiskID: fmt.Sprint("d", i), Addr: fmt.Sprint("m", i), InQuorum: true}
			s := MemberView{Member: m, Alive: rapid.IntRange(0, 3).Draw(t, "alive") > 0, InSync: rapid.Bool().Draw(t, "in sync")}
			if !s.Alive {
				s.UnreachableFor = time.Duration(rapid.IntRange(1, 20).Draw(t, "unreachable for")) * time.Second
			}
			if rapid.Bool().Draw(t, "member") {
				old := m
				if rapid.IntRange(0, 4).Draw(t, "emptied") == 0 {
					old.DiskID += "/old"
				}
				members = append(members, old)
				if s.Alive && (s.InSync || old.DiskID == m.DiskID) {
					available++
				}
			} else if s.Alive && s.InSync {
				available++
			}
			views = append(views, s)
		}
		if len(members) == 0 {
			return
		}
		next := NextVoters(members, views, faultBudget)
		if next == nil {
			return
		}
		disks := map[string]bool{}
		responding := 0
		for _, m := range next {
			disks[m.DiskID] = true
			if unreachableFor(m, views) < replaceAfter {
				responding++
			}
		}
		if len(disks) != len(next) || responding < consensus.Majority(next) {
			t.Fatalf("%v: %d disks, %d of them respond", next, len(disks), responding)
		}
		if len(next)%2 == 0 && len(next) > minimum {
			t.Fatalf("the number of next voters %v after %v is even", next, members)
		}
		if available >= minimum && len(next) < minimum {
			t.Fatalf("%d next voters, with %d disks available and a minimum of %d: %v after %v, views %+v", len(next), available, minimum, next, members, views)
		}
	})
}

// A learner replaces a lost disk in one step, for any number of voters, but only once it is in sync. A voter that does not respond stays
// while no learner is available.
func TestNextVotersInOneStep(t *testing.T) {
	for size := 1; size <= 9; size += 2 {
		var members []consensus.Member
		var views []MemberView
		for i := range size {
			m := consensus.Member{DiskID: fmt.Sprint("d", i), Addr: fmt.Sprint("m", i), InQuorum: true}
			members = append(members, m)
			views = append(views, MemberView{Member: m, Alive: true, InSync: true})
		}
		if size == 1 {
			continue // the lost disk is the only replica
		}
		emptied := &views[size-1]
		emptied.DiskID, emptied.InSync = "new", false
		if next := NextVoters(members, views, size/2); next != nil && (containsDisk(next, "new") || len(next) < size) {
			t.Errorf("%d voters: an empty disk is to become one: %v", size, next)
		}
		emptied.InSync = true
		next := NextVoters(members, views, size/2)
		if len(next) != size || !containsDisk(next, "new") || containsDisk(next, members[size-1].DiskID) {
			t.Errorf("%d voters, one of them with a new disk in sync: %v", size, next)
		}
		views[size-1] = MemberView{Member: members[size-1], UnreachableFor: 2 * time.Second}
		if next := NextVoters(members, views, size/2); next != nil {
			t.Errorf("%d voters, one unreachable for two seconds, without a learner: %v", size, next)
		}
	}
}

func containsDisk(members []consensus.Member, disk string) bool {
	return slices.ContainsFunc(members, func(m consensus.Member) bool { return m.DiskID == disk })
}
