package explore

import (
	"slices"
	"time"
)

// loss is a disk that was lost.
type loss struct {
	disk string
	at   time.Duration
	met  bool // it was in the newest set, or in one under way
}

// Kinds are the troubles that are drawn, by the names of the bench, each as often as it stands here.
var kinds = []string{
	"node_kill", "node_kill", "node_freeze", "node_freeze", "herd_kill", "replace_core", "after_ack_kill", "after_ack_kill", "after_ack_wipe",
	"after_ack_wipe", "node_wipe", "core_cut", "core_cut", "core_part", "pair_cut", "node_cut", "zone_loss", "disk_slow", "disk_full", "disk_stall",
	"reset_conns", "ack_lost", "roll_term", "link_loss", "link_slow", "link_twice", "clock_step",
}

// hows are their kinds, where there are several.
var hows = map[string][]string{
	"node_kill": {"", "power"}, "herd_kill": {"", "power"}, "replace_core": {"", "planned"}, "after_ack_kill": {"", "power"},
	"core_cut": {"", "one_way", "other_way"},
}

// strike begins a trouble, and has it end.
func (w *world) strike(t Trouble) {
	m := w.places[t.Who%len(w.places)]
	switch t.Kind {
	case "node_kill":
		w.strikeDown(m, t.How == "power", t.For)
	case "herd_kill":
		for _, m := range w.places {
			w.strikeDown(m, t.How == "power", w.upTo(t.For))
		}
	case "zone_loss":
		for _, x := range w.places {
			if x.zone == m.zone {
				w.strikeDown(x, true, t.For)
			}
		}
	case "node_freeze":
		w.bound(&m.frozen, t.For, func() { w.thaw(m) })
	case "node_wipe":
		w.wipe(m, t.For)
	case "after_ack_kill", "after_ack_wipe":
		w.after1 = append(w.after1, func(who *place) { w.afterAck(t, who) })
	case "replace_core":
		w.replaceCore(m, t)
	case "link_cut":
		other := t.Count % len(w.places)
		w.part(t, func(i, j int) bool { return i != j && (i == m.index && j == other || j == m.index && i == other) })
	case "roll_term":
		w.term(m, func() { w.after(w.upTo(t.For), m.begin) })
	case "core_cut":
		w.part(t, func(i, j int) bool {
			return i != j && (i == m.index && t.How != "other_way" || j == m.index && t.How != "one_way")
		})
	case "node_cut":
		w.part(t, func(i, j int) bool { return i != j && (i == m.index || j == m.index) })
		w.bound(&w.deaf[m.index], t.For, nil)
	case "core_part":
		side := w.lot.Uint32()
		w.part(t, func(i, j int) bool { return side>>i&1 != side>>j&1 })
	case "pair_cut": // some of the links, and not others
		w.part(t, func(i, j int) bool { return i != j && w.chance(300) })
	case "disk_slow":
		old := m.drag
		m.drag = 20*time.Millisecond + w.upTo(400*time.Millisecond)
		w.after(t.For, func() { m.drag = old })
	case "disk_full":
		w.bound(&m.full, t.For, nil)
	case "disk_stall":
		w.bound(&m.stalled, t.For, nil)
	case "reset_conns":
		w.reset(m)
	case "ack_lost":
		w.bound(&w.mutely, t.For, nil)
	case "link_loss":
		w.lend(&w.lossy, 20+w.lot.IntN(300), t.For)
	case "link_twice":
		w.lend(&w.twice, 20+w.lot.IntN(300), t.For)
	case "link_slow":
		old := w.slow
		w.slow = w.upTo(80 * time.Millisecond)
		w.after(t.For, func() { w.slow = max(old, 2*time.Millisecond) })
	case "clock_step": // the machines go by the steady clock
	}
}

// bound has a trouble count for a while.
func (w *world) bound(n *int, d time.Duration, then func()) {
	*n++
	w.after(d, func() {
		if *n > 0 {
			*n--
		}
		if *n == 0 && then != nil {
			then()
		}
	})
}

// lend has a number stand for a while.
func (w *world) lend(n *int, to int, d time.Duration) {
	*n = to
	w.after(d, func() { *n = 0 })
}

// part has messages lost from some to others, while that is so for a pair.
func (w *world) part(t Trouble, from func(i, j int) bool) {
	for i := range w.places {
		for j := range w.places {
			if from(i, j) {
				w.bound(&w.cut[i][j], t.For, nil)
			}
		}
	}
}

// strikeDown ends a process, which starts again later.
func (w *world) strikeDown(m *place, dark bool, d time.Duration) {
	m.end(dark)
	w.after(d, m.begin)
}

// thaw has a process that stood still go on.
func (w *world) thaw(m *place) {
	m.frozen = 0
	if m.proc != nil {
		m.proc.drain()
	}
}

// reset breaks the connections of a machine: what is on its way is lost, and both sides connect again.
func (w *world) reset(m *place) {
	m.resets++
	for _, p := range w.live() {
		for _, addr := range p.Peers() {
			if p.at == m || addr == m.addr {
				p.input(func() { p.act(p.Renewed(w.time(), addr), nil) })
			}
		}
	}
}

// term asks a process to end: it names a successor first, and goes on until another disk has taken its place, if one waits, or its time is
// over.
func (w *world) term(m *place, then func()) {
	p := m.proc
	if p == nil {
		return
	}
	p.input(func() {
		if !p.mute {
			out, _ := p.Resign(w.time())
			p.act(out, nil)
		}
	})
	p.input(func() {
		if !p.mute {
			p.act(p.Leave(w.time()), nil)
		}
	})
	w.ends(p, w.now+graceFor, then)
}

// ends ends a process that leaves, once it is spared or by a time.
func (w *world) ends(p *process, by time.Duration, then func()) {
	w.after(50*time.Millisecond, func() {
		m := p.at
		switch {
		case m.proc != p || w.healed > 0:
		case m.frozen == 0 && (w.now >= by || !p.mute && !p.busy && p.Spared(w.time())):
			m.end(false)
			then()
		default:
			w.ends(p, by, then)
		}
	})
}

// wipe has a machine lose its disk, if the loss is within bounds, and come back empty at its old address.
func (w *world) wipe(m *place, d time.Duration) bool {
	if m.gone || !w.mayLose() {
		return false
	}
	w.loses(m)
	m.end(true)
	old := m.disk.name
	m.empty()
	if w.hooks.oldName {
		m.disk.name = old
	}
	w.after(d, m.begin)
	return true
}

// afterAck strikes the machine that has just acknowledged something, and others drawn by lot, within milliseconds.
func (w *world) afterAck(t Trouble, who *place) {
	hit := []*place{who}
	for _, i := range w.lots() {
		if len(hit) < t.Count && w.places[i] != who {
			hit = append(hit, w.places[i])
		}
	}
	w.after(w.upTo(4*time.Millisecond), func() {
		for _, m := range hit {
			if t.Kind == "after_ack_kill" {
				w.strikeDown(m, t.How == "power", t.For)
			} else if !w.wipe(m, t.For) {
				w.strikeDown(m, true, t.For)
			}
		}
	})
}

// replaceCore has a machine go for good, and an empty one come at another address; planned, that one comes first.
func (w *world) replaceCore(m *place, t Trouble) {
	if m.gone || len(w.places) >= mostPlaces || !w.mayLose() {
		return
	}
	w.loses(m)
	leave := func() {
		if w.healed == 0 {
			m.end(true)
			m.gone = true
		}
	}
	come := func() { w.build(len(w.places)).begin() }
	if t.How != "planned" {
		leave()
		w.after(t.For/2, come)
		return
	}
	come()
	w.after(t.For/2, func() {
		if m.proc == nil || m.frozen > 0 {
			leave()
			return
		}
		w.term(m, leave)
		w.after(2*graceFor, leave)
	})
}

// mayLose tells whether one more disk may be lost now: no more are at once than the platform says, and each one counts until a set
// without it, as large as must be, was chosen.
func (w *world) mayLose() bool {
	w.repaired()
	return len(w.lost) < w.plan.Losses
}

// loses notes the loss of a disk.
func (w *world) loses(m *place) {
	w.lost = append(w.lost, loss{m.disk.name, w.now, w.newest.Has(m.disk.name)})
}

// repaired looks which losses are made good: the newest set, not on its way to another, is without them and large enough.
func (w *world) repaired() {
	s := w.newest
	if s.Joint() {
		return
	}
	there := 0
	for _, x := range s.Members {
		if !slices.ContainsFunc(w.lost, func(l loss) bool { return l.disk == x.Disk }) {
			there++
		}
	}
	w.lost = slices.DeleteFunc(w.lost, func(l loss) bool {
		if s.Has(l.disk) || there < 2*w.plan.Losses+1 || !l.met && w.now-l.at < 2*time.Second {
			return false
		}
		if l.met {
			w.report.Whole = append(w.report.Whole, w.now-l.at)
		}
		return true
	})
}
