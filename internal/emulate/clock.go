package emulate

import "math"

// happening is something that is to be done at a time.
type happening struct {
	at  float64
	seq uint64
	do  func()
}

// clock is virtual time in milliseconds, with what is to be done. Of what is due at one instant that comes first which was asked for
// first, so the order does not depend on the heap. What is asked for in the past is due now, after what was asked for before it.
type clock struct {
	now  float64
	seq  uint64
	heap []happening
	done uint64 // happenings so far
}

func before(a, b *happening) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// at has something done at a time.
func (c *clock) at(at float64, do func()) {
	if !(at > c.now) { // also no number
		at = c.now
	}
	c.seq++
	h := append(c.heap, happening{at, c.seq, do})
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !before(&h[i], &h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
	c.heap = h
}

// after has something done after a time from now.
func (c *clock) after(ms float64, do func()) { c.at(c.now+ms, do) }

// next is when the next thing is due; infinity for none.
func (c *clock) next() float64 {
	if len(c.heap) == 0 {
		return math.Inf(1)
	}
	return c.heap[0].at
}

// step does the next thing.
func (c *clock) step() {
	h := c.heap
	first := h[0]
	last := len(h) - 1
	h[0], h[last] = h[last], happening{}
	h = h[:last]
	for i := 0; ; {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && before(&h[down], &h[least]) {
				least = down
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	c.heap, c.now = h, first.at
	c.done++
	first.do()
}
