package emulate

import (
	"math"
)

// event is a function that is called at a time.
type event struct {
	at       float64
	sequence uint64
	do       func()
}

// clock is virtual time in ms with a heap of the scheduled events. Events at the same time run in the order in which they were
// scheduled, so that the order does not depend on the heap. An event in the past runs now, after those scheduled before it.
type clock struct {
	now      float64
	sequence uint64
	events   []event
	executed uint64 // number of events so far
}

// precedes reports whether event a runs before b.
func precedes(a, b *event) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }

// schedule schedules a function at a time.
func (c *clock) schedule(at float64, do func()) {
	if !(at > c.now) { // also for NaN
		at = c.now
	}
	c.sequence++
	h := append(c.events, event{at, c.sequence, do})
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !precedes(&h[i], &h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
	c.events = h
}

// after schedules a function at ms from now.
func (c *clock) after(ms float64, do func()) { c.schedule(c.now+ms, do) }

// next returns the time of the next event; infinity for none.
func (c *clock) next() float64 {
	if len(c.events) == 0 {
		return math.Inf(1)
	}
	return c.events[0].at
}

// step runs the next event.
func (c *clock) step() {
	h := c.events
	first := h[0]
	last := len(h) - 1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	for i := 0; ; {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && precedes(&h[down], &h[least]) {
				least = down
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	c.events, c.now = h, first.at
	c.executed++
	first.do()
}
