package sidecar

import (
	"container/heap"
	"log/slog"
	"slices"
	"time"

	"whinknot"
	"whinknot/internal/operator"
	"whinknot/internal/subset"
)

const subsetTick = time.Second // between two looks at whether a subset is of use

// portion is the subset of a large fleet that a pool sends to (package subset). The loop owns it; it is nil where the pool sends to all.
type portion struct {
	keeper subset.Keeper
	zones  []string
	ring   subset.Ring       // servers that are ready
	all    map[string]Target // the list as it was told, by uid
	known  map[string]bool   // servers that the module knows of
}

// newPortion makes the subset of a pool; nil where it sends to all its servers.
func newPortion(p *operator.Pool) *portion {
	if p.Subset == 0 {
		return nil
	}
	return &portion{
		keeper: subset.Keeper{Spec: subset.Spec{
			Copies: p.Copies, Rank: p.Rank, Zones: len(p.Zones), Zone: max(slices.Index(p.Zones, p.Zone), 0), Size: p.Subset, Spare: p.SubsetSpare,
		}},
		zones: p.Zones, all: map[string]Target{}, known: map[string]bool{},
	}
}

// narrow makes of what is told of all servers what the module is to hear: servers of the subset, those that it has just got, that it
// no longer has one by one as gone, and of others that they drain or go only if it knows them.
func (p *portion) narrow(list List, whole bool) List {
	if whole {
		next := make(map[string]bool, len(list.Targets))
		for _, t := range list.Targets {
			next[t.UID] = true
		}
		for uid := range p.all {
			if !next[uid] {
				delete(p.all, uid)
				p.ring.Remove(uid)
			}
		}
	}
	for _, t := range list.Targets {
		switch states[t.State] {
		case whinknot.Gone:
			delete(p.all, t.UID)
			p.ring.Remove(t.UID)
			continue
		case whinknot.Ready:
			p.ring.Add(t.UID, slices.Index(p.zones, t.Zone))
		default:
			p.ring.Remove(t.UID)
		}
		p.all[t.UID] = t
	}
	chosen := p.ring.Choose(p.keeper.Now(p.ring.Len()))
	out := List{Rev: list.Rev, All: list.All}
	told, knows := map[string]bool{}, map[string]bool{}
	tell := func(t Target) {
		out.Targets = append(out.Targets, t)
		told[t.UID] = true
		if states[t.State] != whinknot.Gone {
			knows[t.UID] = true
		}
	}
	for _, t := range list.Targets {
		if chosen[t.UID] || p.known[t.UID] && states[t.State] != whinknot.Ready {
			tell(t)
		}
	}
	for uid := range chosen {
		if !told[uid] && (whole || !p.known[uid]) {
			tell(p.all[uid])
		}
	}
	for uid := range p.known {
		switch t, listed := p.all[uid]; {
		case told[uid]:
		case chosen[uid], listed && states[t.State] != whinknot.Ready:
			knows[uid] = true
		case !whole: // it is not of the subset any more
			tell(Target{UID: uid, State: "Gone"})
		}
	}
	p.known = knows
	return out
}

// copies is how many copies send to a server of the subset: what the module takes the servers that it knows to be shared among.
func (p *portion) copies() int {
	return max(1, (p.keeper.Copies*len(p.known)+p.ring.Len()/2)/max(p.ring.Len(), 1))
}

// lookAtPortion has the subset grow while too much of it is of no use, and asks to be called again.
func (l *loop) lookAtPortion() {
	p := l.portion
	usable := max(l.usable-l.balancer.Cuts(), 0)
	if p.keeper.Step(time.Now(), len(l.listed), p.ring.Len(), usable) {
		slog.Warn("subset changes", "servers", len(l.listed), "usable", usable, "least", p.keeper.Now(p.ring.Len()).Size)
		l.list(List{}, whinknot.ListDelta)
	}
	heap.Push(&l.agenda, &due{at: l.now() + inMillis(subsetTick), then: l.lookAtPortion})
}
