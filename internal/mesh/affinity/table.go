// Package affinity assigns clients to endpoints by weighted rendezvous hashing (D. Thaler and C.
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). Proxies with the same
// endpoints make the same choice without communication, and only the share of an endpoint that
// joins, leaves or changes its weight moves. The package keeps no state and does no I/O.
package affinity

import (
	"math"
	"slices"

	"github.com/joomcode/errorx"

	"milletmast/internal/namehash"
)

var space = errorx.NewNamespace("affinity")

// InvalidKey is the type of errors of a key source that cannot be parsed.
var InvalidKey = space.NewType("invalid_key")

// Node is an endpoint with its weight, which is the capacity that it reports. Weights are integers, so
// that small changes of load move no client.
type Node struct {
	Name   string
	Weight int
}

// Table is the set of nodes of a service. It is immutable.
type Table struct {
	names   []string
	hashes  []uint64
	weights []float64
}

// NewTable returns a table of nodes.
func NewTable(nodes []Node) *Table {
	t := &Table{}
	for _, n := range nodes {
		t.names = append(t.names, n.Name)
		t.hashes = append(t.hashes, namehash.Hash(n.Name))
		t.weights = append(t.weights, float64(max(n.Weight, 1)))
	}
	return t
}

// scoredNode is a node and its score for a key; the highest score wins. With it, a node of weight w
// comes first for its share w of the sum of weights, and the scores of a key at other nodes do not
// depend on it (C. Schindelhauer and G. Schomaker, "Weighted distributed hash tables", 2005).
type scoredNode struct {
	score float64
	node  int
}

// Rank returns the nodes with the highest scores for a client, at most limit of them.
func (t *Table) Rank(client string, limit int) []string {
	key := namehash.Hash(client)
	best := make([]scoredNode, 0, limit+1)
	for i, h := range t.hashes {
		u := (float64(namehash.Mix(key^h)>>11) + 0.5) / (1 << 53)
		scored := scoredNode{-t.weights[i] / math.Log(u), i}
		if len(best) == limit && scored.score <= best[limit-1].score {
			continue
		}
		at := len(best)
		for at > 0 && (best[at-1].score < scored.score || best[at-1].score == scored.score && t.names[best[at-1].node] > t.names[i]) {
			at--
		}
		best = slices.Insert(best, at, scored)
		best = best[:min(len(best), limit)]
	}
	out := make([]string, len(best))
	for i, scored := range best {
		out[i] = t.names[scored.node]
	}
	return out
}
