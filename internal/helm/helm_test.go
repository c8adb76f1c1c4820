package helm

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"whinknot/internal/tide"
)

// TestNext: from whatever the holder sees, the set that is to come has each disk once, a majority of it answers, it is odd unless one
// less would be fewer than are to be counted, and it is not smaller than that while so many are there.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.IntRange(0, 3).Draw(t, "losses")
		least := 2*losses + 1
		var members []tide.Member
		var seen []Sight
		able := 0
		for i := range rapid.IntRange(1, 11).Draw(t, "machines") {
			m := tide.Member{Disk: fmt.Sprint("d", i), Addr: fmt.Sprint("m", i), Counts: true}
			s := Sight{Member: m, Alive: rapid.IntRange(0, 3).Draw(t, "alive") > 0, Holds: rapid.Bool().Draw(t, "holds")}
			if !s.Alive {
				s.Absent = time.Duration(rapid.IntRange(1, 20).Draw(t, "absent")) * time.Second
			}
			if rapid.Bool().Draw(t, "member") {
				old := m
				if rapid.IntRange(0, 4).Draw(t, "emptied") == 0 {
					old.Disk += "/old"
				}
				members = append(members, old)
				if s.Alive && (s.Holds || old.Disk == m.Disk) {
					able++
				}
			} else if s.Alive && s.Holds {
				able++
			}
			seen = append(seen, s)
		}
		if len(members) == 0 {
			return
		}
		next := Next(members, seen, losses)
		if next == nil {
			return
		}
		disks := map[string]bool{}
		there := 0
		for _, m := range next {
			disks[m.Disk] = true
			if absent(m, seen) < soonGone {
				there++
			}
		}
		if len(disks) != len(next) || there < tide.Majority(next) {
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
func TestNextInOneStep(t *testing.T) {
	for size := 1; size <= 9; size += 2 {
		var members []tide.Member
		var seen []Sight
		for i := range size {
			m := tide.Member{Disk: fmt.Sprint("d", i), Addr: fmt.Sprint("m", i), Counts: true}
			members = append(members, m)
			seen = append(seen, Sight{Member: m, Alive: true, Holds: true})
		}
		if size == 1 {
			continue // it holds the only copy
		}
		emptied := &seen[size-1]
		emptied.Disk, emptied.Holds = "new", false
		if next := Next(members, seen, size/2); next != nil && (has(next, "new") || len(next) < size) {
			t.Errorf("%d disks: an empty one is to count: %v", size, next)
		}
		emptied.Holds = true
		next := Next(members, seen, size/2)
		if len(next) != size || !has(next, "new") || has(next, members[size-1].Disk) {
			t.Errorf("%d disks, one of them replaced: %v", size, next)
		}
		seen[size-1] = Sight{Member: members[size-1], Absent: 2 * time.Second}
		if next := Next(members, seen, size/2); next != nil {
			t.Errorf("%d disks, one does not answer for two seconds, nobody waits: %v", size, next)
		}
	}
}

func has(members []tide.Member, disk string) bool {
	return slices.ContainsFunc(members, func(m tide.Member) bool { return m.Disk == disk })
}
