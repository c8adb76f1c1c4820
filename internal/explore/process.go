package explore

import (
	"time"

	"whinknot/internal/helm"
	"whinknot/internal/tide"
)

// core is what a carrier plays: a replica, and the duty over it.
type core interface {
	Tick(now time.Time) tide.Out
	Order(now time.Time, id uint64, c tide.Change) tide.Out
	Answer(now time.Time, a *tide.Ask) (tide.Tell, tide.Out)
	Told(now time.Time, t *tide.Tell) tide.Out
	Resign(now time.Time) (tide.Out, string)
	Leave(now time.Time) tide.Out
	Spared(now time.Time) bool
	Renewed(now time.Time, addr string) tide.Out
	Meet(addr string)
	Peers() []string
	Me() tide.Member
	Set() tide.Set
	Chosen() []tide.Register
	Acceptor() *tide.Acceptor
	Lease(now time.Time) time.Duration
	Due(now time.Time) time.Time
	State() helm.State
}

// machines are the real ones.
type machines struct {
	*tide.Replica
	duty *helm.Machine
}

func (m *machines) Tick(now time.Time) tide.Out             { return m.duty.Tick(now) }
func (m *machines) Resign(now time.Time) (tide.Out, string) { return m.duty.Resign(now) }
func (m *machines) State() helm.State                       { return m.duty.State() }
func (m *machines) Due(now time.Time) time.Time             { return m.duty.Due(now) }

// hooks alter the carrier or wrap the machines, so that a fault can be planted from a test. All may be nil.
type hooks struct {
	wrap     func(c core) core
	restart  func(set *tide.Set, held []tide.Register) []tide.Register
	keep     func(me string, out *tide.Out) // before it goes to the disk
	send     func(a *tide.Ask)              // as it leaves
	tell     func(a *tide.Ask, t *tide.Tell)
	early    bool // answers leave before the disk has synced
	states   func(digest uint64)
	oldName  bool // an emptied disk has its old name
	careless bool // a write that the disk did not take counts as done
}

// process is one life of a keeper: it takes one input at a time, and takes no other until what follows from it is on disk.
type process struct {
	core
	at     *place
	life   int
	busy   bool // the disk syncs
	mute   bool // the disk did not take a write
	queue  []func()
	tick   time.Duration // when the next one comes
	orders map[uint64]func(tide.Result)
	lastID uint64
	lease  time.Time // as last looked at
}

// input has the process take an input, now or once it may.
func (p *process) input(f func()) {
	w := p.at.w
	switch {
	case p.at.proc != p:
	case p.busy || p.at.frozen > 0:
		if len(p.queue) < 4096 {
			p.queue = append(p.queue, f)
		}
	default:
		f()
		w.seen(p)
		if w.hooks.states != nil {
			w.hooks.states(w.digest())
		}
		p.wake()
	}
}

// drain takes the inputs that waited.
func (p *process) drain() {
	for len(p.queue) > 0 && !p.busy && p.at.frozen == 0 && p.at.proc == p {
		f := p.queue[0]
		p.queue = p.queue[1:]
		p.input(f)
	}
}

// wake has a tick come when it is due.
func (p *process) wake() {
	w := p.at.w
	due := w.now + max(min(p.Due(w.time()).Sub(w.time()), pulse), time.Millisecond)
	if p.tick > w.now && p.tick <= due {
		return
	}
	p.tick = due
	w.after(due-w.now, func() {
		if p.tick == due && p.at.proc == p {
			p.tick = 0
			p.input(p.ticked)
		}
	})
}

func (p *process) ticked() {
	if p.mute {
		set := p.Set()
		p.commit(write{p.Acceptor().All(), &set}, func() { p.mute = false })
		return
	}
	p.act(p.Tick(p.at.w.time()), nil)
}

// act does what follows from an input, once it is on disk.
func (p *process) act(out tide.Out, also func()) {
	w := p.at.w
	if w.hooks.keep != nil {
		w.hooks.keep(p.Me().Disk, &out)
	}
	say := func() {
		if also != nil {
			also()
		}
		for i := range out.Asks {
			w.ask(p, out.Asks[i])
		}
		for _, r := range out.Results {
			if then := p.orders[r.Order]; then != nil {
				delete(p.orders, r.Order)
				then(r)
			}
		}
		if out.News {
			w.news(p)
		}
	}
	if len(out.Keep) == 0 && out.Set == nil {
		say()
		return
	}
	if w.hooks.early {
		p.commit(write{out.Keep, out.Set}, func() {})
		say()
		return
	}
	p.commit(write{out.Keep, out.Set}, say)
}

// commit writes and syncs; nothing else is taken meanwhile. If the disk does not take it, the process is mute.
func (p *process) commit(x write, then func()) {
	w := p.at.w
	if p.at.full > 0 && w.hooks.careless {
		then()
		return
	}
	if p.at.full > 0 {
		p.mute = true
		clear(p.orders)
		return
	}
	p.at.disk.write(x)
	p.busy = true
	w.after(w.syncTime(p.at), func() { p.synced(then) })
}

func (p *process) synced(then func()) {
	w := p.at.w
	if p.at.proc != p {
		return
	}
	if p.at.stalled > 0 {
		w.after(20*time.Millisecond, func() { p.synced(then) })
		return
	}
	p.at.disk.sync()
	if p.at.frozen > 0 { // it hears of it later
		p.queue = append([]func(){then}, p.queue...)
		p.busy = false
		return
	}
	p.busy = false
	then()
	w.seen(p)
	p.wake()
	p.drain()
}
