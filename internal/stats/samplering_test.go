package stats

import (
	"slices"
	"testing"
)

func TestAppendRecent(t *testing.T) {
	ring := []Sample{{At: 50, Value: 5}, {At: 20, Value: 2}, {At: 30, Value: 3}, {At: 40, Value: 4}} // the fifth replaced the first
	for _, c := range []struct {
		name   string
		values []float64
		count  int
		window RecentWindow
		want   []float64
	}{
		{"empty ring", nil, 0, RecentWindow{}, nil},
		{"all since a time", nil, 5, RecentWindow{From: 35}, []float64{5, 4}},
		{"older ones up to MinSamples", nil, 5, RecentWindow{From: 45, MinSamples: 3}, []float64{5, 4, 3}},
		{"none that are too old", nil, 5, RecentWindow{From: 45, OldestFrom: 25, MinSamples: 9}, []float64{5, 4, 3}},
		{"given values count toward MinSamples", []float64{7, 8}, 5, RecentWindow{From: 45, MinSamples: 2}, []float64{7, 8, 5}},
		{"ring that is not full", nil, 1, RecentWindow{}, []float64{5}},
	} {
		if got := AppendRecent(slices.Clone(c.values), ring, c.count, c.window); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestPercentile(t *testing.T) {
	twenty := make([]float64, 20)
	for i := range twenty {
		twenty[i] = float64(i + 1)
	}
	for _, c := range []struct {
		sorted      []float64
		share, want float64
	}{{[]float64{3}, 0.95, 3}, {twenty, 0.95, 19}, {twenty, 0.5, 10}, {twenty, 1, 20}} {
		if got := Percentile(c.sorted, c.share); got != c.want {
			t.Errorf("%v of %d values: %v, want %v", c.share, len(c.sorted), got, c.want)
		}
	}
}
