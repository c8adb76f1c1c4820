package tide

import "slices"

// Member is one disk that counts.
type Member struct {
	Disk string // drawn when the disk was first used: an emptied disk is another one
	Node string
	Addr string // of its keeper
	Zone string
	// Counts tells whether the platform counts the machine among those whose loss is bounded.
	Counts bool
}

// Set is the disks that count in one epoch, and who has the duty of changing them. While Next is not empty the set is joint: whatever
// is decided needs a majority of Members and one of Next.
type Set struct {
	Epoch   uint64
	Holder  string // the disk that has the duty; "" for none
	Members []Member
	Next    []Member
}

// Joint tells whether the set is on its way to another.
func (s *Set) Joint() bool { return len(s.Next) > 0 }

// All are the disks of both sides, each once.
func (s *Set) All() []Member {
	out := slices.Clone(s.Members)
	for _, m := range s.Next {
		if !HasDisk(out, m.Disk) {
			out = append(out, m)
		}
	}
	return out
}

// Has tells whether a disk counts on either side.
func (s *Set) Has(disk string) bool { return HasDisk(s.Members, disk) || HasDisk(s.Next, disk) }

// HasDisk tells whether a disk is among some members.
func HasDisk(members []Member, disk string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Disk == disk })
}

// Majority is how many of some members make one.
func Majority(members []Member) int { return len(members)/2 + 1 }

// Reached tells whether the disks for which yes is true are a quorum: a majority of the members, and of those that are next if the set
// is joint. An empty set has none.
func (s *Set) Reached(yes func(disk string) bool) bool {
	reached := func(members []Member) bool {
		n := 0
		for _, m := range members {
			if yes(m.Disk) {
				n++
			}
		}
		return n >= Majority(members)
	}
	return len(s.Members) > 0 && reached(s.Members) && (!s.Joint() || reached(s.Next))
}

// Follows tells whether a set may follow another, so that each quorum of the one shares a disk with each quorum of the other: the
// duty changes hands, a next set is named, or the present one goes on without it. What was next takes the place of the members only
// once all that was decided before was decided anew by quorums of both (Replica.Sealed).
func (s *Set) Follows(old *Set) bool {
	if s.Epoch != old.Epoch+1 || len(s.Members) == 0 {
		return false
	}
	if SameDisks(s.Members, old.Members) {
		return !old.Joint() || !s.Joint() || SameDisks(s.Next, old.Next)
	}
	return old.Joint() && !s.Joint() && SameDisks(s.Members, old.Next)
}

// SameDisks tells whether two lists are the same disks, in whatever order.
func SameDisks(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !HasDisk(b, m.Disk) })
}
