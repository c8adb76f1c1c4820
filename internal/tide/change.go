package tide

import (
	"bytes"
	"slices"
	"time"
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
	// Within is for how long it is tried; 0 for as long as any order. It is not sent to others.
	Within time.Duration
	// Tried are the stamps that earlier tries of this very order drew. Each may have been chosen without its proposer's knowing, and
	// followed by others since.
	Tried []Stamp
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
		if c.applied(held) || held != nil && bytes.Equal(held.Body, c.Body) {
			return held, Done
		}
		return c.follow(held, Stamp{number(held) + 1, c.By}), Done
	case Swap:
		base, after := Stamp{}, Stamp{c.Stamp.Number + 1, c.By}
		if held != nil {
			base = held.Stamp
		}
		switch {
		case base == c.Stamp:
			return c.follow(held, after), Done
		case base == after && bytes.Equal(held.Body, c.Body) || c.applied(held):
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
		return c.follow(held, c.Stamp), Done
	case c.Stamp.Number == held.Stamp.Number && !bytes.Equal(c.Body, held.Body):
		return held, Conflict
	}
	return held, Done
}

// follow is the value that the change puts in the place of another.
func (c *Change) follow(held *Value, s Stamp) *Value {
	v := &Value{Stamp: s, Body: c.Body}
	if held != nil {
		v.Past = slices.Clone(held.Past[max(0, len(held.Past)-mostPast+1):])
	}
	v.Past = append(v.Past, c.past(s))
	return v
}

// past is what a register remembers of the value that this change makes. Numbers that operators give need no more than the content,
// those that are drawn may be drawn by two at once.
func (c *Change) past(s Stamp) Past {
	if s.By == "" {
		return Past{s.Number, Sum(c.Body)}
	}
	return Past{s.Number, Sum(slices.Concat([]byte(s.By), []byte{0}, c.Body))}
}

// applied tells whether an earlier try of this order was chosen, whatever followed it. A register that was changed more often since
// than it remembers tells nothing; an order has no time for so many.
func (c *Change) applied(held *Value) bool {
	return held != nil && slices.ContainsFunc(c.Tried, func(s Stamp) bool { return slices.Contains(held.Past, c.past(s)) })
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
