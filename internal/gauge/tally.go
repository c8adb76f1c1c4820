// Package gauge counts what happened of late.
package gauge

// Tally counts what happened within a sliding window, exactly. Times are numbers of any one unit that never go back. Entries that have
// left the window are dropped in bulk, so that each costs a constant time. The zero value is empty.
type Tally struct {
	times []float64
	first int
}

// Add notes that something happens now.
func (t *Tally) Add(now float64) { t.times = append(t.times, now) }

// Since counts the entries from a time on, which must not go back, and forgets older ones.
func (t *Tally) Since(from float64) int {
	for t.first < len(t.times) && t.times[t.first] < from {
		t.first++
	}
	if t.first > len(t.times)/2 {
		t.times = t.times[:copy(t.times, t.times[t.first:])]
		t.first = 0
	}
	return len(t.times) - t.first
}

// Held is how many entries are held, forgotten ones that were not dropped yet among them.
func (t *Tally) Held() int { return len(t.times) }
