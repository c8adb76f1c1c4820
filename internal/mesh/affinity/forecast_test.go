package affinity

import (
	"math"
	"testing"
)

// A forecast moves what it must and, but for the sample's error, no more: for a node that comes, goes and changes its size.
func TestForecastMovesTheLeastPossible(t *testing.T) {
	nodes := []Node{{"a", 1}, {"b", 2}, {"c", 9}}
	for name, c := range map[string]struct {
		after []Node
		least float64
	}{
		"one comes": {[]Node{{"a", 1}, {"b", 2}, {"c", 9}, {"d", 4}}, 0.25},
		"one goes":  {[]Node{{"a", 1}, {"c", 9}}, 2.0 / 12},
		"one grows": {[]Node{{"a", 1}, {"b", 5}, {"c", 9}}, 1.0 / 6},
		"nothing":   {nodes, 0},
	} {
		f := PredictChange(nodes, c.after, 50_000)
		if math.Abs(f.MinMoved-c.least) > 1e-9 || f.Moved > 1.05*c.least+0.001 || f.Moved < 0.95*c.least-0.001 {
			t.Errorf("%s: moved %.4f, least %.4f, want %.4f", name, f.Moved, f.MinMoved, c.least)
		}
	}
	if f := PredictChange(nil, nodes, 10); f.Moved != 0 || len(f.After) != 0 {
		t.Errorf("from no nodes: %+v", f)
	}
}
