// Package beacon is who is there: what each pilot says of itself and of the endpoint beside it, who vouches for that and
// how old it is. It is soft: nothing of it is on disk, and after a loss those who know it tell it anew. It is pure.
package beacon

import (
	"maps"
	"slices"
	"time"

	"whinknot/internal/spread"
)

// State is what an endpoint says of itself.
type State uint8

// The states of an endpoint.
const (
	Serving State = iota + 1
	Draining
	Gone
)

func (s State) String() string { return [...]string{"unknown", "serving", "draining", "gone"}[s] }

// Endpoint is one life of an endpoint.
type Endpoint struct {
	ID, Target string
	State      State
	Capacity   int
	Cold       time.Duration // left when it was said
}

// Sheet is what a pilot says of itself. Of one node the one with the higher life, then with the higher number, is the newer.
type Sheet struct {
	Node, Zone string
	Life       uint64 // of the pilot's process
	Number     uint64
	Inbound    string // where requests for its endpoint come
	Talk       string // where other pilots reach it
	Leaving    bool
	Endpoint   *Endpoint // nil while none is known
}

// Newer tells whether a sheet is newer than another of its node.
func (s *Sheet) Newer(old *Sheet) bool {
	return s.Life > old.Life || s.Life == old.Life && s.Number > old.Number
}

// Known is a sheet, and whether anybody has heard of its pilot of late.
type Known struct {
	Sheet
	Dark bool
}

// Takes tells whether requests may be sent to its endpoint, by what it and its pilot say.
func (k *Known) Takes() bool {
	return k.Endpoint != nil && k.Endpoint.State == Serving && !k.Leaving && !k.Dark
}

// Limits are the ages at which a pilot counts as dark, and at which it is forgotten.
type Limits struct{ Dark, Forget time.Duration }

// Registry holds the newest sheet of each pilot. It is not safe for concurrent use.
type Registry struct {
	limits Limits
	nodes  map[string]*record
}

type record struct {
	Known
	heard time.Time
	began time.Time // its life was first heard of, if that was not the first of this node; zero else
}

// NewRegistry makes an empty one.
func NewRegistry(l Limits) *Registry { return &Registry{limits: l, nodes: map[string]*record{}} }

// Put takes a sheet that was said, or vouched for, just now, and tells whether anything has changed.
func (r *Registry) Put(now time.Time, s Sheet) bool {
	old := r.nodes[s.Node]
	if old == nil {
		r.nodes[s.Node] = &record{Known: Known{Sheet: s}, heard: now}
		return true
	}
	if s.Newer(&old.Sheet) {
		if s.Life != old.Life {
			old.began = now
		}
		old.Known, old.heard = Known{Sheet: s}, now
		return true
	}
	return r.Vouch(now, s.Node, s.Life)
}

// Began is when a node's pilot was seen to have started anew; zero if it was not.
func (r *Registry) Began(node string) time.Time {
	if rec := r.nodes[node]; rec != nil {
		return rec.began
	}
	return time.Time{}
}

// Mark is one number for a life of a pilot.
func Mark(node string, life uint64) uint64 { return spread.Mix(spread.Name(node) ^ life) }

// Marked are the nodes whose lives have the marks.
func (r *Registry) Marked(marks []uint64) []string {
	var out []string
	for node, rec := range r.nodes {
		if slices.Contains(marks, Mark(node, rec.Life)) {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}

// Vouch notes that a life of a pilot was heard of, and tells whether it was dark before.
func (r *Registry) Vouch(now time.Time, node string, life uint64) bool {
	rec := r.nodes[node]
	if rec == nil || rec.Life != life {
		return false
	}
	was := rec.Dark
	rec.heard, rec.Dark = now, false
	return was
}

// Age turns those dark that nobody has heard of, forgets those that have been so for long, and gives the nodes that changed.
// While this process cannot know, as it sees too few others, it turns none.
func (r *Registry) Age(now time.Time, sighted bool) (changed []string) {
	for _, node := range slices.Sorted(maps.Keys(r.nodes)) {
		rec := r.nodes[node]
		if !sighted {
			rec.heard = now
			continue
		}
		age := now.Sub(rec.heard)
		if age > r.limits.Forget {
			delete(r.nodes, node)
			changed = append(changed, node)
		} else if age > r.limits.Dark && !rec.Dark {
			rec.Dark = true
			changed = append(changed, node)
		}
	}
	return changed
}

// Get is what is known of a node.
func (r *Registry) Get(node string) (Known, bool) {
	if rec := r.nodes[node]; rec != nil {
		return rec.Known, true
	}
	return Known{}, false
}

// All is what is known of all nodes, by name.
func (r *Registry) All() []Known {
	out := make([]Known, 0, len(r.nodes))
	for _, node := range slices.Sorted(maps.Keys(r.nodes)) {
		out = append(out, r.nodes[node].Known)
	}
	return out
}
