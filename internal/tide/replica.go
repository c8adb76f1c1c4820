package tide

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"whinknot/internal/spread"
)

// Settings are the bounds that a replica goes by.
type Settings struct {
	Lease time.Duration // for which what a quorum said counts, from when it was asked
	Order time.Duration // for an order: then its outcome is unclear
	Along int           // bytes of a body that rides along with the ballots; 0 for the usual
	Pace  float64       // the part that is left of all other times; 0 for 1
}

const (
	resend    = 250 * time.Millisecond // an ask without an answer is repeated
	backOff   = 20 * time.Millisecond  // at first, before a ballot that was beaten is followed by a higher one
	mostBack  = 800 * time.Millisecond
	lookOften = 300 * time.Millisecond // at most, between two looks of the duty's holder, and of one that has no lease
	lookSlow  = 900 * time.Millisecond // of any other
	oftenPart = 6                      // of a lease that is short: the part of it between two looks, if that is less
	slowPart  = 2
	aliveFor  = 2 * time.Second        // after its last word another counts as there
	holderFor = time.Second            // and the holder of the duty as heard
	stuckFor  = 700 * time.Millisecond // after which what nobody finishes is finished here, if this disk's turn has come
	stuckTurn = 350 * time.Millisecond // between two disks' turns
	shortTurn = 8                      // so many times shorter ones where only this disk may see the need
)

// Out is what follows from an input. What is to be kept has to be on disk before anything else of it leaves the process.
type Out struct {
	Keep    []Register
	Set     *Set // to be kept, if it is not nil
	Asks    []Ask
	Results []Result
	News    bool // what is chosen, or the set, is another
}

// Result is what became of an order.
type Result struct {
	Order   uint64
	Outcome Outcome
	Value   *Value // what is chosen; nil for nothing, or where the outcome is unclear
	Altered bool   // by this order
}

// Replica is one process: its disk's acceptor, its orders, and what it knows to be chosen. It is not safe for concurrent use.
type Replica struct {
	me       Member
	settings Settings
	set      Set
	acceptor *Acceptor
	chosen   map[string]Register // as last known
	peers    map[string]*peer    // by address
	orders   map[string]*round   // by key, the one under way
	waiting  map[string][]order
	lastID   uint64
	look     *look
	looked   time.Time // the last look began
	lease    time.Time // until when what is chosen is known to be the newest; zero for none
	stuck    map[string]time.Time
	told     []string        // keys that a quorum told of in this epoch; nil while none has
	sealed   map[string]bool // of them, those that were decided anew, if the set is joint
	bodies   bodies
	leaves   bool // it has said that it is about to end
	out      Out
}

// peer is another process.
type peer struct {
	addr   string
	member Member
	epoch  uint64 // that it goes by
	heard  time.Time
	same   time.Time // it was last found to hold all that is known to be chosen
	apart  bool      // it takes large bodies apart
	leaves bool      // it is about to end
	hears  bool      // it has heard the holder of the duty of late, as it said
	said   time.Time // that
}

// order is a change that somebody waits for.
type order struct {
	id     uint64 // 0 for the replica's own
	change Change
	by     time.Time
	end    Result // if the value of the round is chosen
}

// phase is how far a round is.
type phase uint8

// The phases. step is the one function that changes them.
const (
	resting    phase = iota // until its time has come
	collecting              // asks what a quorum has accepted: enough to read
	preparing               // asks a quorum to promise its ballot
	accepting               // asks a quorum to accept the value
)

// round is the work on the orders to one key.
type round struct {
	key     string
	phase   phase
	id      uint64
	ballot  Ballot
	orders  []order
	votes   map[string]Head
	refused map[string]bool
	best    Register // the highest accepted of those that answered
	value   *Value
	anew    bool      // the value is another than that of best
	sent    time.Time // asks were last sent
	due     time.Time // a rest ends
	highest uint64    // round of a ballot that beat this one
	tries   int
}

// NewReplica makes one of what its disk holds.
func NewReplica(me Member, s Settings, set Set, held []Register) *Replica {
	r := &Replica{
		me: me, settings: s, set: set, acceptor: NewAcceptor(held), chosen: map[string]Register{}, peers: map[string]*peer{},
		orders: map[string]*round{}, waiting: map[string][]order{}, stuck: map[string]time.Time{}, sealed: map[string]bool{},
		bodies: bodies{along: cmp.Or(s.Along, usualAlong), wanted: map[uint64]*want{}},
	}
	for _, m := range set.All() {
		r.Meet(m.Addr)
	}
	return r
}

// Me, Set and Acceptor tell who this is, the set gone by and what the disk holds.
func (r *Replica) Me() Member          { return r.me }
func (r *Replica) Set() Set            { return r.set }
func (r *Replica) Acceptor() *Acceptor { return r.acceptor }

// Get is what is known to be chosen for a key; ok is false for nothing.
func (r *Replica) Get(key string) (v Value, ok bool) {
	x, ok := r.chosen[key]
	return x.Value, ok
}

// Chosen is what is known to be chosen, by key.
func (r *Replica) Chosen() []Register {
	out := make([]Register, 0, len(r.chosen))
	for _, key := range slices.Sorted(maps.Keys(r.chosen)) {
		out = append(out, r.chosen[key])
	}
	return out
}

// Lease is how much longer what is known to be chosen is what is in force, by a quorum's word; 0 for not at all.
func (r *Replica) Lease(now time.Time) time.Duration { return max(r.lease.Sub(now), 0) }

// Meet gets to know the address of another.
func (r *Replica) Meet(addr string) {
	if addr != "" && addr != r.me.Addr && r.peers[addr] == nil {
		r.peers[addr] = &peer{addr: addr}
	}
}

// Renewed says that a connection to another was made anew: it is told everything again that it may not know, and the look under way is
// asked of it if there is no lease yet.
func (r *Replica) Renewed(now time.Time, addr string) Out {
	p := r.peers[addr]
	if p == nil {
		return r.take()
	}
	p.epoch = 0
	r.parted(addr)
	if r.look != nil && r.Lease(now) == 0 {
		r.askLook(p)
	}
	return r.take()
}

// Leave tells everybody that this process is about to end. It goes on answering until it does.
func (r *Replica) Leave(now time.Time) Out {
	r.leaves = true
	r.beginLook(now)
	return r.take()
}

// Leaves tells whether this process has said that it is about to end.
func (r *Replica) Leaves() bool { return r.leaves }

// Spared tells whether this process has no place in the set that is in force, or nobody waits to take it.
func (r *Replica) Spared(now time.Time) bool {
	if !r.set.Has(r.me.Disk) && !r.set.Joint() {
		return true
	}
	for _, o := range r.Others() {
		if o.Alive(now) && o.Counts && !o.Leaves && !HasDisk(r.set.Members, o.Disk) {
			return false
		}
	}
	return true
}

// Peers are the addresses of the others, in order.
func (r *Replica) Peers() []string { return slices.Sorted(maps.Keys(r.peers)) }

// Paced is a time by the pace that the settings name.
func (r *Replica) Paced(d time.Duration) time.Duration {
	return time.Duration(cmp.Or(r.settings.Pace, 1) * float64(d))
}

// Other is another process as this one sees it.
type Other struct {
	Member           // its disk is "" if nothing was heard of it
	Heard  time.Time // last
	until  time.Time // it counts as there, by that
	Same   time.Time // it was last found to hold all that is known to be chosen
	Leaves bool      // it has said that it is about to end
}

// Others are the others, by address.
func (r *Replica) Others() []Other {
	out := make([]Other, 0, len(r.peers))
	for _, addr := range r.Peers() {
		p := r.peers[addr]
		o := Other{p.member, p.heard, p.heard.Add(r.Paced(aliveFor)), p.same, p.leaves}
		o.Addr = addr
		out = append(out, o)
	}
	return out
}

// Alive tells whether another was heard just now.
func (o *Other) Alive(now time.Time) bool { return o.Disk != "" && now.Before(o.until) }

// take gives what has come together.
func (r *Replica) take() Out {
	out := r.out
	r.out = Out{}
	return out
}

// Join adds what follows from a later input.
func (o *Out) Join(more Out) {
	o.Keep, o.Asks, o.Results = append(o.Keep, more.Keep...), append(o.Asks, more.Asks...), append(o.Results, more.Results...)
	if more.Set != nil {
		o.Set = more.Set
	}
	o.News = o.News || more.News
}

// Order begins an order; its result comes once, under its id, which is not 0.
func (r *Replica) Order(now time.Time, id uint64, c Change) Out {
	r.propose(now, id, c)
	return r.take()
}

func (r *Replica) propose(now time.Time, id uint64, c Change) {
	r.waiting[c.Key] = append(r.waiting[c.Key], order{id: id, change: c, by: now.Add(min(cmp.Or(c.Within, r.settings.Order), r.settings.Order))})
	r.begin(now, c.Key)
}

// begin begins a round for the orders that wait for a key, if none is under way.
func (r *Replica) begin(now time.Time, key string) {
	if r.orders[key] != nil || len(r.waiting[key]) == 0 {
		return
	}
	o := &round{key: key, orders: r.waiting[key]}
	delete(r.waiting, key)
	r.orders[key] = o
	to := preparing
	if !slices.ContainsFunc(o.orders, func(x order) bool { return x.change.Kind != Read }) {
		to = collecting
	}
	r.step(now, o, to)
}

// step is the one function that changes the phase of a round.
func (r *Replica) step(now time.Time, o *round, to phase) {
	r.lastID++
	o.phase, o.id, o.votes, o.refused = to, r.lastID, map[string]Head{}, map[string]bool{}
	mine := r.acceptor.Get(o.key)
	switch to {
	case resting:
		o.tries++
		most := min(backOff<<min(o.tries, 6), mostBack)
		o.due = now.Add(time.Duration(spread.Mix(spread.Name(r.me.Disk)^o.id) % uint64(most)))
		return
	case collecting:
		o.best = mine
		o.votes[r.me.Disk] = mine.Head
	case preparing:
		o.ballot = Ballot{max(mine.Promised.Round, o.highest) + 1, r.me.Disk}
		o.best = mine
		r.acceptor.Promise(o.key, o.ballot)
		r.keep(o.key)
		o.votes[r.me.Disk] = mine.Head
	case accepting:
		if ok, _ := r.acceptor.Accept(o.key, o.ballot, *o.value); !ok {
			r.step(now, o, resting)
			return
		}
		r.keep(o.key)
		o.votes[r.me.Disk] = r.acceptor.Get(o.key).Head
	}
	r.send(now, o)
	r.counted(now, o)
}

// keep has a register kept on disk.
func (r *Replica) keep(key string) {
	x := r.acceptor.Get(key)
	for i := range r.out.Keep {
		if r.out.Keep[i].Key == key {
			r.out.Keep[i] = x
			return
		}
	}
	r.out.Keep = append(r.out.Keep, x)
}

// send sends the asks of a round to all that have not answered: a quorum is asked to promise, everybody to accept.
func (r *Replica) send(now time.Time, o *round) {
	o.sent = now
	for _, addr := range r.Peers() {
		p := r.peers[addr]
		if _, ok := o.votes[p.member.Disk]; ok && p.member.Disk != "" {
			continue
		}
		counts := p.member.Disk == "" || r.set.Has(p.member.Disk)
		a := Ask{ID: o.id, Key: o.key}
		switch o.phase {
		case collecting:
			a.Query, a.Have = Collect, o.best.Accepted
		case preparing:
			a.Query, a.Ballot, a.Have = Prepare, o.ballot, o.best.Accepted
		case accepting:
			a.Query, a.Ballot, counts = Accept, o.ballot, true
			if a.Same = o.best.Accepted; o.anew {
				a.Value = r.bare(o.value, p.apart)
			}
		}
		if counts {
			r.ask(p, a)
		}
	}
}

// ask asks another.
func (r *Replica) ask(p *peer, a Ask) {
	a.To, a.From, a.Epoch, a.Apart = p.addr, r.me, r.set.Epoch, true
	a.Leaves = r.leaves
	if p.epoch < r.set.Epoch {
		set := r.set
		a.Set = &set
	}
	r.out.Asks = append(r.out.Asks, a)
}

// Answer answers an ask.
func (r *Replica) Answer(now time.Time, a *Ask) (Tell, Out) {
	r.Meet(a.From.Addr)
	if p := r.peers[a.From.Addr]; p != nil {
		p.member, p.heard, p.epoch, p.apart = a.From, now, max(p.epoch, a.Epoch), a.Apart
		p.leaves = a.Leaves
	}
	if a.Set != nil {
		r.adopt(now, a.Set)
	}
	if a.Query == Give || a.Query == Want {
		return r.answerBody(now, a), r.take()
	}
	t := Tell{ID: a.ID, From: r.me, Apart: true, Leaves: r.leaves, Epoch: r.set.Epoch}
	if a.Epoch != r.set.Epoch {
		t.Behind = true
		if a.Epoch < r.set.Epoch {
			set := r.set
			t.Set = &set
		}
		return t, r.take()
	}
	switch a.Query {
	case Look:
		t.Hears = r.hears(now)
		heads := r.acceptor.Heads()
		if t.Same = digest(heads) == a.Sum; !t.Same {
			t.Heads = heads
		}
	case Collect, Prepare:
		t.Granted = true
		if a.Query == Prepare {
			t.Granted, _ = r.acceptor.Promise(a.Key, a.Ballot)
			if t.Granted {
				r.keep(a.Key)
			}
		}
		x := r.acceptor.Get(a.Key)
		t.Head = x.Head
		if x.Accepted.Compare(a.Have) > 0 {
			t.Value = r.bare(&x.Value, a.Apart)
		}
	case Accept:
		r.answerAccept(now, a, &t)
	case Chosen:
		for _, h := range a.Heads {
			r.learn(now, h.Key, h.Accepted)
			if r.acceptor.Get(h.Key).Accepted.Compare(h.Accepted) < 0 {
				r.fetch(a.From.Addr, h.Key)
			}
		}
	case Fetch:
		for _, key := range a.Keys {
			if x := r.acceptor.Get(key); x.Accepted != (Ballot{}) {
				x.Value = *r.bare(&x.Value, a.Apart)
				t.Register = append(t.Register, x)
			}
		}
	}
	return t, r.take()
}

func (r *Replica) answerAccept(now time.Time, a *Ask, t *Tell) {
	v := a.Value
	if t.Head = r.acceptor.Get(a.Key).Head; a.Ballot.Compare(t.Head.Promised) < 0 {
		return
	}
	if v == nil {
		held := r.acceptor.Get(a.Key)
		if held.Accepted != a.Same && held.Accepted != a.Ballot {
			t.Lacks = true
			return
		}
		v = &held.Value
	}
	v, ok := r.whole(v)
	if !ok {
		if r.wants(now, a.From.Addr, a.Value.Bare) {
			t.Wants = a.Value.Bare
		}
		return
	}
	var changed bool
	if t.Granted, changed = r.acceptor.Accept(a.Key, a.Ballot, *v); changed {
		r.keep(a.Key)
	}
	t.Head = r.acceptor.Get(a.Key).Head
}

// Told hears the answer to an ask, from the other that was asked.
func (r *Replica) Told(now time.Time, t *Tell) Out {
	p := r.peers[t.From.Addr]
	if p == nil {
		return r.take()
	}
	p.member, p.heard, p.epoch, p.apart = t.From, now, t.Epoch, t.Apart
	p.leaves = t.Leaves
	if t.Set != nil {
		r.adopt(now, t.Set)
	}
	if len(t.Body) > 0 {
		r.came(now, t.Body)
	}
	if t.Behind || t.Epoch != r.set.Epoch {
		return r.take()
	}
	for _, x := range t.Register {
		v, ok := r.whole(&x.Value)
		if !ok {
			r.fetchBody(now, p, x.Value.Bare)
			continue
		}
		x.Value = *v
		if r.mend(x) && r.Lease(now) == 0 {
			r.looked = time.Time{} // what was missing for a lease, perhaps
		}
	}
	if r.look != nil && r.look.id == t.ID {
		r.sighted(now, p, t)
	}
	for _, o := range r.orders {
		if o.id == t.ID {
			r.voted(now, o, p, t)
			break
		}
	}
	return r.take()
}

// voted takes the answer of one that was asked for a round.
func (r *Replica) voted(now time.Time, o *round, p *peer, t *Tell) {
	switch {
	case t.Lacks:
		r.ask(p, Ask{ID: o.id, Query: Accept, Key: o.key, Ballot: o.ballot, Value: r.bare(o.value, p.apart)})
		return
	case t.Wants != 0:
		if text, ok := r.body(t.Wants); ok {
			r.ask(p, Ask{Query: Give, Body: text})
			r.ask(p, Ask{ID: o.id, Query: Accept, Key: o.key, Ballot: o.ballot, Value: r.bare(o.value, p.apart)})
		}
		return
	case !t.Granted:
		if t.Head.Promised.Compare(o.ballot) > 0 {
			o.highest = max(o.highest, t.Head.Promised.Round)
			o.refused[t.From.Disk] = true
			if !r.set.Reached(func(disk string) bool { return !o.refused[disk] }) {
				r.step(now, o, resting)
			}
		}
		return
	}
	if o.phase != accepting && t.Value != nil && t.Head.Accepted.Compare(o.best.Accepted) > 0 {
		v, ok := r.whole(t.Value)
		if !ok { // its vote counts once that is here
			r.fetchBody(now, p, t.Value.Bare)
			return
		}
		o.best = Register{t.Head, *v}
	}
	o.votes[t.From.Disk] = t.Head
	r.counted(now, o)
}

// counted goes on with a round once a quorum has answered.
func (r *Replica) counted(now time.Time, o *round) {
	if !r.set.Reached(func(disk string) bool { _, ok := o.votes[disk]; return ok }) {
		return
	}
	switch o.phase {
	case collecting:
		// What a quorum has accepted at one ballot is chosen, and this process may know it otherwise. Else it may be or not: it is
		// decided anew.
		if r.chosen[o.key].Accepted.Compare(o.best.Accepted) >= 0 ||
			r.set.Reached(func(disk string) bool { h, ok := o.votes[disk]; return ok && h.Accepted == o.best.Accepted }) {
			for i := range o.orders {
				o.orders[i].end = Result{Outcome: Done}
			}
			if o.best.Accepted != (Ballot{}) {
				r.mend(o.best)
				r.note(now, o.best)
			}
			r.end(now, o)
			return
		}
		r.step(now, o, preparing)
	case preparing:
		r.apply(now, o)
	case accepting:
		if r.set.Joint() {
			r.sealed[o.key] = true
		}
		r.note(now, Register{Head{o.key, o.ballot, o.ballot}, *o.value})
		r.spread(Head{Key: o.key, Accepted: o.ballot})
		r.end(now, o)
	}
}

// apply has the orders of a round change what may be chosen already, and the result accepted. Orders that came meanwhile join, unless
// nothing is to be accepted: the promises were made before they came, and say nothing of what was chosen since.
func (r *Replica) apply(now time.Time, o *round) {
	asked := len(o.orders)
	o.orders = append(o.orders, r.waiting[o.key]...)
	delete(r.waiting, o.key)
	var held *Value
	if o.best.Accepted != (Ballot{}) {
		held = &o.best.Value
	}
	o.anew = false
	for i := range o.orders {
		x := &o.orders[i]
		if x.change.Kind == Succeed && x.change.Set.Epoch != r.set.Epoch+1 {
			if x.end.Outcome = Conflict; x.change.Set.equal(&r.set) {
				x.end.Outcome = Done
			}
			continue
		}
		next, end := x.change.Apply(held)
		x.end = Result{Outcome: end, Altered: next != held || x.change.applied(held)}
		if next != held && next.Stamp.By != "" {
			x.change.Tried = append(x.change.Tried, next.Stamp)
		}
		o.anew, held = o.anew || next != held, next
	}
	if held == nil { // nothing is chosen, and nothing is to be: who promised will not hear of a lower ballot
		if r.set.Joint() {
			r.sealed[o.key] = true
		}
		r.waiting[o.key], o.orders = slices.Clone(o.orders[asked:]), o.orders[:asked]
		r.end(now, o)
		return
	}
	o.value = held
	r.step(now, o, accepting)
}

// end ends a round: its orders have their results.
func (r *Replica) end(now time.Time, o *round) {
	delete(r.orders, o.key)
	var v *Value
	if x, ok := r.chosen[o.key]; ok {
		v = &x.Value
	}
	for _, x := range o.orders {
		if x.id != 0 {
			x.end.Order, x.end.Value = x.id, v
			r.out.Results = append(r.out.Results, x.end)
		}
	}
	r.begin(now, o.key)
}

// note takes that a register is chosen.
func (r *Replica) note(now time.Time, x Register) {
	if old, ok := r.chosen[x.Key]; ok && old.Accepted.Compare(x.Accepted) >= 0 {
		return
	}
	r.chosen[x.Key] = x
	delete(r.stuck, x.Key)
	r.out.News = true
	if x.Key == SetKey {
		r.adopt(now, x.Value.Set)
	}
	r.satisfied(now)
}

// learn takes that what was accepted at a ballot is chosen, if it is held.
func (r *Replica) learn(now time.Time, key string, b Ballot) {
	if x := r.acceptor.Get(key); x.Accepted == b && b != (Ballot{}) {
		r.note(now, x)
	}
}

// spread tells everybody what was chosen.
func (r *Replica) spread(h Head) {
	for _, addr := range r.Peers() {
		r.ask(r.peers[addr], Ask{Query: Chosen, Heads: []Head{h}})
	}
}

// fetch asks another for registers.
func (r *Replica) fetch(addr string, keys ...string) {
	if p := r.peers[addr]; p != nil && len(keys) > 0 {
		r.ask(p, Ask{Query: Fetch, Keys: keys})
	}
}

// mend accepts what another has accepted, if it is newer, and tells whether it did.
func (r *Replica) mend(x Register) bool {
	if x.Accepted == (Ballot{}) || r.acceptor.Get(x.Key).Accepted.Compare(x.Accepted) >= 0 {
		return false
	}
	_, changed := r.acceptor.Accept(x.Key, x.Accepted, x.Value)
	if changed {
		r.keep(x.Key)
	}
	return changed
}

// adopt is the one function that changes the set gone by. Only what was chosen is ever told as a set.
func (r *Replica) adopt(now time.Time, s *Set) {
	if s == nil || s.Epoch <= r.set.Epoch || len(s.Members) == 0 {
		return
	}
	r.set = *s
	set := r.set
	r.out.Set, r.out.News = &set, true
	r.look, r.looked = nil, time.Time{} // a lease stays: it is about a moment before
	r.told = nil
	clear(r.sealed)
	for _, m := range r.set.All() {
		r.Meet(m.Addr)
	}
	for _, key := range slices.Sorted(maps.Keys(r.orders)) {
		r.step(now, r.orders[key], resting)
		r.orders[key].due, r.orders[key].tries = now, 0
	}
}

// Tick does what is due.
func (r *Replica) Tick(now time.Time) Out {
	for _, key := range slices.Sorted(maps.Keys(r.orders)) {
		o := r.orders[key]
		o.orders = r.late(now, o.orders)
		switch {
		case len(o.orders) == 0:
			delete(r.orders, key)
			r.begin(now, key)
		case o.phase == resting:
			if !now.Before(o.due) {
				r.step(now, o, preparing)
			}
		case now.Sub(o.sent) >= resend && len(o.refused) > 0:
			r.step(now, o, resting)
		case now.Sub(o.sent) >= resend:
			r.send(now, o)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(r.waiting)) {
		r.waiting[key] = r.late(now, r.waiting[key])
	}
	if now.Sub(r.looked) >= r.lookEvery(now) {
		r.beginLook(now)
	}
	r.unstick(now)
	return r.take()
}

// late gives those orders whose time is not over; what became of the others is unclear.
func (r *Replica) late(now time.Time, orders []order) []order {
	return slices.DeleteFunc(orders, func(x order) bool {
		over := !now.Before(x.by)
		if over && x.id != 0 {
			r.out.Results = append(r.out.Results, Result{Order: x.id, Outcome: Unclear})
		}
		return over
	})
}

// lookEvery is the time between two looks.
func (r *Replica) lookEvery(now time.Time) time.Duration {
	slow := min(r.Paced(lookSlow), r.settings.Lease/slowPart)
	if r.set.Holder == r.me.Disk || r.Lease(now) < slow {
		return r.often()
	}
	return slow
}

// often is the time between two looks where much depends on them.
func (r *Replica) often() time.Duration { return min(r.Paced(lookOften), r.settings.Lease/oftenPart) }

// Due is when a tick is wanted next.
func (r *Replica) Due(now time.Time) time.Time {
	due := now.Add(r.often())
	if r.looked.IsZero() {
		due = now
	}
	for _, o := range r.orders {
		at := o.sent.Add(resend)
		if o.phase == resting {
			at = o.due
		}
		if at.Before(due) {
			due = at
		}
	}
	return due
}

// place is how many disks of the set come before this one.
func (r *Replica) place() int {
	all := r.set.All()
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Disk, b.Disk) })
	i := slices.IndexFunc(all, func(m Member) bool { return m.Disk == r.me.Disk })
	if i < 0 {
		return len(all)
	}
	return i
}
