// Package tide is the copies of control state: what each disk holds, which of two versions is the newer, and when a
// majority of the disks that count holds one. There is no log and no leader: each key is a register of its own, the
// highest stamp wins, and a copy that is behind is mended from one that is not. It is pure.
package tide

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Stamp orders the versions of one key. By settles which of two with one number is the newer, where numbers are drawn by
// the system; what operators number themselves has none.
type Stamp struct {
	Number uint64
	By     string
}

// Compare is below 0 if a is the older.
func (a Stamp) Compare(b Stamp) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.By, b.By))
}

// Entry is one version of one key.
type Entry struct {
	Key   string
	Stamp Stamp
	Body  []byte
}

// Same tells whether two entries are one version with one content.
func (e *Entry) Same(o *Entry) bool { return e.Stamp == o.Stamp && bytes.Equal(e.Body, o.Body) }

// Copy is what one disk holds. It is not safe for concurrent use.
type Copy struct{ entries map[string]Entry }

// NewCopy makes one of entries read from a disk.
func NewCopy(entries []Entry) *Copy {
	c := &Copy{entries: make(map[string]Entry, len(entries))}
	for _, e := range entries {
		c.entries[e.Key] = e
	}
	return c
}

// Get is what is held under a key; ok is false for nothing.
func (c *Copy) Get(key string) (Entry, bool) {
	e, ok := c.entries[key]
	return e, ok
}

// All is everything held, by key.
func (c *Copy) All() []Entry {
	out := make([]Entry, 0, len(c.entries))
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		out = append(out, c.entries[key])
	}
	return out
}

// Newer tells whether an entry is to replace what is held. Of two contents under one stamp the one that came first stays.
func (c *Copy) Newer(e *Entry) bool {
	held, ok := c.entries[e.Key]
	return !ok || e.Stamp.Compare(held.Stamp) > 0
}

// Put replaces what is held by a newer entry; the caller has it on disk first.
func (c *Copy) Put(e Entry) {
	if c.Newer(&e) {
		c.entries[e.Key] = e
	}
}

// Ranges is the number of ranges that keys are dealt out to by their hash.
const Ranges = 16

// RangeOf is the range of a key.
func RangeOf(key string) int { return int(xxhash.Sum64String(key) % Ranges) }

// Digests is one number for each range: two copies hold the same in a range if its numbers are the same.
func (c *Copy) Digests() [Ranges]uint64 {
	var out [Ranges]uint64
	for key, e := range c.entries {
		h := xxhash.New()
		h.WriteString(key)
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], e.Stamp.Number)
		h.Write(n[:])
		h.WriteString(e.Stamp.By)
		h.Write(e.Body)
		out[RangeOf(key)] ^= h.Sum64()
	}
	return out
}

// Digest is one number for everything held; never 0.
func (c *Copy) Digest() uint64 {
	h := xxhash.New()
	for _, d := range c.Digests() {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], d)
		h.Write(n[:])
	}
	return max(h.Sum64(), 1)
}

// Differing are the ranges whose digests differ.
func Differing(a, b [Ranges]uint64) []int {
	var out []int
	for i := range a {
		if a[i] != b[i] {
			out = append(out, i)
		}
	}
	return out
}

// Within are the entries of some ranges.
func (c *Copy) Within(ranges []int) []Entry {
	var out []Entry
	for _, e := range c.All() {
		if slices.Contains(ranges, RangeOf(e.Key)) {
			out = append(out, e)
		}
	}
	return out
}

// Member is one disk that counts.
type Member struct {
	Disk string // drawn when the disk was first used: an emptied disk is another one
	Node string
	Addr string // of its keeper
	Zone string
	// Counts tells whether the platform counts the machine among those whose loss is bounded.
	Counts bool
}

// Set is the disks that count, and whether the one in force is being changed to another by one disk.
type Set struct {
	Number  uint64 // a set with a higher number takes the place of one with a lower
	Members []Member
}

// Has tells whether a disk counts.
func (s *Set) Has(disk string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Disk == disk })
}

// Majority is how many disks of the set make one; at least one.
func (s *Set) Majority() int { return len(s.Members)/2 + 1 }

// Count is how many of the named disks count.
func (s *Set) Count(disks map[string]bool) int {
	n := 0
	for _, m := range s.Members {
		if disks[m.Disk] {
			n++
		}
	}
	return n
}

// Reached tells whether the named disks are a majority of the set. An empty set has none.
func (s *Set) Reached(disks map[string]bool) bool {
	return len(s.Members) > 0 && s.Count(disks) >= s.Majority()
}

// Step tells whether a set may follow another: a number higher by one, and one disk more or less at the most, so that each
// majority of the one shares a disk with each majority of the other.
func (s *Set) Step(next *Set) bool {
	if next.Number != s.Number+1 || len(next.Members) == 0 {
		return false
	}
	differ := 0
	for _, m := range s.Members {
		if !next.Has(m.Disk) {
			differ++
		}
	}
	for _, m := range next.Members {
		if !s.Has(m.Disk) {
			differ++
		}
	}
	return differ <= 1
}
