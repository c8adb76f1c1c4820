// Package registry is the service registry: what each proxy reports of itself and of its endpoint,
// and when its last message was received. It is soft state, which is not on disk: after a restart of
// the control plane the proxies report it again. The package is pure.
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

// Endpoint is one instance of a service.
type Endpoint struct {
	ID, Target string
	State      State
	Capacity   int
	WarmupLeft time.Duration // of the slow start, at the time of the report
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

// ObservedRecord is a record, and whether its proxy is unreachable: no message of it was received
// for Limits.Unreachable.
type ObservedRecord struct {
	NodeRecord
	Unreachable bool
}

// AcceptsRequests reports whether requests may be sent to the endpoint of the node.
func (r *ObservedRecord) AcceptsRequests() bool {
	return r.Endpoint != nil && r.Endpoint.State == Serving && !r.Draining && !r.Unreachable
}

// Limits are the times without a message after which a proxy counts as unreachable, and after which
// its record is removed.
type Limits struct{ Unreachable, Forget time.Duration }

// Registry holds the newest record of each node. It is not safe for concurrent use.
type Registry struct {
	limits Limits
	nodes  map[string]*record
}

type record struct {
	ObservedRecord
	lastReceived time.Time // when its last message was received
	restartedAt  time.Time // when its incarnation was first received, if that is not the first of the node; else zero
}

// NewRegistry returns an empty registry.
func NewRegistry(l Limits) *Registry { return &Registry{limits: l, nodes: map[string]*record{}} }

// Update stores a record that was received now, and reports whether the record or its reachability
// has changed.
func (r *Registry) Update(now time.Time, update NodeRecord) bool {
	old := r.nodes[update.Node]
	if old == nil {
		r.nodes[update.Node] = &record{ObservedRecord: ObservedRecord{NodeRecord: update}, lastReceived: now}
		return true
	}
	if update.Newer(&old.NodeRecord) {
		if update.Incarnation != old.Incarnation {
			old.restartedAt = now
		}
		old.ObservedRecord, old.lastReceived = ObservedRecord{NodeRecord: update}, now
		return true
	}
	return r.Confirm(now, update.Node, update.Incarnation)
}

// RestartedAt returns when the restart of the proxy of a node was noticed; zero for none.
func (r *Registry) RestartedAt(node string) time.Time {
	if rec := r.nodes[node]; rec != nil {
		return rec.restartedAt
	}
	return time.Time{}
}

// IncarnationHash returns a hash of an incarnation of a node, which identifies it in confirmations.
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

// Confirm records that a message of an incarnation of a node was received, and reports whether it
// was unreachable before.
func (r *Registry) Confirm(now time.Time, node string, incarnation uint64) bool {
	rec := r.nodes[node]
	if rec == nil || rec.Incarnation != incarnation {
		return false
	}
	wasUnreachable := rec.Unreachable
	rec.lastReceived, rec.Unreachable = now, false
	return wasUnreachable
}

// Expire marks nodes as unreachable whose last message is older than Limits.Unreachable, removes
// those whose last message is older than Limits.Forget, and returns the nodes that changed. Without
// contact with a quorum it marks and removes none and restarts their times, as this process may itself
// be disconnected.
func (r *Registry) Expire(now time.Time, hasContact bool) (changed []string) {
	for _, node := range slices.Sorted(maps.Keys(r.nodes)) {
		rec := r.nodes[node]
		if !hasContact {
			rec.lastReceived = now
			continue
		}
		age := now.Sub(rec.lastReceived)
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

// Get returns the record of a node.
func (r *Registry) Get(node string) (ObservedRecord, bool) {
	if rec := r.nodes[node]; rec != nil {
		return rec.ObservedRecord, true
	}
	return ObservedRecord{}, false
}

// All returns the records of all nodes, sorted by name.
func (r *Registry) All() []ObservedRecord {
	out := make([]ObservedRecord, 0, len(r.nodes))
	for _, node := range slices.Sorted(maps.Keys(r.nodes)) {
		out = append(out, r.nodes[node].ObservedRecord)
	}
	return out
}
