package tide

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A large body travels apart from the ballots. What is asked and told names it by its digest; who does not hold it wants it, of one that
// told of it, once at a time. So a round that is beaten or repeated costs words and not bodies, a body that has come is used by
// whatever ballot comes next, and over a thin link nothing piles up.

const (
	usualAlong  = 64 << 10 // bytes of a body that rides along where the settings name none
	mostHeld    = 4        // bodies held that no ballot has taken yet
	wantAgain   = 2 * time.Second
	wantOther   = 400 * time.Millisecond // before another peer is asked for the same
	mostPending = 16                     // bodies that are wanted; a peer can name any
)

// bodies are those that have come and were not accepted yet, and those that are wanted.
type bodies struct {
	along  int
	held   []body // the newest last
	wanted map[uint64]*want
}

type body struct {
	sum  uint64
	text []byte
}

// want is a body that was asked for.
type want struct {
	last time.Time            // of anybody
	of   map[string]time.Time // by address: until when it is not asked for again
	wait map[string]time.Duration
}

// bare is a value as it is told: without its body, if that is large, to one that takes bodies apart; programs of before do not.
func (r *Replica) bare(v *Value, apart bool) *Value {
	if !apart || len(v.Body) <= r.bodies.along {
		return v
	}
	b := *v
	b.Body, b.Bare = nil, Sum(v.Body)
	return &b
}

// whole is a value that was told, with its body; false if that is not held here.
func (r *Replica) whole(v *Value) (*Value, bool) {
	if v.Bare == 0 {
		return v, true
	}
	text, ok := r.body(v.Bare)
	if !ok {
		return nil, false
	}
	w := *v
	w.Body, w.Bare = text, 0
	return &w, true
}

// body is a large body that is held here, by its digest.
func (r *Replica) body(sum uint64) ([]byte, bool) {
	if i := slices.IndexFunc(r.bodies.held, func(b body) bool { return b.sum == sum }); i >= 0 {
		return r.bodies.held[i].text, true
	}
	is := func(text []byte) bool { return len(text) > r.bodies.along && Sum(text) == sum }
	for _, x := range r.acceptor.registers {
		if is(x.Value.Body) {
			return x.Value.Body, true
		}
	}
	for _, o := range r.orders {
		if o.value != nil && is(o.value.Body) {
			return o.value.Body, true
		}
	}
	return nil, false
}

// wants tells whether a body is to be asked of a peer now, and notes that it is. The same one is asked again after a while, twice as long
// each time: what it sent may be on its way.
func (r *Replica) wants(now time.Time, addr string, sum uint64) bool {
	w := r.bodies.wanted[sum]
	if w == nil {
		if len(r.bodies.wanted) >= mostPending { // what was overtaken is never told of again: the one asked for longest ago goes
			oldest := slices.MinFunc(slices.Collect(maps.Keys(r.bodies.wanted)), func(a, b uint64) int {
				return cmp.Or(r.bodies.wanted[a].last.Compare(r.bodies.wanted[b].last), cmp.Compare(a, b))
			})
			delete(r.bodies.wanted, oldest)
		}
		w = &want{of: map[string]time.Time{}, wait: map[string]time.Duration{}}
		r.bodies.wanted[sum] = w
	}
	if now.Before(w.of[addr]) || !w.last.IsZero() && now.Sub(w.last) < wantOther {
		return false
	}
	w.wait[addr] = max(2*w.wait[addr], wantAgain)
	w.last, w.of[addr] = now, now.Add(w.wait[addr])
	return true
}

// fetchBody asks a peer for a body, if it is time.
func (r *Replica) fetchBody(now time.Time, p *peer, sum uint64) {
	if r.wants(now, p.addr, sum) {
		r.ask(p, Ask{Query: Want, Sum: sum})
	}
}

// answerBody takes a body, or gives one. A body is the same in each epoch.
func (r *Replica) answerBody(now time.Time, a *Ask) Tell {
	t := Tell{ID: a.ID, From: r.me, Epoch: r.set.Epoch, Apart: true, Leaves: r.leaves}
	if a.Query == Give {
		r.came(now, a.Body)
	} else {
		t.Body, _ = r.body(a.Sum)
	}
	return t
}

// came takes a body: what waits for it goes on.
func (r *Replica) came(now time.Time, text []byte) {
	sum := Sum(text)
	if _, ok := r.bodies.wanted[sum]; !ok {
		return // nobody asked for it
	}
	delete(r.bodies.wanted, sum)
	if len(r.bodies.held) == mostHeld {
		r.bodies.held = slices.Delete(r.bodies.held, 0, 1)
	}
	r.bodies.held = append(r.bodies.held, body{sum, text})
	for _, key := range slices.Sorted(maps.Keys(r.orders)) {
		if o := r.orders[key]; o.phase == collecting || o.phase == preparing {
			r.send(now, o)
		}
	}
	r.looked = time.Time{}
}

// parted takes that the connection to a peer was made anew: what was asked of it will not come.
func (r *Replica) parted(addr string) {
	for _, w := range r.bodies.wanted {
		delete(w.of, addr)
		delete(w.wait, addr)
		w.last = time.Time{}
	}
}
