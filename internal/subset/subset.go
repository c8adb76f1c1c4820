// Package subset selects which servers of a large fleet a replica of the sidecar sends to, so that no
// replica needs a connection to each server. It does no I/O: replicas that know the same servers
// select, without communication, subsets that cover all servers and change little when a server is
// added or removed.
//
// The servers of a zone form a ring in the order of the hashes of their names. Each replica takes an
// arc of it: arcs start at even distances and have the same length, so that all servers are in the
// same number of arcs, plus or minus one (deterministic aperture, as published by Twitter).
package subset

import (
	"cmp"
	"slices"
	"time"

	"milletmast/internal/namehash"
)

// Spec describes a replica, and how many servers it is to select.
type Spec struct {
	Replicas      int // number of sidecars that send to these servers
	Rank          int // of this replica, from 0
	Zones         int // number of zones, 0 or 1 for none; replicas are assigned to zones round-robin, by rank
	Zone          int // of this replica
	Size          int // minimum number of servers to select
	SpareReplicas int // number of replicas adjacent by rank that may be lost while each server stays selected by one
}

// remoteFraction is the reciprocal of the fraction of a subset that is taken from other zones, so that
// the loss of the own zone leaves some servers.
const remoteFraction = 8

type ringEntry struct {
	hash uint64
	id   string
}

func compareEntries(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

// Ring holds the servers that can be selected. The zero value is empty.
type Ring struct {
	byZone map[int][]ringEntry
	zoneOf map[string]int // of each server
}

// Len returns the number of servers.
func (r *Ring) Len() int { return len(r.zoneOf) }

// entryOf returns the ring entry of a server.
func entryOf(id string) ringEntry { return ringEntry{namehash.Hash(id), id} }

// Add adds a server, or moves it to another zone.
func (r *Ring) Add(id string, zone int) {
	if old, ok := r.zoneOf[id]; ok {
		if old == zone {
			return
		}
		r.Remove(id)
	}
	if r.zoneOf == nil {
		r.zoneOf, r.byZone = map[string]int{}, map[int][]ringEntry{}
	}
	p := entryOf(id)
	list := r.byZone[zone]
	i, _ := slices.BinarySearchFunc(list, p, compareEntries)
	r.byZone[zone] = slices.Insert(list, i, p)
	r.zoneOf[id] = zone
}

// Remove removes a server.
func (r *Ring) Remove(id string) {
	zone, ok := r.zoneOf[id]
	if !ok {
		return
	}
	list := r.byZone[zone]
	if i, found := slices.BinarySearchFunc(list, entryOf(id), compareEntries); found {
		r.byZone[zone] = slices.Delete(list, i, i+1)
	}
	delete(r.zoneOf, id)
}

// Select returns the servers that a replica sends to: all, if there are no more than Size. Otherwise
// most are of its own zone and some of others; if the own zone has too few, more are taken from the
// others.
func (r *Ring) Select(s Spec) map[string]bool {
	out := map[string]bool{}
	if r.Len() <= s.Size {
		for id := range r.zoneOf {
			out[id] = true
		}
		return out
	}
	zones := max(s.Zones, 1)
	own := r.byZone[s.Zone]
	if zones == 1 {
		own = r.outsideZone(-1)
	}
	// The replicas of this zone, as ranks are assigned.
	replicas, rank := max((s.Replicas-s.Zone%zones+zones-1)/zones, 1), s.Rank/zones
	if zones == 1 {
		replicas, rank = max(s.Replicas, 1), s.Rank
	}
	size := s.Size
	if zones > 1 {
		size -= max(s.Size/remoteFraction, 1)
	}
	takeArc(own, rank%replicas, replicas, size, s.SpareReplicas, out)
	if missing := s.Size - len(out); zones > 1 && missing > 0 {
		takeArc(r.outsideZone(s.Zone), s.Rank%max(s.Replicas, 1), max(s.Replicas, 1), missing, -1, out)
	}
	return out
}

// outsideZone returns the servers of all zones but one, in ring order.
func (r *Ring) outsideZone(zone int) []ringEntry {
	if len(r.byZone) == 1 && zone < 0 {
		for _, list := range r.byZone {
			return list
		}
	}
	var out []ringEntry
	for z, list := range r.byZone {
		if z != zone {
			out = append(out, list...)
		}
	}
	slices.SortFunc(out, compareEntries)
	return out
}

// takeArc adds the arc of one replica to out. Its length is size servers, or more if the arcs of all
// replicas would not cover the ring with spare replicas lost; a negative spare requires no coverage.
func takeArc(ring []ringEntry, rank, replicas, size, spare int, out map[string]bool) {
	n := len(ring)
	if n == 0 {
		return
	}
	// In units of 1/replicas of a server, so that all replicas agree exactly.
	from := rank * n
	length := size * replicas
	if spare >= 0 {
		length = max(length, (1+spare)*n)
	}
	first, last := from/replicas, (from+min(length, n*replicas)-1)/replicas
	for i := first; i <= min(last, first+n-1); i++ {
		out[ring[i%n].id] = true
	}
}

// Sizer doubles the size of a replica's subset, up to all servers, while too few servers of it are
// usable. It halves it again once enough are.
type Sizer struct {
	Spec
	growth    int
	changedAt time.Time
	healthy   bool
}

const (
	growBelow    = 0.7              // usable fraction of a subset below which it grows: the decision module ejects at most 0.4 of its servers
	shrinkAbove  = 0.9              // usable fraction above which it may shrink
	growInterval = time.Second      // minimum time between two doublings
	shrinkAfter  = 30 * time.Second // time for which a subset has to be usable before it is halved
	maxGrowth    = 16
)

// Current returns the spec to use, given the number of known servers.
func (s *Sizer) Current(known int) Spec {
	spec := s.Spec
	if s.growth > 0 {
		spec.Size = min(max(spec.Size, (1+spec.SpareReplicas)*known/max(spec.Replicas, 1))<<s.growth, known)
	}
	return spec
}

// Update takes the numbers of servers that are selected, known, and selected and usable. It reports
// whether the spec has changed.
func (s *Sizer) Update(now time.Time, selected, known, usable int) bool {
	share := float64(usable) / float64(max(selected, 1))
	switch {
	case share < growBelow && selected < known && s.growth < maxGrowth:
		s.healthy = false
		if now.Sub(s.changedAt) < growInterval {
			return false
		}
		s.growth++
	case share > shrinkAbove && s.growth > 0:
		if !s.healthy {
			s.healthy, s.changedAt = true, now
		}
		if now.Sub(s.changedAt) < shrinkAfter {
			return false
		}
		s.growth--
	default:
		s.healthy = false
		return false
	}
	s.changedAt = now
	return true
}
