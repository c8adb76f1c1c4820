// Package helm is a duty that one process does alone: here, changing the set of disks that counts. Who has it has a term;
// the holder names its successor when it can, and a majority of the disks names one when it can't. Whoever holds an old term
// is refused by each disk, so two that both think that they hold it do no harm. It is pure.
package helm

import (
	"fmt"
	"slices"
	"time"

	"whinknot/internal/spread"
	"whinknot/internal/tide"
)

// State is that of one process towards the duty.
type State uint8

// The states. turn is the one function that changes them.
const (
	Following State = iota // another has it, or nobody
	Asking                 // it asks a majority for it
	Holding                // it has it
)

func (s State) String() string { return [...]string{"following", "asking", "holding"}[s] }

// Vow is what a disk has promised. It is on disk before it is said.
type Vow struct {
	Term     uint64    // no lower one is listened to
	Accepted *tide.Set // for the next number; nil for none
	In       uint64    // the term in which it was accepted
}

// Machine is one process. It is not safe for concurrent use.
type Machine struct {
	me     string
	vow    Vow
	state  State
	term   uint64 // of the duty as last heard
	holder string
	heard  time.Time // of the holder
}

const (
	lostAfter = time.Second            // a holder that nobody hears
	stagger   = 450 * time.Millisecond // between two that could ask for the duty: longer than they take to look
	jitter    = 300                    // ms, by term and disk: two that asked at once do not do so again
)

// New makes one for a disk, with what it had promised.
func New(now time.Time, me string, vow Vow) *Machine {
	return &Machine{me: me, vow: vow, heard: now}
}

// State, Term and Holder tell who has the duty, as far as this process knows.
func (m *Machine) State() State   { return m.state }
func (m *Machine) Term() uint64   { return m.term }
func (m *Machine) Holder() string { return m.holder }

// Vow is what has been promised.
func (m *Machine) Vow() Vow { return m.vow }

// turn is the one function that changes the state.
func (m *Machine) turn(to State, term uint64, holder string) {
	m.state, m.term, m.holder = to, term, holder
}

// Heard takes that a disk says that it holds a term.
func (m *Machine) Heard(now time.Time, term uint64, holder string) {
	if term < m.term || holder == "" || holder == m.me {
		return
	}
	if term > m.term || m.state == Following {
		m.turn(Following, term, holder)
		m.heard = now
	}
}

// Due tells whether this process is to ask for the duty now: the holder was not heard for a while, and this disk's turn in
// the set has come.
func (m *Machine) Due(now time.Time, set *tide.Set) bool {
	place := slices.IndexFunc(set.Members, func(x tide.Member) bool { return x.Disk == m.me })
	if place < 0 || m.state != Following {
		return false
	}
	more := spread.Name(fmt.Sprint(m.me, m.vow.Term)) % jitter
	return now.Sub(m.heard) > lostAfter+time.Duration(place)*stagger+time.Duration(more)*time.Millisecond
}

// Ask begins to ask for the duty, and gives the term that is asked for. The own promise is to be kept on disk first.
func (m *Machine) Ask(now time.Time) uint64 {
	term := max(m.vow.Term, m.term) + 1
	m.vow.Term = term
	m.turn(Asking, term, "")
	m.heard = now
	return term
}

// Promise answers one that asks for a term; what it changes is to be kept on disk before it is said.
func (m *Machine) Promise(now time.Time, term uint64, asker string) bool {
	if term <= m.vow.Term {
		return false
	}
	m.vow.Term = term
	m.turn(Following, term, asker)
	m.heard = now
	return true
}

// Won takes that a majority promised the term.
func (m *Machine) Won(term uint64) bool {
	if m.state != Asking || m.term != term {
		return false
	}
	m.turn(Holding, term, m.me)
	return true
}

// Lost takes that the term was not promised, or that a higher one is about.
func (m *Machine) Lost(now time.Time, higher uint64) {
	if m.state == Following {
		return
	}
	m.vow.Term = max(m.vow.Term, higher)
	m.turn(Following, max(m.term, higher), "")
	m.heard = now
}

// Accept takes the next set from the holder of a term; what it changes is to be kept on disk before it is said.
func (m *Machine) Accept(term uint64, next *tide.Set) bool {
	if term < m.vow.Term {
		return false
	}
	m.vow = Vow{Term: term, Accepted: next, In: term}
	return true
}

// Sight is a keeper as the holder sees it.
type Sight struct {
	tide.Member
	Alive  bool
	Absent time.Duration // for so long it has not answered
}

const (
	soonGone  = 1500 * time.Millisecond // a member that another could take the place of
	longGone  = 10 * time.Second        // one that nobody could
	oneByOne  = 1
	halfOfAll = 2
)

// Next is the set that is to follow, by what the holder sees; nil for none. Losses is how many disks may be lost at once. A
// disk whose machine shows another one is gone for certain. One that does not answer leaves at once where another waits to
// take its place, or where the set is even, so that nothing is lost by its leaving; else only after long.
func Next(set *tide.Set, seen []Sight, losses int) *tide.Set {
	least := halfOfAll*losses + oneByOne
	without := func(disk string) *tide.Set {
		n := &tide.Set{Number: set.Number + 1, Members: slices.DeleteFunc(slices.Clone(set.Members), func(m tide.Member) bool { return m.Disk == disk })}
		if len(n.Members) == 0 {
			return nil
		}
		return n
	}
	var waits *tide.Member
	for i := range seen {
		if s := &seen[i]; s.Alive && s.Counts && !set.Has(s.Disk) && waits == nil {
			waits = &s.Member
		}
	}
	absent := func(m tide.Member) time.Duration {
		for _, s := range seen {
			if s.Addr == m.Addr && s.Alive && s.Disk == m.Disk {
				return 0
			}
			if s.Addr == m.Addr {
				return s.Absent
			}
		}
		return longGone
	}
	for _, m := range set.Members {
		for _, s := range seen {
			if s.Addr == m.Addr && s.Alive && s.Disk != m.Disk {
				return without(m.Disk)
			}
		}
	}
	var longest tide.Member
	var gone time.Duration
	for _, m := range set.Members {
		if d := absent(m); d > gone {
			longest, gone = m, d
		}
	}
	even := len(set.Members)%halfOfAll == 0
	spare := len(set.Members) > least
	switch {
	case waits != nil && gone >= soonGone && !even:
		return without(longest.Disk)
	case waits != nil:
		return &tide.Set{Number: set.Number + 1, Members: append(slices.Clone(set.Members), *waits)}
	case spare && (gone >= longGone || even && gone >= soonGone):
		return without(longest.Disk)
	}
	return nil
}
