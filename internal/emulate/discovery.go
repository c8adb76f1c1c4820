package emulate

import (
	"maps"
	"slices"

	"milletmast/balancer"
	"milletmast/internal/rules"
	"milletmast/internal/subset"
)

// discoveryState is the current endpoint list of discovery.
type discoveryState struct {
	entries map[uint32]balancer.ServerEntry
	listed  []uint32 // ids of the servers in the list
	changes []uint32 // ids of changed servers, in the order of the changes
	ring    subset.Ring
}

// setListed changes the state of a server in the list. Each sidecar receives the change after its own delay.
func (w *simulation) setListed(s *server, st balancer.ServerState) {
	t := &w.discovery
	e := balancer.ServerEntry{ID: s.id, Zone: s.zone, Cell: s.cell, State: st, Weight: 1, StartedAt: max(s.started, 0)}
	old, listed := t.entries[s.id]
	if listed && old == e || !listed && st == balancer.Removed {
		return
	}
	t.entries[s.id] = e
	switch {
	case st == balancer.Removed:
		if i := slices.Index(t.listed, s.id); i >= 0 {
			t.listed = slices.Delete(t.listed, i, i+1)
		}
	case !listed || old.State == balancer.Removed:
		t.listed = append(t.listed, s.id)
	}
	if st == balancer.Ready {
		t.ring.Add(w.serverName(s.id), int(s.zone))
	} else {
		t.ring.Remove(w.serverName(s.id))
	}
	t.changes = append(t.changes, s.id)
	for _, h := range w.sidecars {
		if h.up && !h.listPending && h.listPosition >= 0 {
			h.listPending = true
			h.later(w.listDelay(h), h.applyChanges)
		}
	}
}

// entryOf returns the list entry of a server for the decision module, with the overrides of operators.
func (h *sidecar) entryOf(id uint32) balancer.ServerEntry {
	e := h.sim.discovery.entries[id]
	e.StartedAt = h.overrides.StartTime(h.sim.serverName(id), e.StartedAt)
	if h.overrides.IsHeld(h.sim.serverName(id)) && e.State == balancer.Ready {
		e.State = balancer.Draining
	}
	return e
}

// applyFullList gives the module the whole list, or the part of it that is in the subset of this sidecar.
func (h *sidecar) applyFullList(kind balancer.ListKind) {
	ids := h.sim.discovery.listed
	if h.sizer != nil {
		ids = h.chooseSubset()
	}
	ev := balancer.Event{Kind: balancer.EvServerList, List: kind}
	for _, id := range ids {
		ev.Servers = append(ev.Servers, h.entryOf(id))
	}
	h.applyList(&ev)
}

// applyList gives the module a list, and records for the rules which servers the sidecar knows from now on.
func (h *sidecar) applyList(ev *balancer.Event) {
	w := h.sim
	if ev.List != balancer.ListDelta {
		named := make(map[uint32]bool, len(ev.Servers))
		for _, e := range ev.Servers {
			named[e.ID] = true
		}
		for _, id := range slices.Sorted(maps.Keys(h.known)) {
			if !named[id] {
				delete(h.known, id)
				w.record(&rules.Fact{Kind: rules.ServerListed, Replica: h.replicaID(), Server: id})
			}
		}
	}
	for _, e := range ev.Servers {
		if e.State == balancer.Removed {
			delete(h.known, e.ID)
		} else {
			h.known[e.ID] = e
		}
		w.record(&rules.Fact{Kind: rules.ServerListed, Replica: h.replicaID(), Server: e.ID, Serves: e.State == balancer.Ready})
	}
	if h.sizer != nil {
		ev.Replicas = max(1, (h.sizer.Replicas*len(h.known)+w.discovery.ring.Len()/2)/max(w.discovery.ring.Len(), 1))
	}
	h.usable = 0
	for _, e := range h.known {
		if e.State == balancer.Ready {
			h.usable++
		}
	}
	w.result.lists++
	h.handle(ev)
}

// chooseSubset returns the subset of the current list, and known servers that drain.
func (h *sidecar) chooseSubset() []uint32 {
	t := &h.sim.discovery
	selected := t.ring.Select(h.sizer.Current(t.ring.Len()))
	var ids []uint32
	for _, id := range t.listed {
		if _, known := h.known[id]; selected[h.sim.serverName(id)] || known && t.entries[id].State == balancer.Draining {
			ids = append(ids, id)
		}
	}
	return ids
}

// applyChanges gives the module the changes of the list since its last update.
func (h *sidecar) applyChanges() {
	t := &h.sim.discovery
	h.listPending = false
	if h.listBlocks > 0 || h.listPosition < 0 || h.listPosition >= len(t.changes) {
		return
	}
	if h.sizer != nil {
		h.listPosition = len(t.changes)
		h.refreshSubset()
		return
	}
	ev := balancer.Event{Kind: balancer.EvServerList, List: balancer.ListDelta}
	seen := map[uint32]bool{}
	for _, id := range t.changes[h.listPosition:] {
		if !seen[id] {
			seen[id] = true
			ev.Servers = append(ev.Servers, h.entryOf(id))
		}
	}
	h.listPosition = len(t.changes)
	h.applyList(&ev)
}

// refreshSubset gives the module the difference between the current subset and the servers that it knows.
func (h *sidecar) refreshSubset() {
	ev := balancer.Event{Kind: balancer.EvServerList, List: balancer.ListDelta}
	want := map[uint32]bool{}
	for _, id := range h.chooseSubset() {
		want[id] = true
		if e := h.entryOf(id); h.known[id] != e {
			ev.Servers = append(ev.Servers, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.known)) {
		if !want[id] {
			ev.Servers = append(ev.Servers, balancer.ServerEntry{ID: id, State: balancer.Removed})
		}
	}
	if len(ev.Servers) > 0 {
		h.applyList(&ev)
	}
}

// updateSubset grows the subset while too few of its servers are usable, and schedules its next call.
func (h *sidecar) updateSubset() {
	t := &h.sim.discovery
	usable := max(h.usable-h.balancer.EjectedServers(), 0)
	if h.sizer.Update(h.sim.wallTime(), len(h.known), t.ring.Len(), usable) && h.listPosition >= 0 && h.listBlocks == 0 {
		h.refreshSubset()
	}
	h.later(subsetInterval, h.updateSubset)
}
