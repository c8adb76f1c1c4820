package loadshed

import "time"

// windowSlots is the number of slots, each of one Interval, of the window of a second over which a Meter counts.
const windowSlots = int(time.Second / Interval)

// Meter counts the requests of a pool by class over the last second. It is not safe for concurrent use.
type Meter struct {
	slots       [windowSlots][]ClassRates // counts, not rates
	currentSlot int
}

// NewMeter returns a meter for a number of classes.
func NewMeter(classes int) *Meter {
	m := &Meter{}
	for i := range m.slots {
		m.slots[i] = make([]ClassRates, classes)
	}
	return m
}

// CountArrival counts a request, and whether it was admitted.
func (m *Meter) CountArrival(class int, admitted bool) {
	counts := &m.slots[m.currentSlot][class]
	counts.Arrived++
	if admitted {
		counts.Admitted++
	}
}

// CountResult counts the result of an admitted request: rejected, on time, or neither.
func (m *Meter) CountResult(class int, rejected, onTime bool) {
	counts := &m.slots[m.currentSlot][class]
	if rejected {
		counts.Rejected++
	}
	if onTime {
		counts.OnTime++
	}
}

// Rotate returns the rates of the last second, with the costs that costOf returns in ms, and starts the next slot. It is to be
// called every Interval.
func (m *Meter) Rotate(costOf func(class int) float64) []ClassRates {
	rates := make([]ClassRates, len(m.slots[m.currentSlot]))
	for _, slot := range m.slots {
		for class, counts := range slot {
			rates[class].Arrived += counts.Arrived
			rates[class].Admitted += counts.Admitted
			rates[class].Rejected += counts.Rejected
			rates[class].OnTime += counts.OnTime
		}
	}
	for class := range rates {
		rates[class].Rejected = min(rates[class].Rejected, rates[class].Admitted) // some were admitted before the window
		rates[class].Cost = costOf(class)
	}
	m.currentSlot = (m.currentSlot + 1) % windowSlots
	clear(m.slots[m.currentSlot])
	return rates
}

// Admits reports whether a request of a caller is admitted. The caller is a uniform hash: all replicas admit the same
// callers, and a larger ratio admits those of a smaller one and more.
func (d *Decision) Admits(class int, caller uint64) bool {
	const fractionBits = 53 // of a float64
	return d.AdmitRatio == nil || float64(caller>>(64-fractionBits))/(1<<fractionBits) >= 1-d.AdmitRatio[class]
}
