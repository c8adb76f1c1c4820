package stats

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever comes when: the count is that of the entries from a time on, and what is held is bounded by it.
func TestATallyCountsItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tally SlidingCounter
		var all []float64
		now, from := 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 5).Draw(t, "ms"))
			if rapid.Bool().Draw(t, "add") {
				tally.Add(now)
				all = append(all, now)
			}
			from = max(from, now-float64(rapid.IntRange(0, 40).Draw(t, "window")))
			want := 0
			for _, at := range all {
				if at >= from {
					want++
				}
			}
			if got := tally.CountSince(from); got != want || tally.Len() > 2*want+1 {
				t.Fatalf("%d since %v with %d held, want %d", got, from, tally.Len(), want)
			}
		}
	})
}
