// Package tide is control state that is agreed on: each key is a register of its own that a majority of the disks that count
// decides, value by value, by ballots (single-decree Paxos whose value can be rewritten: Rystsov, "CASPaxos: Replicated State
// Machines without logs"). There is no log and no leader. The set of disks that counts is such a register too, under an epoch, and
// changes by way of majorities of the old set and of the new one together.
//
// It is pure: an Acceptor is what one disk has promised and accepted, a Replica is one process. Messages, results and the time come
// in; messages, what has to be on disk before they are sent, and results go out.
package tide

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Ballot orders the attempts to decide a register. No two attempts share one: Disk is that of the proposer, and its own promise is
// on disk before it asks for others.
type Ballot struct {
	Round uint64
	Disk  string
}

// Compare is below 0 if a is the lower.
func (a Ballot) Compare(b Ballot) int {
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Disk, b.Disk))
}

// Stamp numbers the values of one register: each change of it has a higher number. By tells who drew it, where numbers are drawn by
// the system; what operators number themselves has none.
type Stamp struct {
	Number uint64
	By     string
}

// Compare is below 0 if a is the older.
func (a Stamp) Compare(b Stamp) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.By, b.By))
}

// Past names a value that was chosen once: its number, and a digest of its body (and of who drew the number, if it was drawn).
type Past struct{ Number, Sum uint64 }

// mostPast bounds what a register remembers of its earlier values.
const mostPast = 64

// Value is what a register holds. It is immutable.
type Value struct {
	Stamp Stamp
	Body  []byte
	Past  []Past // the newest, with this one last; none in the register of the set
	Set   *Set   // in the register of the set alone
	Bare  uint64 // on the way, of a large body: its digest in its place; else 0
}

// Sum is a digest of a body.
func Sum(body []byte) uint64 { return xxhash.Sum64(body) }

// Head is how far one disk is with a register.
type Head struct {
	Key                string
	Promised, Accepted Ballot
}

// Register is one register as a disk holds it.
type Register struct {
	Head
	Value Value // at Accepted; nothing if that is zero
}

// digest is one number for a list of heads, by key; never 0.
func digest(heads []Head) uint64 {
	h := xxhash.New()
	var n [8]byte
	text := func(s string) {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.WriteString(s)
	}
	ballot := func(b Ballot) {
		binary.BigEndian.PutUint64(n[:], b.Round)
		h.Write(n[:])
		text(b.Disk)
	}
	for _, x := range heads {
		text(x.Key)
		ballot(x.Promised)
		ballot(x.Accepted)
	}
	return max(h.Sum64(), 1)
}
