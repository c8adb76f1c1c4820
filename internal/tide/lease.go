package tide

import (
	"maps"
	"slices"
	"time"
)

// look is one asking of everybody for how far they are. What a quorum says then is the newest that can have been chosen when the asking
// left; once this process knows all of it to be chosen, it has a lease from that moment on.
type look struct {
	id    uint64
	asked time.Time
	own   []Head // as told
	sum   uint64 // their digest
	seen  map[string][]Head
	need  map[string]Ballot // by key, the newest accepted that a quorum told of; nil until there is a quorum
}

// beginLook begins to look at everybody.
func (r *Replica) beginLook(now time.Time) {
	r.lastID++
	r.looked = now
	r.look = &look{id: r.lastID, asked: now, own: r.acceptor.Heads(), seen: map[string][]Head{}}
	r.look.sum = digest(r.look.own)
	for _, addr := range r.Peers() {
		r.askLook(r.peers[addr])
	}
	r.surveyed(now)
}

func (r *Replica) askLook(p *peer) { r.ask(p, Ask{ID: r.look.id, Query: Look, Sum: r.look.sum}) }

// hears tells whether the holder of the duty was heard of late, or is this process.
func (r *Replica) hears(now time.Time) bool {
	if r.set.Holder == r.me.Disk {
		return true
	}
	for _, p := range r.peers {
		if p.member.Disk == r.set.Holder && now.Sub(p.heard) < r.Paced(holderFor) {
			return r.set.Holder != ""
		}
	}
	return false
}

// Unheard tells whether a quorum, as far as it said so of late, has not heard the holder of the duty: who misses it alone, over a link that
// is down, unseats nobody. While that is not so, everybody is looked at soon.
func (r *Replica) Unheard(now time.Time) (Out, bool) {
	if r.set.Reached(func(disk string) bool {
		if disk == r.me.Disk {
			return !r.hears(now)
		}
		for _, p := range r.peers {
			if p.member.Disk == disk {
				return !p.hears && now.Sub(p.said) < r.Paced(holderFor)
			}
		}
		return false
	}) {
		return r.take(), true
	}
	if now.Sub(r.looked) >= r.often() {
		r.beginLook(now)
	}
	return r.take(), false
}

// sighted takes the answer of one that was looked at, and mends from it what is newer there.
func (r *Replica) sighted(now time.Time, p *peer, t *Tell) {
	l := r.look
	heads := t.Heads
	if t.Same {
		heads = l.own
	}
	p.hears, p.said = t.Hears, now
	if _, ok := l.seen[t.From.Disk]; ok {
		return // the same answer again
	}
	l.seen[t.From.Disk] = heads
	if r.holds(heads) {
		p.same = now
	}
	var newer []string
	for _, h := range heads {
		if mine := r.acceptor.Get(h.Key); h.Accepted.Compare(mine.Accepted) > 0 && h.Accepted.Compare(mine.Promised) >= 0 {
			newer = append(newer, h.Key)
		}
	}
	r.fetch(p.addr, newer...)
	r.surveyed(now)
}

// surveyed learns from what a quorum told: what it has accepted at one ballot is chosen.
func (r *Replica) surveyed(now time.Time) {
	l := r.look
	if r.set.Has(r.me.Disk) {
		l.seen[r.me.Disk] = r.acceptor.Heads()
	}
	if !r.set.Reached(func(disk string) bool { _, ok := l.seen[disk]; return ok }) {
		return
	}
	l.need, r.told = map[string]Ballot{}, r.keysOf(l)
	for disk, heads := range l.seen {
		if !r.set.Has(disk) {
			continue
		}
		for _, h := range heads {
			if h.Accepted.Compare(l.need[h.Key]) > 0 {
				l.need[h.Key] = h.Accepted
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(l.need)) {
		b := l.need[key]
		if !r.set.Reached(func(disk string) bool { return headOf(l.seen[disk], key).Accepted == b }) {
			continue
		}
		if r.learn(now, key, b); r.look != l {
			return // the set has changed
		}
		r.sealing(key, b)
	}
	r.satisfied(now)
}

// holds tells whether somebody that is so far holds all that is known to be chosen.
func (r *Replica) holds(heads []Head) bool {
	for key, x := range r.chosen {
		if headOf(heads, key).Accepted.Compare(x.Accepted) < 0 {
			return false
		}
	}
	return true
}

func headOf(heads []Head, key string) Head {
	if i := slices.IndexFunc(heads, func(h Head) bool { return h.Key == key }); i >= 0 {
		return heads[i]
	}
	return Head{}
}

// sealing notes that quorums of a joint set hold a key at one ballot, and have promised nothing above it: nothing that was begun before
// the set was joint can be chosen any more without having been seen.
func (r *Replica) sealing(key string, b Ballot) {
	if r.set.Joint() && r.set.Reached(func(disk string) bool {
		h := headOf(r.look.seen[disk], key)
		return h.Accepted == b && h.Promised == b
	}) {
		r.sealed[key] = true
	}
}

// satisfied gives a lease if all that the quorum told of is known to be chosen.
func (r *Replica) satisfied(now time.Time) {
	l := r.look
	if l == nil || l.need == nil {
		return
	}
	missing := false
	for key, b := range l.need {
		if r.chosen[key].Accepted.Compare(b) < 0 {
			missing = true
			if _, ok := r.stuck[key]; !ok {
				r.stuck[key] = now
			}
		}
	}
	if missing {
		return
	}
	if until := l.asked.Add(r.settings.Lease); until.After(r.lease) {
		if r.lease.Before(now) {
			r.out.News = true
		}
		r.lease = until
	}
}

// unstick decides anew what stays undecided: its proposer is gone, perhaps. Disks take turns; short ones where this one has promised to
// accept nothing below a ballot that it has accepted nothing at: the others may know all and see no need.
func (r *Replica) unstick(now time.Time) {
	for _, key := range slices.Sorted(maps.Keys(r.stuck)) {
		turn := stuckTurn
		if x := r.acceptor.Get(key); x.Promised != x.Accepted {
			turn /= shortTurn
		}
		if now.Sub(r.stuck[key]) < r.Paced(stuckFor+time.Duration(r.place())*turn) {
			continue
		}
		r.stuck[key] = now
		if r.orders[key] == nil {
			r.propose(now, 0, Change{Kind: Confirm, Key: key})
		}
	}
}

// Seal decides anew every key that a quorum of a joint set told of.
func (r *Replica) Seal(now time.Time) Out {
	if r.set.Joint() {
		for _, key := range r.told {
			if !r.sealed[key] && r.orders[key] == nil {
				r.propose(now, 0, Change{Kind: Confirm, Key: key})
			}
		}
	}
	return r.take()
}

// Sealed tells whether every key that a quorum of the joint set told of, in this epoch, was decided anew: what was next may then take
// the place of the members.
func (r *Replica) Sealed() bool {
	return r.set.Joint() && r.told != nil && !slices.ContainsFunc(r.told, func(key string) bool { return !r.sealed[key] })
}

// keysOf are the keys that the disks of the set told of, promised or accepted.
func (r *Replica) keysOf(l *look) []string {
	out := []string{}
	for disk, heads := range l.seen {
		if !r.set.Has(disk) {
			continue
		}
		for _, h := range heads {
			if !slices.Contains(out, h.Key) {
				out = append(out, h.Key)
			}
		}
	}
	slices.Sort(out)
	return out
}
