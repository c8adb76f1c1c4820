package moorings

import "strconv"

// Forecast is what a change of the nodes of a service would move, by a sample of keys.
type Forecast struct {
	Moved float64            // part of all keys that would go elsewhere
	Least float64            // part that must: what the nodes that go or shrink hold beyond their new share
	From  map[string]float64 // by node, the part of all keys that it holds before
	To    map[string]float64 // and after
}

// Foresee samples so many keys of nobody's.
func Foresee(before, after []Node, keys int) Forecast {
	f := Forecast{From: map[string]float64{}, To: map[string]float64{}}
	if len(before) == 0 || len(after) == 0 || keys <= 0 {
		return f
	}
	a, b := NewTable(before), NewTable(after)
	each := 1 / float64(keys)
	for i := range keys {
		who := strconv.Itoa(i)
		from, to := a.Order(who, 1)[0], b.Order(who, 1)[0]
		f.From[from] += each
		f.To[to] += each
		if from != to {
			f.Moved += each
		}
	}
	was, will := shares(before), shares(after)
	for node, share := range was {
		f.Least += max(share-will[node], 0)
	}
	return f
}

// shares are the parts that nodes have by their sizes.
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
