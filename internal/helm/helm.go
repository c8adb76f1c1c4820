// Package helm is a duty that one process does alone: changing the set of disks that counts. Who has it stands in the set itself, so
// that each holder has an epoch of its own, and a change by one that has lost the duty, or was never told so, is refused by the
// register of the set. The holder names its successor when it can, and a majority of the disks one when it can't. It is pure.
package helm

import (
	"cmp"
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
	Asking                 // it asks a quorum for it
	Holding                // it has it
	Changing               // it has it, and has begun a change of the set
)

func (s State) String() string { return [...]string{"following", "asking", "holding", "changing"}[s] }

const (
	lostAfter = time.Second            // a holder that nobody hears
	stagger   = 450 * time.Millisecond // between two that could ask for the duty: longer than they take to look
	jitter    = 300                    // ms, by epoch and disk: two that asked at once do not do so again
	stride    = 25 * time.Millisecond  // between two steps of a change
	patience  = 800 * time.Millisecond // for a step of a change; then it is tried again
	giveUp    = 4 * time.Second        // for what is next to take the place of the members; then the members go on
	soonGone  = 1500 * time.Millisecond
	longGone  = 10 * time.Second
	fresh     = 2 * time.Second // a sight of what another holds
)

// Machine is one process. It is not safe for concurrent use.
type Machine struct {
	replica *tide.Replica
	losses  int // disks that may be lost at once
	state   State
	epoch   uint64    // of the set, as last looked at
	since   time.Time // that epoch, or the state, began
	named   time.Time // this process first went by that epoch, which names its holder
	begun   time.Time // this process started: nobody has been heard before
	joint   time.Time // since when the set is joint; zero if it is not
}

// New makes one over a replica.
func New(now time.Time, r *tide.Replica, losses int) *Machine {
	return &Machine{replica: r, losses: losses, since: now, begun: now, epoch: r.Set().Epoch}
}

// State tells how this process is towards the duty.
func (m *Machine) State() State { return m.state }

// turn is the one function that changes the state.
func (m *Machine) turn(now time.Time, to State) { m.state, m.since = to, now }

// Tick does what is due, the replica's work included: after the duty's, as the replica may begin another look, and what the last one
// told is gone then.
func (m *Machine) Tick(now time.Time) tide.Out {
	out := m.tick(now)
	out.Join(m.replica.Tick(now))
	return out
}

func (m *Machine) tick(now time.Time) (out tide.Out) {
	set, me := m.replica.Set(), m.replica.Me().Disk
	if set.Epoch != m.epoch {
		m.epoch, m.named = set.Epoch, now
		to := Following
		if set.Holder == me {
			to = Holding
		}
		m.turn(now, to)
	}
	switch {
	case !set.Joint():
		m.joint = time.Time{}
	case m.joint.IsZero():
		m.joint = now
	}
	if m.replica.Lease(now) == 0 { // who has not caught up has no duty
		return out
	}
	switch m.state {
	case Following:
		if set.Holder == me {
			m.turn(now, Holding)
		} else if m.due(now, &set) {
			look, yes := m.replica.Unheard(now)
			if out.Join(look); yes {
				set.Epoch, set.Holder = set.Epoch+1, me
				out.Join(m.succeed(now, set, Asking))
			}
		}
	case Asking:
		if now.Sub(m.since) > m.replica.Paced(patience) {
			m.turn(now, Following)
		}
	case Holding:
		out.Join(m.steer(now, set))
	case Changing:
		if now.Sub(m.since) > m.replica.Paced(patience) {
			m.turn(now, Holding)
		}
	}
	return out
}

// Due is when a tick is wanted next: soon while a set is on its way to another.
func (m *Machine) Due(now time.Time) time.Time {
	due := m.replica.Due(now)
	set := m.replica.Set()
	if soon := now.Add(stride); set.Epoch != m.epoch || set.Joint() && m.state == Holding && soon.Before(due) {
		return soon
	}
	return due
}

// succeed proposes the next set.
func (m *Machine) succeed(now time.Time, next tide.Set, to State) tide.Out {
	m.turn(now, to)
	return m.replica.Order(now, 0, tide.Change{Kind: tide.Succeed, Key: tide.SetKey, Set: &next})
}

// steer goes on with a change of the set, or begins one.
func (m *Machine) steer(now time.Time, set tide.Set) tide.Out {
	set.Epoch++
	if !set.Joint() {
		seen := m.sights(now)
		if set.Next = Next(set.Members, seen, m.losses); set.Next == nil {
			return tide.Out{}
		}
		return m.succeed(now, set, Changing)
	}
	switch {
	case m.replica.Sealed():
		set.Members, set.Next = set.Next, nil
		if !set.Has(set.Holder) {
			set.Holder = m.heir(now, &set)
		}
		return m.succeed(now, set, Changing)
	case now.Sub(m.joint) > m.replica.Paced(giveUp):
		set.Next = nil
		return m.succeed(now, set, Changing)
	}
	return m.replica.Seal(now)
}

// Resign names a successor, if this process has the duty.
func (m *Machine) Resign(now time.Time) (out tide.Out, heir string) {
	set := m.replica.Set()
	if set.Holder != m.replica.Me().Disk {
		return out, ""
	}
	if set.Holder = m.heir(now, &set); set.Holder == "" {
		return out, ""
	}
	set.Epoch++
	return m.succeed(now, set, Following), set.Holder
}

// heir is the member heard last, but this process; "" for none.
func (m *Machine) heir(now time.Time, set *tide.Set) string {
	best := tide.Other{}
	for _, o := range m.replica.Others() {
		if o.Alive(now) && !o.Leaves && set.Has(o.Disk) && o.Heard.After(best.Heard) {
			best = o
		}
	}
	return best.Disk
}

// due tells whether this process is to ask for the duty now: the holder was not heard for a while, and this disk's turn has come.
func (m *Machine) due(now time.Time, set *tide.Set) bool {
	me := m.replica.Me().Disk
	place := slices.IndexFunc(set.Members, func(x tide.Member) bool { return x.Disk == me })
	if place < 0 || m.replica.Leaves() {
		return false
	}
	heard := m.begun
	if m.since.After(heard) && (set.Holder == "" || !set.Has(set.Holder)) {
		heard = m.since
	}
	if m.named.After(heard) { // it had a quorum's word then
		heard = m.named
	}
	for _, o := range m.replica.Others() {
		if o.Disk != "" && o.Disk == set.Holder && o.Heard.After(heard) {
			heard = o.Heard
		}
	}
	more := spread.Name(fmt.Sprint(me, set.Epoch)) % jitter
	return now.Sub(heard) > m.replica.Paced(lostAfter+time.Duration(place)*stagger+time.Duration(more)*time.Millisecond)
}

// Sight is a keeper as the holder sees it.
type Sight struct {
	tide.Member
	Alive  bool
	Absent time.Duration // for so long it has not answered, as long as it seems at the usual pace
	Holds  bool          // it holds all that is chosen
	Leaves bool          // it has said that it is about to end
}

// sights are the keepers as this one sees them, itself among them.
func (m *Machine) sights(now time.Time) []Sight {
	out := []Sight{{Member: m.replica.Me(), Alive: true, Holds: true, Leaves: m.replica.Leaves()}}
	for _, o := range m.replica.Others() {
		s := Sight{Member: o.Member, Alive: o.Alive(now), Holds: now.Sub(o.Same) < m.replica.Paced(fresh), Leaves: o.Leaves}
		if !s.Alive {
			s.Absent = time.Duration(float64(now.Sub(cmp.Or(o.Heard, m.begun))) * float64(time.Second) / float64(m.replica.Paced(time.Second)))
		}
		out = append(out, s)
	}
	return out
}

// Next are the disks that are to count, by what the holder sees; nil for those that do. Losses is how many may be lost at once. In one
// step, those that are gone are replaced by those that wait and hold all that is chosen, and as many more come as leave the number odd.
// A disk whose machine shows another one is gone for certain. One that is about to end, and says so, is replaced while it is still there. One
// that does not answer is replaced soon; where none waits, it leaves only after long, and only down to twice the losses and one.
func Next(members []tide.Member, seen []Sight, losses int) []tide.Member {
	var stay, wait []tide.Member
	var gone []leaver
	for _, s := range seen {
		if s.Alive && s.Counts && s.Holds && !s.Leaves && !tide.HasDisk(members, s.Disk) {
			wait = append(wait, s.Member)
		}
	}
	for _, x := range members {
		if d := absent(x, seen); d >= soonGone {
			gone = append(gone, leaver{x, d})
		} else {
			stay = append(stay, x)
		}
	}
	slices.SortStableFunc(gone, func(a, b leaver) int { return cmp.Compare(b.absent, a.absent) })
	replaced := min(len(gone), len(wait))
	next := append(slices.Clone(stay), wait[:replaced]...)
	wait, gone = wait[replaced:], gone[replaced:]
	least := 2*losses + 1
	for _, g := range gone {
		if g.absent < longGone || len(next)+len(gone) <= least || len(next) < least {
			next = append(next, g.Member)
		}
	}
	if more := len(next) + len(wait); len(wait) > 0 {
		next = append(next, wait[:len(wait)-(1-more%2)]...)
	}
	if len(next)%2 == 0 && len(next) > least {
		next = odd(next, seen)
	}
	alive := 0
	for _, x := range next {
		if absent(x, seen) < soonGone {
			alive++
		}
	}
	if alive < tide.Majority(next) || tide.SameDisks(next, members) {
		return nil
	}
	return next
}

// odd leaves out the one that was absent for longest, or else the last.
func odd(next []tide.Member, seen []Sight) []tide.Member {
	out := len(next) - 1
	for i, x := range next {
		if absent(x, seen) > absent(next[out], seen) {
			out = i
		}
	}
	return slices.Delete(next, out, out+1)
}

type leaver struct {
	tide.Member
	absent time.Duration
}

// absent is for how long a member has not answered; for ever if its machine shows another disk.
func absent(x tide.Member, seen []Sight) time.Duration {
	for _, s := range seen {
		switch {
		case s.Addr != x.Addr:
		case s.Disk == x.Disk && s.Leaves:
			return max(s.Absent, soonGone)
		case s.Disk == x.Disk || s.Disk == "":
			return s.Absent
		case s.Alive:
			return 1 << 62
		default:
			return max(s.Absent, longGone)
		}
	}
	return longGone
}
