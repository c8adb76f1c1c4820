package stats

import "math"

// Sample is a value that was observed at a time.
type Sample struct{ At, Value float64 }

// RecentWindow says which samples AppendRecent takes: all since From, and further ones since OldestFrom while there are fewer
// than MinSamples.
type RecentWindow struct {
	From, OldestFrom float64
	MinSamples       int
}

// AppendRecent appends values of a ring, the newest first. In total count samples were written to the ring, the last one at
// (count-1) modulo its length.
func AppendRecent(values []float64, ring []Sample, count int, w RecentWindow) []float64 {
	for i := range min(count, len(ring)) {
		s := ring[(count-1-i)%len(ring)]
		if s.At < w.OldestFrom || s.At < w.From && len(values) >= w.MinSamples {
			break
		}
		values = append(values, s.Value)
	}
	return values
}

// Percentile returns the value that a share of the sorted values does not exceed. There has to be a value.
func Percentile(sorted []float64, share float64) float64 {
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}
