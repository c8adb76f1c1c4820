package stats

import "math"

// DecayingRate is an exponentially decaying rate per second. Times and spans are milliseconds. Weight
// is the fraction of the span that was observed: without it, the first seconds would count as idle.
// The zero value has observed nothing.
type DecayingRate struct{ Sum, At, Weight float64 }

// Add records n events.
func (r *DecayingRate) Add(now, n, span float64) {
	decay := 0.0
	if r.At > 0 {
		decay = math.Exp((r.At - now) / span)
		r.Weight = 1 - decay + decay*r.Weight
	}
	r.Sum, r.At = decay*r.Sum+n*1000/span, now
}

// Rate returns the rate per second at the last event, with at least minWeight of the span counted as
// observed.
func (r *DecayingRate) Rate(minWeight float64) float64 { return r.Sum / max(r.Weight, minWeight) }

// RateAt returns the rate per second, decayed since the last event.
func (r *DecayingRate) RateAt(at, span, minWeight float64) float64 {
	return r.Rate(minWeight) * math.Exp(min(0, (r.At-at)/span))
}

// SteadyRate returns a rate that has observed its whole span.
func SteadyRate(rate, at float64) DecayingRate { return DecayingRate{Sum: rate, At: at, Weight: 1} }
