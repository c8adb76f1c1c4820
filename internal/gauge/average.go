package gauge

import "math"

// Average is a rate a second that forgets with a span. Times and spans are milliseconds. Weight is the part of the span that it has seen:
// without it the first seconds would pass for quiet ones. The zero value has seen nothing.
type Average struct{ Sum, At, Weight float64 }

// Add notes that n things happen now.
func (a *Average) Add(now, n, span float64) {
	kept := 0.0
	if a.At > 0 {
		kept = math.Exp((a.At - now) / span)
		a.Weight = 1 - kept + kept*a.Weight
	}
	a.Sum, a.At = kept*a.Sum+n*1000/span, now
}

// Rate is the rate a second, at the last entry; least is the part of the span that counts as seen at the least.
func (a *Average) Rate(least float64) float64 { return a.Sum / max(a.Weight, least) }

// Now is the rate as it has faded since the last entry.
func (a *Average) Now(at, span, least float64) float64 {
	return a.Rate(least) * math.Exp(min(0, (a.At-at)/span))
}

// Of is an average that has seen its whole span: so many a second, at a time.
func Of(rate, at float64) Average { return Average{Sum: rate, At: at, Weight: 1} }
