package keeper

import (
	"time"

	"whinknot/internal/helm"
	"whinknot/internal/shore"
	"whinknot/internal/tide"
)

const (
	vowRecord  = "vow"
	changeTime = 2 * time.Second // for one step of a change of the set
)

// recallDuty reads what the disk has promised.
func (k *Keeper) recallDuty() error {
	var v helm.Vow
	if _, err := k.book.Get(vowRecord, &v); err != nil {
		return err
	}
	k.duty = helm.New(time.Now(), k.me.Disk, v)
	return nil
}

// keepVow has what was promised on disk; false if that failed, and then it must not be said.
func (k *Keeper) keepVow() bool {
	if err := k.book.Put(vowRecord, k.duty.Vow()); err != nil {
		k.log.Error().Err(err).Msg("promise not kept")
		return false
	}
	return true
}

// dutySign is what every look at a peer says of the duty.
func (k *Keeper) dutySign() *DutyAsk {
	if k.duty.State() != helm.Holding {
		return nil
	}
	return &DutyAsk{Term: k.duty.Term(), Holder: k.me.Disk}
}

// dutyAnswer answers what another says of the duty.
func (k *Keeper) dutyAnswer(a *DutyAsk) *DutyTell {
	now := time.Now()
	t := &DutyTell{}
	switch {
	case a.Promise:
		t.Granted = k.duty.Promise(now, a.Term, a.Holder) && k.keepVow()
	case a.Accept != nil:
		t.Granted = a.Accept.Number == k.set.Number+1 && k.duty.Accept(a.Term, a.Accept) && k.keepVow()
	case a.Succeed:
		k.duty.Heard(now, a.Term, a.Holder)
		k.campaign()
	default:
		k.duty.Heard(now, a.Term, a.Holder)
	}
	t.Vow = k.duty.Vow()
	return t
}

// resign names a successor, if this process has the duty: the member that answered last.
func (k *Keeper) resign() {
	shore.Ask(k.loop, func() (none struct{}) {
		if k.duty.State() != helm.Holding {
			return none
		}
		var next *peer
		for _, p := range k.peers {
			if p.alive() && k.set.Has(p.member.Disk) && (next == nil || p.heard.After(next.heard)) {
				next = p
			}
		}
		if next != nil {
			k.log.Info().Str("successor", next.member.Disk).Uint64("term", k.duty.Term()).Msg("duty handed on")
			next.lastID++
			next.conn.Send(&Ask{ID: next.lastID, From: k.me, Set: k.set, Duty: &DutyAsk{Term: k.duty.Term(), Holder: k.me.Disk, Succeed: true}})
		}
		k.duty.Lost(time.Now(), 0)
		return none
	})
}

// dutyTick asks for the duty if nobody does it, and does it if it is this process's.
func (k *Keeper) dutyTick() {
	now := time.Now()
	if k.duty.Due(now, &k.set) {
		k.campaign()
	}
	if k.duty.State() == helm.Holding && !k.changing {
		if next := helm.Next(&k.set, k.sights(now), k.s.LossMachines); next != nil {
			k.change(next)
		}
	}
}

// sights are the keepers as this one sees them, itself among them.
func (k *Keeper) sights(now time.Time) []helm.Sight {
	out := []helm.Sight{{Member: k.me, Alive: true}}
	for _, p := range k.peers {
		s := helm.Sight{Member: p.member, Alive: p.alive(), Absent: now.Sub(p.met)}
		s.Addr = p.addr
		if s.Alive {
			s.Absent = 0
		}
		out = append(out, s)
	}
	return out
}

// campaign asks a majority for the duty.
func (k *Keeper) campaign() {
	if !k.set.Has(k.me.Disk) {
		return
	}
	term := k.duty.Ask(time.Now())
	if !k.keepVow() {
		k.duty.Lost(time.Now(), 0)
		return
	}
	ask := Ask{Duty: &DutyAsk{Term: term, Holder: k.me.Disk, Promise: true}}
	granted := func(t *Tell) bool { return t.Duty != nil && t.Duty.Granted }
	// Never a round: the second answer to such an ask would be another.
	k.poll(ask, granted, func(tells []*Tell, ok bool) {
		highest, best := uint64(0), k.duty.Vow()
		for _, t := range tells {
			if t.Duty == nil {
				continue
			}
			highest = max(highest, t.Duty.Vow.Term)
			if granted(t) && t.Duty.Vow.In > best.In {
				best = t.Duty.Vow
			}
		}
		if !ok || !k.duty.Won(term) {
			k.duty.Lost(time.Now(), highest)
			return
		}
		k.log.Info().Uint64("term", term).Msg("duty taken")
		if next := best.Accepted; next != nil && next.Number == k.set.Number+1 {
			k.change(next) // it may have been decided on: it must be finished first
		}
	})
}

// change changes the set of disks by one: a majority that goes by the present set tells all that it holds; that is spread to
// a majority, and to a disk that comes; the next set is accepted by a majority of the present one, and goes round.
//
// A write that was acknowledged under an older set is on a majority of that, which shares a disk with each majority that goes
// by the present one. That disk either held it before it was asked, and told it, or refused the write (Tell.Behind).
func (k *Keeper) change(next *tide.Set) {
	term, begun := k.duty.Term(), k.set.Number
	if !k.set.Step(next) {
		return
	}
	k.changing = true
	stop := func(why string) {
		k.changing = false
		k.log.Warn().Uint64("set", next.Number).Str("why", why).Msg("change of the set not done yet")
	}
	current := func() bool { return k.duty.State() == helm.Holding && k.duty.Term() == term && k.set.Number == begun }
	by := time.Now().Add(changeTime)
	present := func(t *Tell) bool { return t.Set.Number == begun }
	k.round(Ask{All: true}, by, func(tells []*Tell, ok bool) {
		if !ok || !current() {
			stop("no majority tells what it holds")
			return
		}
		for _, t := range tells {
			if k.mend(t.Entries) != nil {
				stop("the disk does not take it")
				return
			}
		}
		k.spreadAll(next, by, func(ok bool) {
			if !ok || !current() {
				stop("no majority holds all, or the disk that comes does not")
				return
			}
			k.decide(next, term, func(ok bool) {
				if !ok || !current() {
					stop("no majority accepts it")
					return
				}
				k.changing = false
				k.adopt(next)
				k.tick()
			})
		})
	}, present)
}

// spreadAll has a majority, and each disk that is new in a set, hold everything that this disk holds.
func (k *Keeper) spreadAll(next *tide.Set, by time.Time, then func(ok bool)) {
	all := k.copy.All()
	if len(all) == 0 {
		then(true)
		return
	}
	holds := func(t *Tell) bool { return t.Stored }
	k.round(Ask{Offer: all}, by, func(_ []*Tell, ok bool) {
		if !ok {
			then(false)
			return
		}
		for _, p := range k.peers {
			if next.Has(p.member.Disk) && !k.set.Has(p.member.Disk) {
				k.ask(p, Ask{Offer: all}, func(t *Tell) { then(t != nil && t.Stored) })
				return
			}
		}
		then(true)
	}, holds)
}

// decide has the next set accepted in a term.
func (k *Keeper) decide(next *tide.Set, term uint64, then func(ok bool)) {
	if !k.duty.Accept(term, next) || !k.keepVow() {
		then(false)
		return
	}
	ask := Ask{Duty: &DutyAsk{Term: term, Holder: k.me.Disk, Accept: next}}
	granted := func(t *Tell) bool { return t.Duty != nil && t.Duty.Granted }
	k.poll(ask, granted, func(tells []*Tell, ok bool) {
		if !ok {
			for _, t := range tells {
				if t.Duty != nil && t.Duty.Vow.Term > term {
					k.duty.Lost(time.Now(), t.Duty.Vow.Term)
				}
			}
		}
		then(ok)
	})
}
