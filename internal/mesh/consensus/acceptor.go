package consensus

import (
	"maps"
	"slices"
)

// Acceptor holds the state of one disk: the promised and accepted ballots and the accepted value of
// each register. A response that depends on a change may only be sent once the changed registers
// are on disk. It is not safe for concurrent use.
type Acceptor struct{ registers map[string]Register }

// NewAcceptor returns an acceptor with the registers that were read from a disk.
func NewAcceptor(stored []Register) *Acceptor {
	a := &Acceptor{registers: make(map[string]Register, len(stored))}
	for _, r := range stored {
		a.registers[r.Key] = r
	}
	return a
}

// Get returns the register of a key; an empty register if nothing was promised for the key.
func (a *Acceptor) Get(key string) Register {
	r, ok := a.registers[key]
	if !ok {
		r.Key = key
	}
	return r
}

// Registers returns all registers, sorted by key.
func (a *Acceptor) Registers() []Register {
	out := make([]Register, 0, len(a.registers))
	for _, key := range slices.Sorted(maps.Keys(a.registers)) {
		out = append(out, a.registers[key])
	}
	return out
}

// States returns the states of all registers, sorted by key.
func (a *Acceptor) States() []RegisterState {
	out := make([]RegisterState, 0, len(a.registers))
	for _, key := range slices.Sorted(maps.Keys(a.registers)) {
		out = append(out, a.registers[key].RegisterState)
	}
	return out
}

// set is the one function that changes a register.
func (a *Acceptor) set(r Register) { a.registers[r.Key] = r }

// Prepare promises to accept nothing below a ballot. It returns false if a higher ballot was
// promised; the same ballot may be promised again.
func (a *Acceptor) Prepare(key string, b Ballot) (ok, changed bool) {
	r := a.Get(key)
	switch c := b.Compare(r.Promised); {
	case c < 0:
		return false, false
	case c == 0:
		return true, false
	}
	r.Promised = b
	a.set(r)
	return true, true
}

// Accept accepts a value at a ballot. It returns false if a higher ballot was promised. The value
// may come from its proposer or from another replica that has accepted it: a ballot has one value.
func (a *Acceptor) Accept(key string, b Ballot, v Value) (ok, changed bool) {
	r := a.Get(key)
	switch {
	case b.Compare(r.Promised) < 0:
		return false, false
	case b == r.Accepted:
		return true, false
	}
	r.Promised, r.Accepted, r.Value = b, b, v
	a.set(r)
	return true, true
}
