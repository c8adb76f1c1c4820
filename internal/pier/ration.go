package pier

import "time"

// Ration is this pilot's part of the repeats that all pilots may make together at one service: in any window no more than a
// share of its own requests and its part of what is free. It is not safe for concurrent use.
type Ration struct {
	Window   time.Duration
	Ratio    float64
	requests []time.Time
	repeats  []time.Time
}

// rationPart is the part of the bound that pilots use: what their repeats call at other services counts there too.
const rationPart = 0.5

// Request counts a request of this pilot.
func (r *Ration) Request(now time.Time) {
	r.requests = append(since(r.requests, now.Add(-r.Window)), now)
}

// Repeat takes one repeat off, if it may be made; free is this pilot's part of those that are free.
func (r *Ration) Repeat(now time.Time, free float64) bool {
	from := now.Add(-r.Window)
	r.requests, r.repeats = since(r.requests, from), since(r.repeats, from)
	if float64(len(r.repeats)+1) > rationPart*(r.Ratio*float64(len(r.requests))+free) {
		return false
	}
	r.repeats = append(r.repeats, now)
	return true
}

// since drops times before one.
func since(times []time.Time, from time.Time) []time.Time {
	old := 0
	for old < len(times) && times[old].Before(from) {
		old++
	}
	if old > len(times)/2 {
		return append(times[:0:0], times[old:]...)
	}
	return times[old:]
}
