package sidecar

import (
	"milletmast/balancer"
)

// applyList applies a full list of servers, or changes to it.
func (l *eventLoop) applyList(list List, kind balancer.ListKind) {
	ev := balancer.Event{Kind: balancer.EvServerList, List: kind}
	full := kind != balancer.ListDelta
	if l.subset != nil {
		list = l.subset.selectTargets(list, full)
		ev.Replicas, ev.Rank = l.subset.sendersPerServer(), l.subset.sizer.Rank+1
	} else if l.replicas > 0 {
		ev.Replicas, ev.Rank = l.replicas, l.rank+1
	}
	before := l.listed
	if full {
		l.listed = make(map[uint32]bool, len(list.Targets))
		l.targets = make(map[string]Target, len(list.Targets))
	}
	for _, received := range list.Targets {
		if l.targets[received.UID] = received; serverStates[received.State] == balancer.Removed {
			delete(l.targets, received.UID)
		}
		t := l.withOverride(received)
		e := l.serverIDs.serverEntry(&t)
		ev.Servers = append(ev.Servers, e)
		l.upstream.setEndpoint(e.ID, t.Endpoint, e.StartedAt, e.State)
		l.upstream.setEndpointID(e.ID, t.UID)
		if e.State == balancer.Removed {
			delete(l.listed, e.ID)
		} else {
			l.listed[e.ID] = e.State == balancer.Ready
		}
	}
	if full {
		for id := range before {
			if _, ok := l.listed[id]; !ok {
				l.upstream.setEndpoint(id, "", 0, balancer.Removed)
			}
		}
	}
	l.serverIDs.forget(func(id uint32) bool { _, ok := l.listed[id]; return ok })
	l.usable = 0
	for _, ready := range l.listed {
		if ready {
			l.usable++
		}
	}
	l.recordColdServers()
	l.counts.listed.Store(int64(len(l.listed)))
	l.counts.usable.Store(int64(l.usable))
	l.handle(&ev)
}

// setReplicas changes the number of replicas that send to the servers, and the rank of this replica. The subset, the servers that
// are assigned to this replica, its initial capacity and its share of cold servers are recomputed.
func (l *eventLoop) setReplicas(replicas, rank int) {
	l.replicas, l.rank = replicas, rank
	if l.subset != nil {
		l.subset.sizer.Replicas, l.subset.sizer.Rank = replicas, rank
	}
	l.applyList(List{}, balancer.ListDelta)
}

// listFailed handles a failed call to discovery or a broken watch.
func (l *eventLoop) listFailed() {
	l.handle(&balancer.Event{Kind: balancer.EvServerList, List: balancer.ListFailed})
}
