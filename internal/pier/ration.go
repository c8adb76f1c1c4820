package pier

import (
	"time"

	"whinknot/internal/gauge"
)

// Ration is this pilot's part of the repeats that all pilots may make together at one service: in any window no more than a
// share of its own requests and its part of what is free. It is not safe for concurrent use.
type Ration struct {
	Window   time.Duration
	Ratio    float64
	begun    time.Time
	requests gauge.Tally // in seconds since begun
	repeats  gauge.Tally
}

// rationPart is the part of the bound that pilots use: what their repeats call at other services counts there too.
const rationPart = 0.5

// at is a time as the tallies count it.
func (r *Ration) at(now time.Time) float64 {
	if r.begun.IsZero() {
		r.begun = now
	}
	return now.Sub(r.begun).Seconds()
}

// Request counts a request of this pilot.
func (r *Ration) Request(now time.Time) {
	at := r.at(now)
	r.requests.Since(at - r.Window.Seconds())
	r.requests.Add(at)
}

// Repeat takes one repeat off, if it may be made; free is this pilot's part of those that are free.
func (r *Ration) Repeat(now time.Time, free float64) bool {
	at := r.at(now)
	from := at - r.Window.Seconds()
	requests, repeats := r.requests.Since(from), r.repeats.Since(from)
	if float64(repeats+1) > rationPart*(r.Ratio*float64(requests)+free) {
		return false
	}
	r.repeats.Add(at)
	return true
}
