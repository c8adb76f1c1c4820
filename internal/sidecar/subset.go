package sidecar

import (
	"container/heap"
	"log/slog"
	"slices"
	"time"

	"milletmast/balancer"
	"milletmast/internal/operator"
	"milletmast/internal/subset"
)

// subsetInterval is the time between two checks whether enough servers of a subset are usable.
const subsetInterval = time.Second

// serverSubset is the subset of a large number of servers that a pool sends to (package subset). The loop owns it.
type serverSubset struct {
	sizer        subset.Sizer
	zones        []string
	ring         subset.Ring       // of the servers that are ready
	targets      map[string]Target // the list as it was received, by uid
	knownServers map[string]bool   // uids of the servers that the decision module has
}

// newServerSubset returns the subset of a pool; nil if the pool sends to all its servers.
func newServerSubset(p *operator.Pool) *serverSubset {
	if p.Subset == 0 {
		return nil
	}
	return &serverSubset{
		sizer: subset.Sizer{Spec: subset.Spec{
			Replicas:      p.Copies,
			Rank:          p.Rank,
			Zones:         len(p.Zones),
			Zone:          max(slices.Index(p.Zones, p.Zone), 0),
			Size:          p.Subset,
			SpareReplicas: p.SubsetSpare,
		}},
		zones: p.Zones, targets: map[string]Target{}, knownServers: map[string]bool{},
	}
}

// selectTargets converts a list of all servers, or changes to it, to a list for the decision module. It contains the servers of the
// subset, servers that have left the subset as gone, and servers that the module has and that drain or are gone.
func (p *serverSubset) selectTargets(list List, full bool) List {
	p.updateTargets(list, full)
	chosen := p.ring.Select(p.sizer.Current(p.ring.Len()))
	out := selection{known: map[string]bool{}, sent: map[string]bool{}}
	for _, t := range list.Targets {
		if chosen[t.UID] || p.knownServers[t.UID] && serverStates[t.State] != balancer.Ready {
			out.add(t)
		}
	}
	for uid := range chosen {
		if !out.sent[uid] && (full || !p.knownServers[uid]) {
			out.add(p.targets[uid])
		}
	}
	for uid := range p.knownServers {
		switch t, listed := p.targets[uid]; {
		case out.sent[uid]:
		case chosen[uid], listed && serverStates[t.State] != balancer.Ready:
			out.known[uid] = true
		case !full: // the server has left the subset
			out.add(Target{UID: uid, State: stateGone})
		}
	}
	p.knownServers = out.known
	return List{Rev: list.Rev, Full: list.Full, Targets: out.targets}
}

// selection is a list for the decision module, and the servers that the module has after applying it.
type selection struct {
	targets     []Target
	sent, known map[string]bool // by uid
}

func (s *selection) add(t Target) {
	s.targets = append(s.targets, t)
	s.sent[t.UID] = true
	if serverStates[t.State] != balancer.Removed {
		s.known[t.UID] = true
	}
}

// updateTargets applies a list to the servers and to the ring.
func (p *serverSubset) updateTargets(list List, full bool) {
	if full {
		listed := make(map[string]bool, len(list.Targets))
		for _, t := range list.Targets {
			listed[t.UID] = true
		}
		for uid := range p.targets {
			if !listed[uid] {
				delete(p.targets, uid)
				p.ring.Remove(uid)
			}
		}
	}
	for _, t := range list.Targets {
		switch serverStates[t.State] {
		case balancer.Removed:
			delete(p.targets, t.UID)
			p.ring.Remove(t.UID)
			continue
		case balancer.Ready:
			p.ring.Add(t.UID, slices.Index(p.zones, t.Zone))
		default:
			p.ring.Remove(t.UID)
		}
		p.targets[t.UID] = t
	}
}

// sendersPerServer returns how many replicas send to a server of the subset. The decision module uses it as the number of replicas
// that share its servers.
func (p *serverSubset) sendersPerServer() int {
	return max(1, (p.sizer.Replicas*len(p.knownServers)+p.ring.Len()/2)/max(p.ring.Len(), 1))
}

// updateSubset grows the subset while too few of its servers are usable, and schedules its next run.
func (l *eventLoop) updateSubset() {
	p := l.subset
	usable := max(l.usable-l.balancer.EjectedServers(), 0)
	if p.sizer.Update(time.Now(), len(l.listed), p.ring.Len(), usable) {
		slog.Warn("change subset", "servers", len(l.listed), "usable", usable, "size", p.sizer.Current(p.ring.Len()).Size)
		l.applyList(List{}, balancer.ListDelta)
	}
	heap.Push(&l.timers, &timedTask{at: l.now() + inMillis(subsetInterval), run: l.updateSubset})
}
