package affinity

import "strconv"

// Forecast is what a change of the nodes of a service would move, by a sample of keys.
type Forecast struct {
	Moved    float64            // fraction of all keys that would move
	MinMoved float64            // fraction that has to move: what the nodes that leave or shrink hold beyond their new share
	Before   map[string]float64 // by node, the fraction of all keys that it holds before
	After    map[string]float64 // and after
}

// PredictChange samples a number of made-up keys before and after a change of the nodes.
func PredictChange(before, after []Node, keys int) Forecast {
	f := Forecast{Before: map[string]float64{}, After: map[string]float64{}}
	if len(before) == 0 || len(after) == 0 || keys <= 0 {
		return f
	}
	a, b := NewTable(before), NewTable(after)
	each := 1 / float64(keys)
	for i := range keys {
		who := strconv.Itoa(i)
		from, to := a.Rank(who, 1)[0], b.Rank(who, 1)[0]
		f.Before[from] += each
		f.After[to] += each
		if from != to {
			f.Moved += each
		}
	}
	was, will := shares(before), shares(after)
	for node, share := range was {
		f.MinMoved += max(share-will[node], 0)
	}
	return f
}

// shares returns the fractions that nodes hold by their weights.
func shares(nodes []Node) map[string]float64 {
	sum, out := 0.0, map[string]float64{}
	for _, n := range nodes {
		sum += float64(max(n.Weight, 1))
	}
	for _, n := range nodes {
		out[n.Name] = float64(max(n.Weight, 1)) / sum
	}
	return out
}
