package explore

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"whinknot/internal/tide"
)

// op is one try of an order: when it was called, and what came back, if anything did.
type op struct {
	order    Order
	to       int
	change   tide.Change
	called   time.Duration
	returned time.Duration
	result   tide.Result // its outcome is 0 while none is known
}

// floor is what an operator was told by a time.
type floor struct {
	at     time.Duration
	number uint64
}

// history is what was seen from outside.
type history struct {
	ops    []*op
	read   map[string]tide.Stamp // what an operator was told last, by key
	floors map[string][]floor    // by key, rising
	forced map[string]map[tide.Stamp]string
	upto   map[string]map[tide.Ballot]tide.Stamp
	sets   map[uint64]*tide.Set // that were chosen, by epoch
	newest *tide.Set
}

func newHistory() history {
	return history{
		read: map[string]tide.Stamp{}, floors: map[string][]floor{}, forced: map[string]map[tide.Stamp]string{},
		upto: map[string]map[tide.Ballot]tide.Stamp{}, sets: map[uint64]*tide.Set{},
	}
}

// keys are those that were ordered.
func (w *world) keys() []string {
	var out []string
	for _, o := range w.ops {
		if !slices.Contains(out, o.order.Key) {
			out = append(out, o.order.Key)
		}
	}
	slices.Sort(out)
	return out
}

// answered notes what an operator was answered.
func (w *world) answered(x *op, r tide.Result) {
	x.returned, x.result = w.now, r
	w.report.Orders++
	if r.Value == nil {
		return
	}
	key := x.order.Key
	w.force(key, r.Value, "an answer")
	if fs := w.floors[key]; len(fs) == 0 || fs[len(fs)-1].number < r.Value.Stamp.Number {
		w.floors[key] = append(fs, floor{w.now, r.Value.Stamp.Number})
	}
	w.read[key] = r.Value.Stamp
}

// force notes that a value is in force: one content has a stamp.
func (w *world) force(key string, v *tide.Value, where string) {
	all := w.forced[key]
	if all == nil {
		all = map[tide.Stamp]string{}
		w.forced[key] = all
	}
	if old, ok := all[v.Stamp]; ok && old != string(v.Body) {
		w.fault("two contents: %s %v is %q and, by %s, %q", key, v.Stamp, old, where, v.Body)
	}
	all[v.Stamp] = string(v.Body)
}

// news looks at all that a keeper knows to be chosen, and at its set.
func (w *world) news(p *process) {
	for _, r := range p.Chosen() {
		if r.Value.Set == nil {
			w.force(r.Key, &r.Value, p.Me().Disk)
		}
		at := w.upto[r.Key]
		if at == nil {
			at = map[tide.Ballot]tide.Stamp{}
			w.upto[r.Key] = at
		}
		if old, ok := at[r.Accepted]; ok {
			if old != r.Value.Stamp {
				w.fault("two values: at one ballot of %s: %v and %v", r.Key, old, r.Value.Stamp)
			}
			continue
		}
		at[r.Accepted] = r.Value.Stamp
		for b, stamp := range at {
			if c := b.Compare(r.Accepted); c < 0 && stamp.Compare(r.Value.Stamp) > 0 || c > 0 && stamp.Compare(r.Value.Stamp) < 0 {
				w.fault("went back: %s: %v at %v, %v at %v", r.Key, stamp, b, r.Value.Stamp, r.Accepted)
			}
		}
	}
	set := p.Set()
	w.chose(&set)
}

// chose notes a set that was chosen.
func (w *world) chose(s *tide.Set) {
	if s.Epoch == 0 {
		return
	}
	old, ok := w.sets[s.Epoch]
	if !ok {
		w.sets[s.Epoch] = s
		if s.Epoch > w.newest.Epoch {
			w.newest = s
			w.repaired()
		}
		for _, e := range []uint64{s.Epoch, s.Epoch + 1} {
			if a, b := w.sets[e-1], w.sets[e]; a != nil && b != nil && !meet(a, b) {
				w.fault("sets part: %v then %v", *a, *b)
			}
		}
	} else if fmt.Sprint(*old) != fmt.Sprint(*s) {
		w.fault("two sets: of one epoch: %v and %v", *old, *s)
	}
	// Two sets are never both able to decide.
	var able []*tide.Set
	for e := w.newest.Epoch; e > 0 && e+6 > w.newest.Epoch; e-- {
		if x := w.sets[e]; x != nil && x.Reached(func(name string) bool {
			return slices.ContainsFunc(w.places, func(m *place) bool { return !m.gone && m.disk.name == name && m.disk.set.Epoch == e })
		}) {
			able = append(able, x)
		}
	}
	if len(able) > 1 {
		w.fault("two able: sets %v and %v both have a quorum", *able[0], *able[1])
	}
}

// meet tells whether each quorum of one set shares a disk with each quorum of the other, by counting: a side that is the same on both.
func meet(a, b *tide.Set) bool {
	sides := func(s *tide.Set) [][]tide.Member {
		if s.Joint() {
			return [][]tide.Member{s.Members, s.Next}
		}
		return [][]tide.Member{s.Members}
	}
	for _, x := range sides(a) {
		for _, y := range sides(b) {
			all := &tide.Set{Members: x, Next: y}
			if len(x)/2+1+len(y)/2+1 > len(all.All()) {
				return true
			}
		}
	}
	return false
}

// seen looks at what a keeper hands out: nothing older than what was acknowledged before its lease's asking.
func (w *world) seen(p *process) {
	now := w.time()
	left := p.Lease(now)
	if p.at.proc != p || p.mute || p.busy || left == 0 {
		return
	}
	until := now.Add(left)
	asked := w.now + left - leaseFor
	if until.Equal(p.lease) && !w.hooks.always() {
		return
	}
	p.lease = until
	for key, fs := range w.floors {
		i := len(fs) - 1
		for i >= 0 && fs[i].at > asked {
			i--
		}
		if i < 0 {
			continue
		}
		var number uint64
		for _, r := range p.Chosen() {
			if r.Key == key {
				number = r.Value.Stamp.Number
			}
		}
		if number < fs[i].number {
			w.fault("old: %s hands out %s of number %d, %d was acknowledged at %v, its lease is of %v", p.Me().Disk, key, number, fs[i].number, fs[i].at, asked)
		}
	}
}

func (h *hooks) always() bool { return h.wrap != nil }

// judge looks at the history as a whole.
func (w *world) judge() {
	if len(w.report.Faults) > 0 {
		return
	}
	w.refused()
	for _, key := range w.keys() {
		var ops []porcupine.Operation
		for i, x := range w.ops {
			if x.order.Key != key || x.change.Kind == 0 {
				continue // it reached nobody
			}
			o := porcupine.Operation{ClientId: i, Input: x, Call: int64(x.called), Output: x.result, Return: int64(x.returned)}
			if x.result.Outcome == 0 {
				if x.change.Kind == tide.Read {
					continue
				}
				o.Return = int64(w.now) + int64(time.Hour)
			}
			ops = append(ops, o)
		}
		w.report.Tries += len(ops)
		switch porcupine.CheckOperationsTimeout(model, ops, 20*time.Second) {
		case porcupine.Illegal:
			w.fault("not linearizable: %s%s", key, tellOps(ops))
		case porcupine.Unknown:
			w.fault("not judged: %s, %d operations", key, len(ops))
		}
	}
}

func tellOps(ops []porcupine.Operation) string {
	s := ""
	for _, o := range ops {
		x := o.Input.(*op)
		s += fmt.Sprintf("\n    %v-%v m%d %s %d %q stamp=%v: %d", x.called, x.returned, x.to, x.order.Kind, x.order.Number, x.order.Body, x.change.Stamp, x.result.Outcome)
		if v := x.result.Value; v != nil {
			s += fmt.Sprintf(" %v %q", v.Stamp, v.Body)
		}
	}
	return s
}

// refused looks that no content that was refused under a number is in force at any time, and that one at most is acknowledged.
func (w *world) refused() {
	taken := map[uint64]string{}
	for _, x := range w.ops {
		if x.change.Kind != tide.Replace {
			continue
		}
		stamp := x.change.Stamp
		in, ok := w.forced[x.order.Key][stamp]
		switch {
		case x.result.Outcome == tide.Conflict && ok && in == x.order.Body:
			w.fault("refused in force: %s %d %q", x.order.Key, stamp.Number, in)
		case x.result.Outcome == tide.Done && (x.result.Altered || x.result.Value.Stamp == stamp):
			if old, ok := taken[stamp.Number]; ok && old != x.order.Body || ok && in != "" && in != x.order.Body {
				w.fault("two confirmed: %s %d: %q and %q", x.order.Key, stamp.Number, old, x.order.Body)
			}
			taken[stamp.Number] = x.order.Body
		}
	}
}

// state is what a register holds, by the rules of orders alone.
type state struct {
	some  bool
	stamp tide.Stamp
	body  string
}

// model is the rules of orders, written down once more.
var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) {
		held, x, r := s.(state), in.(*op), out.(tide.Result)
		unknown := r.Outcome == 0
		c := &x.change
		body := string(c.Body)
		switch c.Kind {
		case tide.Read:
			if r.Value == nil {
				return !held.some, held
			}
			return held.some && held.body == string(r.Value.Body) && held.stamp == r.Value.Stamp, held
		case tide.Replace:
			switch {
			case !held.some || held.stamp.Number < c.Stamp.Number:
				return unknown || r.Outcome == tide.Done, state{true, c.Stamp, body}
			case held.stamp == c.Stamp && held.body != body:
				return unknown || r.Outcome == tide.Conflict, held
			}
			return unknown || r.Outcome == tide.Done, held
		case tide.Assign:
			if held.some && held.body == body {
				return unknown || r.Outcome == tide.Done, held
			}
			return unknown || r.Outcome == tide.Done, state{true, tide.Stamp{Number: held.stamp.Number + 1, By: c.By}, body}
		case tide.Swap:
			after := tide.Stamp{Number: c.Stamp.Number + 1, By: c.By}
			switch {
			case held.stamp == c.Stamp:
				return unknown || r.Outcome == tide.Done, state{true, after, body}
			case held.stamp == after && held.body == body:
				return unknown || r.Outcome == tide.Done, held
			}
			return unknown || r.Outcome == tide.Conflict, held
		}
		return false, held
	},
	Equal:             func(a, b any) bool { return a.(state) == b.(state) },
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}
