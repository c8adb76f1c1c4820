// Package registry is the service registry: what each proxy reports of itself and of its endpoint,
// and when it was last heard from. It is soft state: nothing of it is on disk, and after a restart
// the proxies report it again. The package is pure.
package registry

import (
	"maps"
	"slices"
	"time"

	"milletmast/internal/namehash"
)

// State is the state that an endpoint reports of itself.
type State uint8

// The states of an endpoint.
const (
	Serving State = iota + 1
	Draining
	Gone
)

func (s State) String() string { return [...]string{"unknown", "serving", "draining", "gone"}[s] }

// Endpoint is one instance of an endpoint.
type Endpoint struct {
	ID, Target string
	State      State
	Capacity   int
	WarmupLeft time.Duration // remaining when it was reported
}

// NodeRecord is what a proxy reports of itself. Of two records of a node, the one with the higher
// incarnation, then with the higher sequence, is the newer.
type NodeRecord struct {
	Node, Zone  string
	Incarnation uint64 // of the proxy process
	Sequence    uint64
	InboundAddr string // where requests for its endpoint are sent
	PeerAddr    string // where other proxies reach it
	Draining    bool
	Endpoint    *Endpoint // nil while none is known
}

// Newer reports whether a record is newer than another of its node.
func (r *NodeRecord) Newer(other *NodeRecord) bool {
	return r.Incarnation > other.Incarnation || r.Incarnation == other.Incarnation && r.Sequence > other.Sequence
}

// ObservedRecord is a record, and whether its proxy was heard from recently.
type ObservedRecord struct {
	NodeRecord
	Unreachable bool
}

// AcceptsRequests reports whether requests may be sent to the endpoint of the node.
func (r *ObservedRecord) AcceptsRequests() bool {
	return r.Endpoint != nil && r.Endpoint.State == Serving && !r.Draining && !r.Unreachable
}

// Limits are the ages at which a proxy counts as unreachable, and at which it is forgotten.
type Limits struct{ Unreachable, Forget time.Duration }

// Registry holds the newest record of each node. It is not safe for concurrent use.
type Registry struct {
	limits Limits
	nodes  map[string]*record
}

type record struct {
	ObservedRecord
	lastHeard   time.Time
	restartedAt time.Time // when its incarnation was first seen, if that is not the first of the node; else zero
}

// NewRegistry returns an empty registry.
func NewRegistry(l Limits) *Registry { return &Registry{limits: l, nodes: map[string]*record{}} }

// Update stores a record that was reported or confirmed now, and reports whether anything has
// changed.
func (r *Registry) Update(now time.Time, s NodeRecord) bool {
	old := r.nodes[s.Node]
	if old == nil {
		r.nodes[s.Node] = &record{ObservedRecord: ObservedRecord{NodeRecord: s}, lastHeard: now}
		return true
	}
	if s.Newer(&old.NodeRecord) {
		if s.Incarnation != old.Incarnation {
			old.restartedAt = now
		}
		old.ObservedRecord, old.lastHeard = ObservedRecord{NodeRecord: s}, now
		return true
	}
	return r.Confirm(now, s.Node, s.Incarnation)
}

// RestartedAt returns when the proxy of a node was seen to have restarted; zero if it was not.
func (r *Registry) RestartedAt(node string) time.Time {
	if rec := r.nodes[node]; rec != nil {
		return rec.restartedAt
	}
	return time.Time{}
}

// IncarnationHash returns a hash of an incarnation of a node, which stands for it in confirmations.
func IncarnationHash(node string, incarnation uint64) uint64 {
	return namehash.Mix(namehash.Hash(node) ^ incarnation)
}

// NodesByHash returns the nodes whose incarnations have one of the hashes, sorted.
func (r *Registry) NodesByHash(hashes []uint64) []string {
	var out []string
	for node, rec := range r.nodes {
		if slices.Contains(hashes, IncarnationHash(node, rec.Incarnation)) {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}

// Confirm records that an incarnation of a node was heard from, and reports whether it was
// unreachable before.
func (r *Registry) Confirm(now time.Time, node string, incarnation uint64) bool {
	rec := r.nodes[node]
	if rec == nil || rec.Incarnation != incarnation {
		return false
	}
	wasUnreachable := rec.Unreachable
	rec.lastHeard, rec.Unreachable = now, false
	return wasUnreachable
}

// Expire marks nodes as unreachable that were not heard from, removes those that have been so for
// long, and returns the nodes that changed. While this process has no contact with a quorum, the
// silence may be its own: it marks none.
func (r *Registry) Expire(now time.Time, hasContact bool) (changed []string) {
	for _, node := range slices.Sorted(maps.Keys(r.nodes)) {
		rec := r.nodes[node]
		if !hasContact {
			rec.lastHeard = now
			continue
		}
		age := now.Sub(rec.lastHeard)
		if age > r.limits.Forget {
			delete(r.nodes, node)
			changed = append(changed, node)
		} else if age > r.limits.Unreachable && !rec.Unreachable {
			rec.Unreachable = true
			changed = append(changed, node)
		}
	}
	return changed
}

// Get returns what is known of a node.
func (r *Registry) Get(node string) (ObservedRecord, bool) {
	if rec := r.nodes[node]; rec != nil {
		return rec.ObservedRecord, true
	}
	return ObservedRecord{}, false
}

// All returns what is known of all nodes, sorted by name.
func (r *Registry) All() []ObservedRecord {
	out := make([]ObservedRecord, 0, len(r.nodes))
	for _, node := range slices.Sorted(maps.Keys(r.nodes)) {
		out = append(out, r.nodes[node].ObservedRecord)
	}
	return out
}
