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
func (c *SlidingCounter) Add(now float64) { c.times = append(c.times, now) }

// CountSince returns the number of events from a time on, and forgets older ones. The time must not go
// back.
func (c *SlidingCounter) CountSince(from float64) int {
	for c.first < len(c.times) && c.times[c.first] < from {
		c.first++
	}
	if c.first > len(c.times)/2 {
		c.times = c.times[:copy(c.times, c.times[c.first:])]
		c.first = 0
	}
	return len(c.times) - c.first
}

// Len returns the number of events in memory, including forgotten ones that were not dropped yet.
func (c *SlidingCounter) Len() int { return len(c.times) }
