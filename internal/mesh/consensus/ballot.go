package consensus

import (
	"cmp"
)

// Ballot orders the attempts to decide a register. No two attempts share a ballot: Proposer is the
// disk of the proposer, and its own promise is on disk before it requests promises from other
// replicas.
type Ballot struct {
	Round    uint64
	Proposer string
}

// Compare returns a negative number if b is lower than the other ballot, 0 if they are equal, else
// a positive one.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer))
}

// Version identifies a value of one register; each change has a higher number. Proposer is the disk
// that assigned the number; it is empty where operators assign the numbers.
type Version struct {
	Number   uint64
	Proposer string
}

// Compare returns a negative number if v is older than the other version, 0 if they are equal, else
// a positive one.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Number, other.Number), cmp.Compare(v.Proposer, other.Proposer))
}
