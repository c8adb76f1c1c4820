package explore

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"whinknot/internal/keeper"
	"whinknot/internal/lamp"
	"whinknot/internal/tide"
)

const (
	beatEvery   = 500 * time.Millisecond // a lighthouse's to its keeper
	wordEvery   = 800 * time.Millisecond // a lighthouse's to each pilot
	talkEvery   = time.Second            // a pilot's to the one it watches
	silentAfter = 2200 * time.Millisecond
	patienceFor = 5 * time.Second // of a pilot without a word of anybody with contact
	linksOf     = 2               // lighthouses that a pilot is connected to
)

// shores are the lighthouses and pilots of a run: the real lamp.Contact beside each keeper, the real lamp.Chartroom in each pilot. They draw
// from a lot of their own, so that a run of the keepers alone is the same with them and without.
type shores struct {
	w      *world
	lot    *rand.Rand
	lights []*light
	pilots []*pilot
}

// light is the lighthouse of a place. Its keeper's process may be another than its own life began with.
type light struct {
	at      *place
	life    int // 0 while it is down
	contact *lamp.Contact
	known   bool // its keeper had a lease once, so that it tells what it knows
	keeper  *process
	last    *keeper.InForce // that its keeper told it
	free    time.Duration   // what was said on the connection between the two has come by then
	waits   []func()        // what has come while it was frozen
	alone   int             // its process alone is frozen
	trap    time.Duration   // for so long, as soon as its next beat has left
}

// pilot holds connections to some lighthouses.
type pilot struct {
	name   string
	life   int
	frozen int
	room   *lamp.Chartroom
	heard  map[int]time.Duration // by place, while it is connected
	lives  map[int]int           // of the lighthouse there
	cut    map[int]int           // places that it does not reach
	queue  []func()
	held   uint64 // version gone by in this life
	zones  map[string]tide.Stamp
}

func (w *world) shore(pilots int) {
	s := &shores{w: w, lot: rand.New(rand.NewPCG(w.plan.Seed, 11))}
	w.shores = s
	for range pilots {
		p := &pilot{name: fmt.Sprintf("p%d", len(s.pilots)), cut: map[int]int{}}
		s.pilots = append(s.pilots, p)
		w.after(s.upTo(time.Second), func() { s.begin(p) })
		s.every(talkEvery, func() { s.talk(p) })
	}
	s.every(50*time.Millisecond, s.step)
	for range 1 + s.lot.IntN(6) { // troubles of their own
		p, at, d := s.pilots[s.lot.IntN(len(s.pilots))], s.upTo(w.plan.End), s.upTo(w.plan.End/2)
		switch s.lot.IntN(5) {
		case 0:
			w.at(at, func() { s.begin(p) })
		case 1:
			w.at(at, func() {
				p.frozen++
				w.after(d, func() { s.thaw(p) })
			})
		case 2:
			n := 1 + s.lot.IntN(w.plan.Machines)
			for _, i := range s.lot.Perm(w.plan.Machines)[:n] {
				w.at(at, func() {
					p.cut[i]++
					w.after(d, func() { p.cut[i] = max(p.cut[i]-1, 0) })
				})
			}
		case 3: // a lighthouse's process alone
			i := s.lot.IntN(w.plan.Machines)
			w.at(at, func() {
				if l := s.light(i); l != nil {
					l.life = 0
				}
			})
		case 4: // it stands still between a beat and its answer
			i := s.lot.IntN(w.plan.Machines)
			w.at(at, func() {
				if l := s.light(i); l != nil {
					l.trap = d
				}
			})
		}
	}
}

func (s *shores) upTo(d time.Duration) time.Duration {
	return time.Duration(s.lot.Int64N(int64(d) + 1))
}

// every runs f every so often, up to the end.
func (s *shores) every(d time.Duration, f func()) {
	s.w.after(d/2+s.upTo(d), func() {
		f()
		s.every(d, f)
	})
}

func (s *shores) light(i int) *light {
	if i < len(s.lights) {
		return s.lights[i]
	}
	return nil
}

// step follows the places: a lighthouse lives while its keeper's machine does, and hears its keeper anew after either's start.
func (s *shores) step() {
	w := s.w
	for len(s.lights) < len(w.places) {
		l := &light{at: w.places[len(s.lights)]}
		s.lights = append(s.lights, l)
		s.every(beatEvery, func() { s.beat(l) })
		s.every(wordEvery, func() { s.say(l) })
	}
	for _, l := range s.lights {
		s.drain(l)
		switch {
		case l.at.proc == nil:
			l.life, l.keeper = 0, nil
		case l.still():
			s.tell(l)
		case l.life == 0 || l.keeper != l.at.proc:
			if l.life == 0 {
				w.lives++
				l.life, l.contact = w.lives, lamp.NewContact()
			}
			l.keeper, l.last, l.known = l.at.proc, nil, false
			l.contact.Lost(w.time())
			s.beat(l)
		default:
			s.tell(l)
		}
	}
	for _, p := range s.pilots {
		if p.room != nil && p.frozen == 0 {
			s.follow(p)
		}
	}
}

// later has a lighthouse hear something of its own machine after a moment and in order, unless either's life is over; while it is frozen it
// waits.
func (s *shores) later(l *light, do func()) {
	life, p := l.life, l.keeper
	l.free = max(l.free, s.w.now+s.upTo(time.Millisecond)) + time.Nanosecond
	s.w.at(l.free, func() {
		l.waits = append(l.waits, func() {
			if l.life == life && l.keeper == p && l.at.proc == p {
				do()
			}
		})
		s.drain(l)
	})
}

func (l *light) still() bool { return l.at.frozen > 0 || l.alone > 0 }

// drain has a lighthouse take what has come, if it is not frozen.
func (s *shores) drain(l *light) {
	for len(l.waits) > 0 && !l.still() {
		do := l.waits[0]
		l.waits = l.waits[1:]
		do()
	}
}

// tell has a lighthouse hear what its keeper knows, if that is other than what it told last.
func (s *shores) tell(l *light) {
	p, now := l.keeper, s.w.time()
	if p == nil || l.life == 0 || p != l.at.proc || p.busy || l.at.frozen > 0 {
		return
	}
	settled := !p.mute && p.Lease(now) > 0
	f := &keeper.InForce{Epoch: p.Set().Epoch}
	if l.known = l.known || settled; l.known {
		f, _ = keeper.Tell(settled, p.Set().Epoch, p.Chosen()) // removals are no lists here
	}
	if f.Same(l.last) {
		return
	}
	l.last = f
	s.later(l, func() { s.hear(l, &keeper.Word{InForce: f}) })
}

// beat asks the keeper; its answer comes with what it knows then before it.
func (s *shores) beat(l *light) {
	if l.life == 0 || l.keeper == nil || l.still() || l.keeper != l.at.proc {
		return
	}
	id, p := l.contact.Beat(s.w.time()), l.keeper
	if d := l.trap; d > 0 {
		l.trap = 0
		l.alone++
		s.w.after(d, func() {
			l.alone = max(l.alone-1, 0)
			s.drain(l)
		})
	}
	s.later(l, func() {
		p.input(func() {
			if p.busy || p.at.proc != p {
				return
			}
			s.tell(l)
			word := &keeper.Word{Beat: id}
			if !p.mute {
				word.Lease = p.Lease(s.w.time())
			}
			s.later(l, func() { s.hear(l, word) })
		})
	})
}

// hear has a lighthouse take a word of its keeper.
func (s *shores) hear(l *light, word *keeper.Word) {
	news, again := l.contact.Heard(s.w.time(), word)
	if news {
		s.say(l)
	}
	if again {
		s.beat(l)
	}
}

// say has a lighthouse tell all pilots that are connected what is in force, if it may speak.
func (s *shores) say(l *light) {
	w := s.w
	if l.life == 0 || l.still() || l.at.proc == nil {
		return
	}
	d := &lamp.Down{Sighted: w.time().Before(l.contact.Until())}
	if d.Sighted {
		d.InForce = l.contact.InForce()
		w.spoken(l, d.InForce)
	}
	for _, p := range s.pilots {
		if p.lives[l.at.index] == l.life {
			s.send(l, p, d)
		}
	}
}

// send carries a word to a pilot: late perhaps, never over a connection that has ended.
func (s *shores) send(l *light, p *pilot, d *lamp.Down) {
	i, life, lights := l.at.index, p.life, l.life
	s.w.after(time.Millisecond+s.upTo(s.w.slow), func() {
		if p.cut[i] > 0 {
			return
		}
		s.input(p, life, func() {
			if p.lives[i] == lights {
				p.heard[i] = s.w.now
				p.room.Hear(s.w.time(), l.at.addr, d)
			}
		})
	})
}

// input has a pilot take an input, once it is not frozen.
func (s *shores) input(p *pilot, life int, f func()) {
	switch {
	case p.life != life:
	case p.frozen > 0:
		p.queue = append(p.queue, func() { s.input(p, life, f) })
	default:
		f()
		s.w.goes(p)
	}
}

func (s *shores) thaw(p *pilot) {
	if p.frozen == 0 {
		return // all trouble has ended meanwhile
	}
	if p.frozen--; p.frozen == 0 {
		queue := p.queue
		p.queue = nil
		for _, f := range queue {
			f()
		}
	}
}

// begin starts a pilot anew.
func (s *shores) begin(p *pilot) {
	s.w.lives++
	p.life, p.queue = s.w.lives, nil
	p.room = lamp.NewChartroom(s.w.time(), lamp.Bounds{Keep: 5 * time.Second, Patience: patienceFor})
	p.heard, p.lives, p.held, p.zones = map[int]time.Duration{}, map[int]int{}, 0, map[string]tide.Stamp{}
}

// connected are the places of the lighthouses that a pilot is connected to, in order, so that the same seed gives the same run.
func (p *pilot) connected() []int { return slices.Sorted(maps.Keys(p.heard)) }

// follow drops lighthouses that are silent or gone, and connects to others: those with contact stay.
func (s *shores) follow(p *pilot) {
	w := s.w
	for _, i := range p.connected() {
		if w.now-p.heard[i] > silentAfter || s.lights[i].life != p.lives[i] {
			delete(p.heard, i)
			delete(p.lives, i)
			p.room.Lose(w.time(), s.lights[i].at.addr)
		}
	}
	most := linksOf
	if !slices.ContainsFunc(s.lights, func(l *light) bool { _, ok := p.heard[l.at.index]; return ok && p.room.Sighted(l.at.addr) }) {
		most = len(s.lights)
	}
	for _, i := range s.lot.Perm(len(s.lights)) {
		l := s.lights[i]
		if _, ok := p.heard[i]; ok || len(p.heard) >= most || l.life == 0 || l.still() || l.at.proc == nil || p.cut[i] > 0 || w.deaf[i] > 0 {
			continue
		}
		p.heard[i], p.lives[i] = w.now, l.life
		s.say(l)
	}
	if p.room.Asks(w.time()) {
		for _, i := range p.connected() {
			l := s.lights[i]
			if f := l.contact.InForce(); f != nil && !w.time().Before(l.contact.Until()) {
				u := *f
				u.Settled = false
				s.send(l, p, &lamp.Down{InForce: &u})
			}
		}
	}
	p.room.Due(w.time())
	w.goes(p)
}

// talk has a pilot hear another one.
func (s *shores) talk(p *pilot) {
	q := s.pilots[s.lot.IntN(len(s.pilots))]
	if p == q || p.room == nil || q.room == nil || p.frozen > 0 || q.frozen > 0 || s.lot.IntN(3) == 0 {
		return
	}
	f, life := q.room.InForce(), p.life
	s.w.after(s.upTo(100*time.Millisecond), func() {
		s.input(p, life, func() { p.room.Ordered(lamp.Pilot, f) })
	})
}

// spoken looks at what a lighthouse says under a lease: nothing older than what was acknowledged a lease before.
func (w *world) spoken(l *light, f *keeper.InForce) {
	stamps := map[string]uint64{"config": f.Version, "removals": f.Removed.Number}
	for _, e := range f.Evacuations {
		stamps["evacuation/"+e.Zone] = e.Stamp.Number
	}
	for key, fs := range w.floors {
		i := len(fs) - 1
		for i >= 0 && fs[i].at > w.now-leaseFor {
			i--
		}
		if i >= 0 && stamps[key] < fs[i].number {
			w.fault("old light: the lighthouse of m%d says %s of number %d, %d was acknowledged at %v", l.at.index, key, stamps[key], fs[i].number, fs[i].at)
		}
	}
}

// goes looks at what a pilot goes by: never an older order than before in its life, and one content a number.
func (w *world) goes(p *pilot) {
	body, version := p.room.Config()
	if version < p.held {
		w.fault("pilot back: %s goes by %d after %d", p.name, version, p.held)
	}
	p.held = version
	if version > 0 {
		w.force("config", &tide.Value{Stamp: tide.Stamp{Number: version}, Body: body}, p.name)
	}
	for _, e := range p.room.InForce().Evacuations {
		if e.Stamp.Compare(p.zones[e.Zone]) < 0 {
			w.fault("pilot back: %s goes by %v of %s after %v", p.name, e.Stamp, e.Zone, p.zones[e.Zone])
		}
		p.zones[e.Zone] = e.Stamp
	}
}

// lit tells whether all pilots go by what the keepers hand out, for certain.
func (s *shores) lit(now []tide.Register) bool {
	f, _ := keeper.Tell(true, 0, now)
	for _, p := range s.pilots {
		g := p.room.InForce()
		if p.room.Standing() != lamp.Certain || g.Version != f.Version || g.Removed != f.Removed || !slices.Equal(g.Evacuations, f.Evacuations) {
			return false
		}
	}
	return true
}

// stand tells how the pilots stand.
func (s *shores) stand() (all string) {
	for _, p := range s.pilots {
		_, version := p.room.Config()
		all += fmt.Sprintf(" %s life=%d %v version=%d frozen=%d connected=%v;", p.name, p.life, p.room.Standing(), version, p.frozen, p.lives)
	}
	return all
}

// settle ends the troubles of lighthouses and pilots.
func (s *shores) settle() {
	for _, l := range s.lights {
		l.alone, l.trap = 0, 0
	}
	for _, p := range s.pilots {
		clear(p.cut)
		for p.frozen > 0 {
			s.thaw(p)
		}
		if p.room == nil {
			s.begin(p)
		}
	}
}
