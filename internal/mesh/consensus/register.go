package consensus

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChosenVersion identifies a value that was committed: the number of its version, and a digest of its
// body. The digest includes the proposer if the proposer assigned the number.
type ChosenVersion struct{ Number, Digest uint64 }

// maxHistory is the maximum number of versions in the history of a register.
const maxHistory = 64

// Value is the value of a register. It is immutable.
type Value struct {
	Version    Version
	Body       []byte
	History    []ChosenVersion // the last versions, ending with this one; empty in the register of the voters
	Voters     *VoterConfig    // in the register of the voters only
	BodyDigest uint64          // in messages: the digest of a large body that is sent separately; 0 otherwise
}

// Digest returns the digest of a body.
func Digest(body []byte) uint64 { return xxhash.Sum64(body) }

// RegisterState is the state of a register at one acceptor.
type RegisterState struct {
	Key                string
	Promised, Accepted Ballot
}

// Register is a register as one acceptor holds it.
type Register struct {
	RegisterState
	Value Value // accepted at Accepted; empty if that is zero
}

// digestStates returns a digest of the states of registers, sorted by key. It is never 0.
func digestStates(states []RegisterState) uint64 {
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
		text(b.Proposer)
	}
	for _, x := range states {
		text(x.Key)
		ballot(x.Promised)
		ballot(x.Accepted)
	}
	return max(h.Sum64(), 1)
}
