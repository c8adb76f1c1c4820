package affinity

import (
	"math"
	"testing"
)

// The forecast of a node that joins, leaves or changes its weight moves as many keys as have to move and, up to sampling error, no more.
func TestForecastMovesTheLeastPossible(t *testing.T) {
	nodes := []Node{{"a", 1}, {"b", 2}, {"c", 9}}
	for name, c := range map[string]struct {
		after    []Node
		minMoved float64
	}{
		"one joins":  {[]Node{{"a", 1}, {"b", 2}, {"c", 9}, {"d", 4}}, 0.25},
		"one leaves": {[]Node{{"a", 1}, {"c", 9}}, 2.0 / 12},
		"one grows":  {[]Node{{"a", 1}, {"b", 5}, {"c", 9}}, 1.0 / 6},
		"no change":  {nodes, 0},
	} {
		f := PredictChange(nodes, c.after, 50_000)
		if math.Abs(f.MinMoved-c.minMoved) > 1e-9 || f.Moved > 1.05*c.minMoved+0.001 || f.Moved < 0.95*c.minMoved-0.001 {
			t.Errorf("%s: moved %.4f, computed minimum %.4f, want %.4f", name, f.Moved, f.MinMoved, c.minMoved)
		}
	}
	if f := PredictChange(nil, nodes, 10); f.Moved != 0 || len(f.After) != 0 {
		t.Errorf("from no nodes: %+v", f)
	}
}
