package stats

import (
	"testing"

	"pgregory.net/rapid"
)

// The count is that of the events since a time, and the memory is bounded by it.
func TestSlidingCounterMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counter SlidingCounter
		var all []float64
		now, from := 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 5).Draw(t, "ms"))
			if rapid.Bool().Draw(t, "add") {
				counter.Add(now)
				all = append(all, now)
			}
			from = max(from, now-float64(rapid.IntRange(0, 40).Draw(t, "window")))
			want := 0
			for _, at := range all {
				if at >= from {
					want++
				}
			}
			if got := counter.CountSince(from); got != want || counter.Len() > 2*want+1 {
				t.Fatalf("%d since %v with %d held, want %d", got, from, counter.Len(), want)
			}
		}
	})
}
