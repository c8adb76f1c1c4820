// Package stats counts recent events.
package stats

// SlidingCounter counts the events of a sliding window exactly. Times are of any one unit and never
// go back. Events that have left the window are dropped in bulk, at constant amortized cost. The zero
// value is empty.
type SlidingCounter struct {
	times []float64
	first int
}

// Add records an event.
func (t *SlidingCounter) Add(now float64) { t.times = append(t.times, now) }

// CountSince returns the number of events from a time on, and forgets older ones. The time must not go
// back.
func (t *SlidingCounter) CountSince(from float64) int {
	for t.first < len(t.times) && t.times[t.first] < from {
		t.first++
	}
	if t.first > len(t.times)/2 {
		t.times = t.times[:copy(t.times, t.times[t.first:])]
		t.first = 0
	}
	return len(t.times) - t.first
}

// Len returns the number of events in memory, including forgotten ones that were not dropped yet.
func (t *SlidingCounter) Len() int { return len(t.times) }
