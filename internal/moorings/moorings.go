// Package moorings is where somebody's requests go as long as that is possible: weighted rendezvous hashing over the endpoints
// of a service. Every pilot that knows the same endpoints makes the same choice without a word, and only the share of one that
// comes, goes or changes its size moves. It is pure.
package moorings

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"whinknot/internal/spread"
)

var space = errorx.NewNamespace("moorings")

// Unknown is the type of errors about a way to tell who somebody is.
var Unknown = space.NewType("unknown")

// Node is one endpoint and its size: the slots that it tells. Sizes are whole numbers, so noise moves nobody.
type Node struct {
	Name   string
	Weight int
}

// Table is the nodes of one view. It is immutable.
type Table struct {
	names   []string
	hashes  []uint64
	weights []float64
}

// NewTable makes one.
func NewTable(nodes []Node) *Table {
	t := &Table{}
	for _, n := range nodes {
		t.names = append(t.names, n.Name)
		t.hashes = append(t.hashes, spread.Name(n.Name))
		t.weights = append(t.weights, float64(max(n.Weight, 1)))
	}
	return t
}

// place is a node and its score for a key: the greater, the rather the key goes there. With it a node of weight w is first for
// its share w of the sum, and the scores of a key at other nodes do not depend on it (Schindelhauer and Schomaker, "Weighted
// distributed hash tables").
type place struct {
	score float64
	node  int
}

// Order is the first nodes of somebody's own order, most of them.
func (t *Table) Order(who string, most int) []string {
	key := spread.Name(who)
	best := make([]place, 0, most+1)
	for i, h := range t.hashes {
		u := (float64(spread.Mix(key^h)>>11) + 0.5) / (1 << 53)
		p := place{-t.weights[i] / math.Log(u), i}
		if len(best) == most && p.score <= best[most-1].score {
			continue
		}
		at := len(best)
		for at > 0 && (best[at-1].score < p.score || best[at-1].score == p.score && t.names[best[at-1].node] > t.names[i]) {
			at--
		}
		best = slices.Insert(best, at, p)
		best = best[:min(len(best), most)]
	}
	out := make([]string, len(best))
	for i, p := range best {
		out[i] = t.names[p.node]
	}
	return out
}

// Key says how a route tells who somebody is.
type Key struct {
	from string // header, cookie, path or address; "" for not
	name string // of the header or cookie
	part int    // of the path, from 1
}

// ParseKey reads it: header:NAME, cookie:NAME, path:N (the Nth part of the path, from 1) or address. An empty text is nobody.
func ParseKey(text string) (Key, error) {
	from, rest, _ := strings.Cut(text, ":")
	switch {
	case text == "":
		return Key{}, nil
	case from == "address" && rest == "":
		return Key{from: from}, nil
	case (from == "header" || from == "cookie") && rest != "":
		return Key{from: from, name: rest}, nil
	case from == "path":
		if n, err := strconv.Atoi(rest); err == nil && n > 0 {
			return Key{from: from, part: n}, nil
		}
	}
	return Key{}, Unknown.New("%q is none of header:NAME, cookie:NAME, path:N and address", text)
}

// Of is who a request is from; ok is false where it does not tell.
func (k Key) Of(h http.Header, path, address string) (who string, ok bool) {
	switch k.from {
	case "header":
		who = h.Get(k.name)
	case "cookie":
		if c, err := (&http.Request{Header: h}).Cookie(k.name); err == nil {
			who = c.Value
		}
	case "path":
		if parts := strings.Split(strings.Trim(path, "/"), "/"); k.part <= len(parts) {
			who = parts[k.part-1]
		}
	case "address":
		who = address
	}
	return who, who != ""
}
