// Package peerwatch is a failure detector among peers. Each process watches a small set of others,
// selected by rendezvous hashing: processes with the same list of peers compute the same sets without
// communication, and a peer that joins or leaves changes few of the sets. The package does no I/O.
package peerwatch

import (
	"cmp"
	"slices"
	"time"

	"milletmast/internal/namehash"
)

// Node identifies a process.
type Node struct{ Name, Zone string }

// SelectPeers returns the peers that a process watches. With a count above 1, at least one of them is
// in another zone, if there is any.
func SelectPeers(self Node, all []Node, count int) []string {
	others := slices.DeleteFunc(slices.Clone(all), func(n Node) bool { return n.Name == self.Name })
	slices.SortFunc(others, func(a, b Node) int {
		return cmp.Or(cmp.Compare(namehash.Hash(self.Name+"|"+a.Name), namehash.Hash(self.Name+"|"+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if len(others) > count && count > 1 && !slices.ContainsFunc(others[:count], func(n Node) bool { return n.Zone != self.Zone }) {
		if i := slices.IndexFunc(others, func(n Node) bool { return n.Zone != self.Zone }); i >= count {
			others[count-1] = others[i]
		}
	}
	var out []string
	for _, n := range others[:min(count, len(others))] {
		out = append(out, n.Name)
	}
	return out
}

// State is the state of a watched peer.
type State uint8

// The states. Only peer.setState changes them.
const (
	New     State = iota // no response was received yet
	Healthy              // a response was received recently
	Silent               // no response was received for longer than allowed
)

// Watcher tracks the watched peers of one process. It is not safe for concurrent use.
type Watcher struct {
	silentAfter time.Duration
	peers       map[string]*peer
}

type peer struct {
	state        State
	lastReceived time.Time // arrival of its last response; before the first, when it was added
}

// NewWatcher returns a watcher that reports a peer as silent after a time without a response.
func NewWatcher(silentAfter time.Duration) *Watcher {
	return &Watcher{silentAfter: silentAfter, peers: map[string]*peer{}}
}

// setState changes the state of a peer and reports whether it was another before.
func (p *peer) setState(to State) bool {
	changed := p.state != to
	p.state = to
	return changed
}

// SetPeers sets the watched peers and returns those that were added and removed.
func (w *Watcher) SetPeers(now time.Time, names []string) (added, removed []string) {
	for _, name := range names {
		if w.peers[name] == nil {
			w.peers[name] = &peer{lastReceived: now}
			added = append(added, name)
		}
	}
	for name := range w.peers {
		if !slices.Contains(names, name) {
			delete(w.peers, name)
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return added, removed
}

// RecordResponse records a response of a peer.
func (w *Watcher) RecordResponse(now time.Time, name string) {
	if p := w.peers[name]; p != nil {
		p.lastReceived = now
		p.setState(Healthy)
	}
}

// NewlySilent returns the peers that have just become silent, sorted.
func (w *Watcher) NewlySilent(now time.Time) []string {
	var out []string
	for name, p := range w.peers {
		if now.Sub(p.lastReceived) > w.silentAfter && p.setState(Silent) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// IsHealthy reports whether a peer has responded recently.
func (w *Watcher) IsHealthy(name string) bool {
	return w.peers[name] != nil && w.peers[name].state == Healthy
}
