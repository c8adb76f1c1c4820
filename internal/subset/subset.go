// Package subset chooses which servers of a large fleet one of several copies of a sidecar sends to, so that no copy has to
// hold a connection to each server. It is free of I/O: copies that know the same servers choose, without a word to each other,
// subsets that cover all servers and differ little when one comes or goes.
//
// The servers of a zone stand on a ring in the order of a hash of their names. A copy takes an arc of it: copies begin at even
// distances and take arcs of one length, so that each server is in as many arcs as any other, give or take one (after Twitter's
// deterministic aperture; in terms of places on the ring, as the lists of all copies give them the same).
package subset

import (
	"cmp"
	"slices"
	"time"

	"whinknot/internal/spread"
)

// Spec says who chooses, and how many.
type Spec struct {
	Copies int // sidecars that send to these servers
	Rank   int // of this one, from 0
	Zones  int // 0 or 1 for none; copies are dealt out to zones in turn, by rank
	Zone   int // of this copy
	Size   int // servers that a copy sends to, at least
	Spare  int // so many neighbours by rank may be gone without leaving a server to nobody
}

// awayPart is the part of a subset that is taken from other zones, so that the loss of the own one leaves something.
const awayPart = 8

type point struct {
	hash uint64
	id   string
}

func compare(a, b point) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) }

// Ring is the servers that can be chosen. The zero value is empty.
type Ring struct {
	zones map[int][]point
	zone  map[string]int // of each server
}

// Len is the number of servers.
func (r *Ring) Len() int { return len(r.zone) }

// place is where a server stands on every ring.
func place(id string) point { return point{spread.Name(id), id} }

// Add puts a server in, or into another zone.
func (r *Ring) Add(id string, zone int) {
	if old, ok := r.zone[id]; ok {
		if old == zone {
			return
		}
		r.Remove(id)
	}
	if r.zone == nil {
		r.zone, r.zones = map[string]int{}, map[int][]point{}
	}
	p := place(id)
	list := r.zones[zone]
	i, _ := slices.BinarySearchFunc(list, p, compare)
	r.zones[zone] = slices.Insert(list, i, p)
	r.zone[id] = zone
}

// Remove takes a server out.
func (r *Ring) Remove(id string) {
	zone, ok := r.zone[id]
	if !ok {
		return
	}
	list := r.zones[zone]
	if i, found := slices.BinarySearchFunc(list, place(id), compare); found {
		r.zones[zone] = slices.Delete(list, i, i+1)
	}
	delete(r.zone, id)
}

// Choose gives the servers that a copy sends to. It is all of them if there are no more than Size. Otherwise most are of its own
// zone and some of others; a zone with too few servers is filled up from the others.
func (r *Ring) Choose(s Spec) map[string]bool {
	out := map[string]bool{}
	if r.Len() <= s.Size {
		for id := range r.zone {
			out[id] = true
		}
		return out
	}
	zones := max(s.Zones, 1)
	own := r.zones[s.Zone]
	if zones == 1 {
		own = r.others(-1)
	}
	// Copies of this zone, as ranks are dealt out.
	copies, rank := max((s.Copies-s.Zone%zones+zones-1)/zones, 1), s.Rank/zones
	if zones == 1 {
		copies, rank = max(s.Copies, 1), s.Rank
	}
	size := s.Size
	if zones > 1 {
		size -= max(s.Size/awayPart, 1)
	}
	arc(own, rank%copies, copies, size, s.Spare, out)
	if missing := s.Size - len(out); zones > 1 && missing > 0 {
		arc(r.others(s.Zone), s.Rank%max(s.Copies, 1), max(s.Copies, 1), missing, -1, out)
	}
	return out
}

// others are the servers of all zones but one, in the order of the ring.
func (r *Ring) others(zone int) []point {
	if len(r.zones) == 1 && zone < 0 {
		for _, list := range r.zones {
			return list
		}
	}
	var out []point
	for z, list := range r.zones {
		if z != zone {
			out = append(out, list...)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// arc takes the arc of one of so many copies: so many servers, or as many as it takes for the arcs of all to cover the ring,
// with spare copies gone. Spare under 0 is for arcs that need not cover it.
func arc(ring []point, rank, copies, size, spare int, out map[string]bool) {
	n := len(ring)
	if n == 0 {
		return
	}
	// In units of 1/copies of a server, so that all copies agree to the last place.
	from := rank * n
	length := size * copies
	if spare >= 0 {
		length = max(length, (1+spare)*n)
	}
	first, last := from/copies, (from+min(length, n*copies)-1)/copies
	for i := first; i <= min(last, first+n-1); i++ {
		out[ring[i%n].id] = true
	}
}

// Keeper makes a copy's subset larger while too much of it is of no use: by a factor of two each time, up to all servers. A copy
// that cannot send anywhere helps nobody, however even its part is.
type Keeper struct {
	Spec
	grown int
	since time.Time
	calm  bool
}

const (
	growBelow   = 0.7              // usable share of a subset under which it grows: the module cuts 0.4 of its servers at most,
	shrinkAbove = 0.9              // and over which it may shrink
	growEvery   = time.Second      // between two steps up
	shrinkAfter = 30 * time.Second // of a good subset, for a step down
	mostGrown   = 16
)

// Now is the spec in force with so many servers known.
func (k *Keeper) Now(known int) Spec {
	s := k.Spec
	if k.grown > 0 {
		s.Size = min(max(s.Size, (1+s.Spare)*known/max(s.Copies, 1))<<k.grown, known)
	}
	return s
}

// Step hears at a time how many servers a copy sends to, of how many that it knows, and how many of them are usable, and tells
// whether the spec in force has changed.
func (k *Keeper) Step(now time.Time, chosen, known, usable int) bool {
	share := float64(usable) / float64(max(chosen, 1))
	switch {
	case share < growBelow && chosen < known && k.grown < mostGrown:
		k.calm = false
		if now.Sub(k.since) < growEvery {
			return false
		}
		k.grown++
	case share > shrinkAbove && k.grown > 0:
		if !k.calm {
			k.calm, k.since = true, now
		}
		if now.Sub(k.since) < shrinkAfter {
			return false
		}
		k.grown--
	default:
		k.calm = false
		return false
	}
	k.since = now
	return true
}
