package tide

import (
	"bytes"
	"slices"
)

// SetKey is the register of the set of disks.
const SetKey = "set"

// Kind says what a change does with the value of a register.
type Kind uint8

// The kinds of changes. Each may be applied again after it was: the outcome is the same, and the value too.
const (
	Read    Kind = iota + 1 // nothing
	Confirm                 // nothing, but what may be chosen is decided anew, whether a quorum holds it or not
	Replace                 // the body takes the place of one with a lower number
	Assign                  // the body takes the place of another one, under a number that is drawn
	Swap                    // the body takes the place of the one that has the stamp
	Succeed                 // the set takes the place of the one before it
)

// Change is one order to a register.
type Change struct {
	Kind  Kind
	Key   string
	Stamp Stamp // of Replace: the number; of Swap: what is to be replaced
	Body  []byte
	By    string // the disk that draws a number
	Set   *Set   // of Succeed
}

// Outcome is what became of a change.
type Outcome uint8

// The outcomes.
const (
	Done     Outcome = iota + 1
	Conflict         // another content is chosen where this one was to be; this one is not, and never will be by this order
	Unclear          // no quorum could be asked in time: it may be chosen or not, now or later
)

// Apply gives the value that is to follow another, and what becomes of the change if that value is chosen. A nil value is that of a
// register that nothing was chosen for.
func (c *Change) Apply(held *Value) (next *Value, end Outcome) {
	switch c.Kind {
	case Replace:
		return c.replace(held)
	case Assign:
		if held != nil && bytes.Equal(held.Body, c.Body) {
			return held, Done
		}
		return &Value{Stamp: Stamp{number(held) + 1, c.By}, Body: c.Body}, Done
	case Swap:
		base, after := Stamp{}, Stamp{c.Stamp.Number + 1, c.By}
		if held != nil {
			base = held.Stamp
		}
		switch {
		case base == c.Stamp:
			return &Value{Stamp: after, Body: c.Body}, Done
		case base == after && bytes.Equal(held.Body, c.Body):
			return held, Done
		}
		return held, Conflict
	case Succeed:
		switch {
		case held == nil && c.Set.Epoch > 1 || held != nil && held.Set.Epoch+1 == c.Set.Epoch && c.Set.Follows(held.Set):
			return &Value{Stamp: Stamp{Number: c.Set.Epoch}, Set: c.Set}, Done
		case held != nil && held.Set.equal(c.Set):
			return held, Done
		}
		return held, Conflict
	}
	return held, Done
}

// replace keeps the order of the operators' own numbers: a higher one replaces, the same content again is acknowledged, another under
// the same number is a conflict, and a lower number is acknowledged and alters nothing.
func (c *Change) replace(held *Value) (*Value, Outcome) {
	switch {
	case held == nil || c.Stamp.Number > held.Stamp.Number:
		v := &Value{Stamp: c.Stamp, Body: c.Body}
		if held != nil {
			v.Past = slices.Clone(held.Past[max(0, len(held.Past)-mostPast+1):])
		}
		v.Past = append(v.Past, Past{c.Stamp.Number, Sum(c.Body)})
		return v, Done
	case c.Stamp.Number == held.Stamp.Number && !bytes.Equal(c.Body, held.Body):
		return held, Conflict
	}
	return held, Done
}

func number(v *Value) uint64 {
	if v == nil {
		return 0
	}
	return v.Stamp.Number
}

func (s *Set) equal(o *Set) bool {
	return s.Epoch == o.Epoch && s.Holder == o.Holder && slices.Equal(s.Members, o.Members) && slices.Equal(s.Next, o.Next)
}
