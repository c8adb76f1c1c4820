// Package peerwatch is a failure detector among peers. Each process watches a small set of others,
// selected by rendezvous hashing: processes that know the same peers agree on who watches whom
// without communication, and a peer that joins or leaves changes few of the sets. The package is
// pure.
package peerwatch

import (
	"cmp"
	"slices"
	"time"

	"milletmast/internal/namehash"
)

// Node is a process.
type Node struct{ Name, Zone string }

// SelectPeers returns the peers that a process watches, at least one of them in another zone if
// there is any.
func SelectPeers(me Node, all []Node, count int) []string {
	others := slices.DeleteFunc(slices.Clone(all), func(n Node) bool { return n.Name == me.Name })
	slices.SortFunc(others, func(a, b Node) int {
		return cmp.Or(cmp.Compare(namehash.Hash(me.Name+"|"+a.Name), namehash.Hash(me.Name+"|"+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if len(others) > count && count > 1 && !slices.ContainsFunc(others[:count], func(n Node) bool { return n.Zone != me.Zone }) {
		if i := slices.IndexFunc(others, func(n Node) bool { return n.Zone != me.Zone }); i >= count {
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

// The states. peer.setState is the one function that changes them.
const (
	New     State = iota // not heard from yet
	Healthy              // heard from recently
	Silent               // not heard from for longer than allowed
)

// Watcher tracks the watched peers of one process. It is not safe for concurrent use.
type Watcher struct {
	silentAfter time.Duration
	peers       map[string]*peer
}

type peer struct {
	state     State
	lastHeard time.Time
}

// NewWatcher returns a watcher to which a peer is silent after a time.
func NewWatcher(quiet time.Duration) *Watcher {
	return &Watcher{silentAfter: quiet, peers: map[string]*peer{}}
}

// setState is the one function that changes the state of a peer. It reports whether the state
// changed.
func (p *peer) setState(to State) bool {
	changed := p.state != to
	p.state = to
	return changed
}

// SetPeers sets the watched peers and returns those that were added and removed.
func (w *Watcher) SetPeers(now time.Time, names []string) (added, removed []string) {
	for _, name := range names {
		if w.peers[name] == nil {
			w.peers[name] = &peer{lastHeard: now}
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

// HeardFrom records that a peer has answered.
func (w *Watcher) HeardFrom(now time.Time, name string) {
	if x := w.peers[name]; x != nil {
		x.lastHeard = now
		x.setState(Healthy)
	}
}

// NewlySilent returns the peers that have just become silent, sorted.
func (w *Watcher) NewlySilent(now time.Time) []string {
	var out []string
	for name, x := range w.peers {
		if now.Sub(x.lastHeard) > w.silentAfter && x.setState(Silent) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// IsHealthy reports whether a peer has answered recently.
func (w *Watcher) IsHealthy(name string) bool {
	return w.peers[name] != nil && w.peers[name].state == Healthy
}
