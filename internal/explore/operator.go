package explore

import (
	"time"

	"whinknot/internal/tide"
)

const (
	patience = 900 * time.Millisecond // an operator's with one answer
	pause    = 50 * time.Millisecond
)

// order has an operator send an order, to one machine after the other until the outcome is clear.
func (w *world) order(o Order) { w.try(o, 0) }

func (w *world) try(o Order, n int) {
	if n >= len(o.To) || o.To[n] >= len(w.places) {
		return
	}
	m := w.places[o.To[n]]
	x := &op{order: o, to: m.index, called: w.now}
	w.ops = append(w.ops, x)
	over := false
	next := func() {
		if !over {
			over = true
			w.after(pause, func() { w.try(o, n+1) })
		}
	}
	w.after(patience, next)
	if w.deaf[m.index] > 0 {
		return
	}
	w.after(w.upTo(2*time.Millisecond), func() {
		p := m.proc
		if p == nil {
			return
		}
		p.input(func() {
			if p.mute {
				return
			}
			p.lastID++
			id := p.lastID
			p.orders[id] = func(r tide.Result) {
				if r.Outcome != tide.Unclear {
					w.acknowledges(m)
				}
				if w.mutely > 0 || w.deaf[m.index] > 0 {
					return
				}
				w.after(w.upTo(2*time.Millisecond), func() {
					if r.Outcome == tide.Unclear {
						next()
						return
					}
					over = true
					w.answered(x, r)
				})
			}
			x.change = w.change(p, o)
			p.act(p.Order(w.time(), id, x.change), nil)
		})
	})
}

// change is what the keeper makes of an order.
func (w *world) change(p *process, o Order) tide.Change {
	c := tide.Change{Key: o.Key, By: p.Me().Disk, Body: []byte(o.Body)}
	switch o.Kind {
	case "put":
		c.Kind, c.Stamp.Number = tide.Replace, o.Number
	case "assign":
		c.Kind = tide.Assign
	case "swap": // of what an operator read last
		c.Kind, c.Stamp = tide.Swap, w.read[o.Key]
	default:
		c.Kind = tide.Read
	}
	return c
}

// acknowledges lets troubles strike that wait for an acknowledgement.
func (w *world) acknowledges(m *place) {
	strike := w.after1
	w.after1 = nil
	for _, f := range strike {
		f(m)
	}
}
