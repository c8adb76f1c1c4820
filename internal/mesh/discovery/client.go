// Package discovery distributes the state of the mesh from control planes to proxies: numbered
// updates over long-lived connections, the complete state first and then the changes, each
// acknowledged. The state of a proxy never goes back: the newest record of each node stays, the
// highest version of the configuration, and the highest version of the evacuation of each zone.
// Control state is used once a control plane with a lease has confirmed it. The package is pure.
package discovery

import (
	"maps"
	"slices"
	"time"

	"milletmast/internal/mesh/registry"
)

// ClientState is the state of a proxy, merged from the updates of several control planes. It is not
// safe for concurrent use.
type ClientState struct {
	views map[string]map[string]registry.ObservedRecord // by control plane, by node
	// hasContact is by control plane, as it announced last.
	hasContact map[string]bool
	// staleEpoch marks the control planes whose last snapshot under a lease had a stale epoch.
	staleEpoch map[string]bool
	// announcedVersion is the configuration version of the last snapshot of each control plane under a lease.
	announcedVersion map[string]uint64
	nodes            map[string]*entry
	current          *MergedState // the control state in use
	unconfirmed      *MergedState // sent by control planes and proxies without contact
	trust            TrustLevel
	lastContact      time.Time // when a control plane with contact was last reached, or the start
	limits           Limits
}

// Limits are the time limits of a ClientState.
type Limits struct {
	KeepMissing    time.Duration // how long a node is kept after no control plane reports it
	ContactTimeout time.Duration // without any confirmed snapshot; then the newest known one is used
}

// lastKnownLead is how long before the contact timeout the last known snapshot is requested.
const lastKnownLead = time.Second

// Node is a node as a proxy knows it.
type Node struct {
	registry.ObservedRecord
	Since time.Time // when its newest record was received
}

type entry struct {
	Node
	missingSince time.Time // since when no control plane reports it; zero if one does
}

// NewClientState returns an empty state. A node that no control plane reports any more is kept for
// limits.KeepMissing, as a control plane that has just started does not know all nodes yet.
func NewClientState(now time.Time, limits Limits) *ClientState {
	return &ClientState{
		views:            map[string]map[string]registry.ObservedRecord{},
		hasContact:       map[string]bool{},
		staleEpoch:       map[string]bool{},
		announcedVersion: map[string]uint64{},
		nodes:            map[string]*entry{},
		current:          NewMergedState(),
		unconfirmed:      NewMergedState(),
		lastContact:      now,
		limits:           limits,
	}
}

// Change says what an update has changed. Zones stands for the evacuations and the ejections.
type Change struct{ Nodes, Config, Zones bool }

// HandleControlMessage handles a message of a control plane.
func (c *ClientState) HandleControlMessage(now time.Time, from string, msg *ControlMessage) (changed Change) {
	c.hasContact[from] = msg.HasContact
	if msg.Complete { // this control plane reports the nodes from now on
		clear(c.views)
		c.views[from] = map[string]registry.ObservedRecord{}
	}
	view := c.views[from]
	if view == nil && len(msg.Nodes) > 0 {
		view = map[string]registry.ObservedRecord{}
		c.views[from] = view
	}
	for _, n := range msg.Nodes {
		view[n.Node] = n
	}
	for _, node := range msg.Removed {
		delete(view, node)
	}
	changed.Nodes = c.Merge(now)
	if msg.Snapshot != nil {
		merged := c.HandleSnapshot(FromControlPlane, msg.Snapshot)
		if msg.Snapshot.Confirmed {
			if c.staleEpoch[from] = msg.Snapshot.Epoch < c.current.epoch; !c.staleEpoch[from] {
				c.announcedVersion[from] = msg.Snapshot.ConfigVersion
			}
		}
		changed.Config, changed.Zones = merged.Config, merged.Zones
	}
	return changed
}

// HandlePeerNodes adds the nodes that another proxy reports while no control plane is reachable. They
// are kept for as long as they are reported.
func (c *ClientState) HandlePeerNodes(now time.Time, nodes []Node) (changed bool) {
	for _, n := range nodes {
		e := c.nodes[n.Node]
		if e == nil || n.Newer(&e.NodeRecord) {
			c.nodes[n.Node] = &entry{Node: Node{n.ObservedRecord, now}, missingSince: now}
			changed = true
		} else if !e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
	return changed
}

// ControlPlaneLost removes what a control plane has reported, as the connection to it ended. The
// nodes of the last one are kept.
func (c *ClientState) ControlPlaneLost(now time.Time, from string) bool {
	if len(c.views) > 1 {
		delete(c.views, from)
	}
	delete(c.hasContact, from)
	delete(c.staleEpoch, from)
	delete(c.announcedVersion, from)
	return c.Merge(now)
}

// HasContact reports whether a control plane has last announced contact with a quorum, under an epoch
// that is not stale.
func (c *ClientState) HasContact(from string) bool { return c.hasContact[from] && !c.staleEpoch[from] }

// Merge merges the nodes that the control planes report, and reports whether they have changed. A
// node is unreachable if all control planes that report its newest record have contact and report
// it as unreachable.
func (c *ClientState) Merge(now time.Time) (changed bool) {
	newest := c.newestRecords()
	for node, record := range newest {
		if c.mergeRecord(now, node, record) {
			changed = true
		}
	}
	for node, e := range c.nodes {
		if _, ok := newest[node]; ok {
			continue
		}
		if e.missingSince.IsZero() {
			e.missingSince = now
		} else if now.Sub(e.missingSince) > c.limits.KeepMissing {
			delete(c.nodes, node)
			changed = true
		}
	}
	return changed
}

// newestRecords returns the newest record of each node over all control planes.
func (c *ClientState) newestRecords() map[string]registry.ObservedRecord {
	newest := map[string]registry.ObservedRecord{}
	for from, view := range c.views {
		for node, record := range view {
			record.Unreachable = record.Unreachable && c.hasContact[from]
			old, ok := newest[node]
			switch {
			case !ok || record.Newer(&old.NodeRecord):
				newest[node] = record
			case !old.Newer(&record.NodeRecord) && !record.Unreachable:
				old.Unreachable = false
				newest[node] = old
			}
		}
	}
	return newest
}

// mergeRecord merges a record that control planes report, and reports whether it has changed.
func (c *ClientState) mergeRecord(now time.Time, node string, record registry.ObservedRecord) bool {
	e := c.nodes[node]
	if e == nil {
		c.nodes[node] = &entry{Node: Node{record, now}}
		return true
	}
	e.missingSince = time.Time{}
	if record.Newer(&e.NodeRecord) {
		e.Node = Node{record, now}
		return true
	}
	if record.Unreachable != e.Unreachable && !e.Newer(&record.NodeRecord) {
		e.Unreachable = record.Unreachable
		return true
	}
	return false
}

// Nodes returns the merged nodes, sorted by name.
func (c *ClientState) Nodes() []Node {
	out := make([]Node, 0, len(c.nodes))
	for _, node := range slices.Sorted(maps.Keys(c.nodes)) {
		out = append(out, c.nodes[node].Node)
	}
	return out
}

// LacksConfig reports whether a control plane with contact has announced a higher version than the
// one in use.
func (c *ClientState) LacksConfig(from string) bool {
	return c.HasContact(from) && c.announcedVersion[from] > c.current.configVersion
}
