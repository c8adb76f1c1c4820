package affinity

import "strconv"

// Forecast estimates from a sample of keys which keys a change of the nodes of a service would move.
type Forecast struct {
	Moved    float64            // fraction of all keys that would move
	MinMoved float64            // fraction that has to move: the shares that nodes lose by leaving or shrinking
	Before   map[string]float64 // by node, the fraction of all keys assigned to it before the change
	After    map[string]float64 // the same after the change
}

// PredictChange compares the assignment of a number of generated keys before and after a change of the
// nodes. The forecast is empty if there are no nodes before or after, or no keys.
func PredictChange(before, after []Node, keys int) Forecast {
	f := Forecast{Before: map[string]float64{}, After: map[string]float64{}}
	if len(before) == 0 || len(after) == 0 || keys <= 0 {
		return f
	}
	a, b := NewTable(before), NewTable(after)
	keyShare := 1 / float64(keys)
	for i := range keys {
		key := strconv.Itoa(i)
		from, to := a.Rank(key, 1)[0], b.Rank(key, 1)[0]
		f.Before[from] += keyShare
		f.After[to] += keyShare
		if from != to {
			f.Moved += keyShare
		}
	}
	sharesBefore, sharesAfter := shares(before), shares(after)
	for node, share := range sharesBefore {
		f.MinMoved += max(share-sharesAfter[node], 0)
	}
	return f
}

// shares returns by node its fraction of the sum of weights.
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
