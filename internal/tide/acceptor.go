package tide

import (
	"maps"
	"slices"
)

// Acceptor is what one disk has promised and accepted. Whatever it answers is only to be said once the registers that it gives back
// are on disk. It is not safe for concurrent use.
type Acceptor struct{ registers map[string]Register }

// NewAcceptor makes one of registers read from a disk.
func NewAcceptor(held []Register) *Acceptor {
	a := &Acceptor{registers: make(map[string]Register, len(held))}
	for _, r := range held {
		a.registers[r.Key] = r
	}
	return a
}

// Get is a register; an empty one if nothing was promised for the key.
func (a *Acceptor) Get(key string) Register {
	r, ok := a.registers[key]
	if !ok {
		r.Key = key
	}
	return r
}

// All are the registers, by key.
func (a *Acceptor) All() []Register {
	out := make([]Register, 0, len(a.registers))
	for _, key := range slices.Sorted(maps.Keys(a.registers)) {
		out = append(out, a.registers[key])
	}
	return out
}

// Heads are those of all registers, by key.
func (a *Acceptor) Heads() []Head {
	out := make([]Head, 0, len(a.registers))
	for _, key := range slices.Sorted(maps.Keys(a.registers)) {
		out = append(out, a.registers[key].Head)
	}
	return out
}

// turn is the one function that changes a register.
func (a *Acceptor) turn(r Register) { a.registers[r.Key] = r }

// Promise promises to accept nothing below a ballot; false if something higher was promised. Promising the same again is fine.
func (a *Acceptor) Promise(key string, b Ballot) (ok, changed bool) {
	r := a.Get(key)
	switch c := b.Compare(r.Promised); {
	case c < 0:
		return false, false
	case c == 0:
		return true, false
	}
	r.Promised = b
	a.turn(r)
	return true, true
}

// Accept accepts a value at a ballot; false if something higher was promised. It does not matter by which way the value comes: who
// tells what another has accepted repeats the words of its proposer.
func (a *Acceptor) Accept(key string, b Ballot, v Value) (ok, changed bool) {
	r := a.Get(key)
	switch {
	case b.Compare(r.Promised) < 0:
		return false, false
	case b == r.Accepted:
		return true, false
	}
	r.Promised, r.Accepted, r.Value = b, b, v
	a.turn(r)
	return true, true
}
