package level

import (
	"math"
	"slices"
	"time"

	"whinknot/internal/spread"
)

// Result is how a request ended.
type Result uint8

// The results.
const (
	Served Result = iota
	Refusal
	Failure
)

const (
	slots     = 10 // of a window
	slotTimes = 64 // times kept in each: enough for a percentile of the window
	fewest    = 10 // ended requests, or answers, that a share or percentile needs
)

// slot is what a part of the window holds.
type slot struct {
	ended, refused, failed int
	answers, late          int
	worth, earned          float64
	asked                  []float64 // worth by class
	wait                   float64
	times                  [slotTimes]float32
	count                  int
}

// Meter makes readings of what happens in a pool, over a window that slides by tenths. Of requests
// that a level sheds only Asked is told: a level must not hold itself in force by what it does. It is not safe for concurrent use.
type Meter struct {
	part    time.Duration
	begun   time.Time // of the slot in use
	at      int
	slots   [slots]slot
	scratch []float32
	classes int
}

// NewMeter makes a meter with a window, for a pool of so many classes.
func NewMeter(window time.Duration, classes int, now time.Time) *Meter {
	m := &Meter{part: max(window/slots, time.Millisecond), begun: now, classes: classes}
	for i := range m.slots {
		m.slots[i].asked = make([]float64, classes)
	}
	return m
}

// turn goes on to the slot of a time.
func (m *Meter) turn(now time.Time) *slot {
	for n := 0; now.Sub(m.begun) >= m.part; n++ {
		if n == slots { // nothing happened for longer than a window
			m.begun = now.Add(-m.part / 2)
			break
		}
		m.begun = m.begun.Add(m.part)
		m.at = (m.at + 1) % slots
		s := &m.slots[m.at]
		clear(s.asked)
		*s = slot{asked: s.asked}
	}
	return &m.slots[m.at]
}

// Asked notes that a request of a class has come, also one that is shed.
func (m *Meter) Asked(now time.Time, class int, worth float64) { m.turn(now).asked[class] += worth }

// Worths adds up what was asked for in the window, by class.
func (m *Meter) Worths(now time.Time) []float64 {
	m.turn(now)
	out := make([]float64, m.classes)
	for i := range m.slots {
		for class, worth := range m.slots[i].asked {
			out[class] += worth
		}
	}
	return out
}

// Sent notes that a request has waited so long for its first server.
func (m *Meter) Sent(now time.Time, waited time.Duration) {
	s := m.turn(now)
	s.wait = max(s.wait, waited.Seconds())
}

// Ended notes how a request ended. Took is the time to its answer as a multiple of its aim, and NaN where that tells nothing.
func (m *Meter) Ended(now time.Time, r Result, worth, took float64) {
	s := m.turn(now)
	s.ended++
	s.worth += worth
	switch r {
	case Refusal:
		s.refused++
		return
	case Failure:
		s.failed++
		return
	}
	if math.IsNaN(took) {
		s.earned += worth
		return
	}
	s.answers++
	if took <= 1 {
		s.earned += worth
	} else {
		s.late++
	}
	if s.count++; s.count <= slotTimes {
		s.times[s.count-1] = float32(took)
	} else if i := int(spread.Mix(uint64(s.count)) % uint64(s.count)); i < slotTimes { // a reservoir, drawn the same way each time
		s.times[i] = float32(took)
	}
}

// Read gives the signals at a time, but for those of servers. Waiting is for how long the request that waits longest for its
// first server has done so; 0 for none.
func (m *Meter) Read(now time.Time, waiting time.Duration) Reading {
	m.turn(now)
	r := Nothing()
	var all slot
	m.scratch = m.scratch[:0]
	for i := range m.slots {
		s := &m.slots[i]
		all.ended += s.ended
		all.refused += s.refused
		all.failed += s.failed
		all.answers += s.answers
		all.late += s.late
		all.worth += s.worth
		all.earned += s.earned
		all.wait = max(all.wait, s.wait)
		m.scratch = append(m.scratch, s.times[:min(s.count, slotTimes)]...)
	}
	if all.ended > 0 || waiting > 0 {
		r[Wait] = max(all.wait, waiting.Seconds())
	}
	if all.ended >= fewest {
		r[Refused] = float64(all.refused) / float64(all.ended)
		r[Failed] = float64(all.failed) / float64(all.ended)
		if all.worth > 0 {
			r[Worth] = all.earned / all.worth
		}
	}
	if all.answers >= fewest {
		r[Late] = float64(all.late) / float64(all.answers)
		slices.Sort(m.scratch)
		r[P95] = float64(m.scratch[(len(m.scratch)*95+99)/100-1])
	}
	return r
}
