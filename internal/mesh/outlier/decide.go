package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Ejection is an instance that is ejected, or was and has returned.
type Ejection struct {
	InstanceID, Service string
	Count               int // of its ejections, the present or last one included
	Returned            bool
}

// Decide returns the ejections that are to replace the present ones; changed is false if they stay.
// The function ejectedFor returns how long an instance has been ejected. If more instances of a
// service look unhealthy than may be ejected, a common cause is assumed and none is ejected.
func Decide(
	limits Limits,
	now time.Time,
	instances []Instance,
	votes []Vote,
	ejected []Ejection,
	ejectedFor func(instance string) time.Duration,
) (next []Ejection, changed bool) {
	next, changed = updateEjections(limits, instances, ejected, ejectedFor)
	serving, ejectedCount := map[string]int{}, map[string]int{} // by service: instances that accept requests, and that are ejected
	for _, instance := range instances {
		if instance.Serving {
			serving[instance.Service]++
		}
	}
	for _, e := range next {
		if !e.Returned {
			ejectedCount[e.Service]++
		}
	}
	agreed := map[string][]Tally{}
	for _, t := range TallyVotes(limits, now, instances, votes) {
		i := indexOf(next, t.ID)
		if t.Serving && !t.ProxyRestarted && limits.QuorumAgrees(&t) && (i < 0 || next[i].Returned) {
			agreed[t.Service] = append(agreed[t.Service], t)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(agreed)) {
		tallies := agreed[service]
		limit := int(limits.MaxEjectedShare * float64(serving[service]))
		if ejectedCount[service]+len(tallies) > limit {
			continue
		}
		slices.SortFunc(tallies, func(a, b Tally) int { return cmp.Compare(a.ID, b.ID) })
		for _, t := range tallies {
			next, changed = eject(next, t.ID, service), true
		}
	}
	return next, changed
}

// updateEjections removes the ejections of instances that have ended, and marks those whose ejection
// time is over as returned.
func updateEjections(
	limits Limits,
	instances []Instance,
	ejected []Ejection,
	ejectedFor func(instance string) time.Duration,
) (next []Ejection, changed bool) {
	known := map[string]bool{}
	for _, instance := range instances {
		known[instance.ID] = true
	}
	for _, e := range ejected {
		if !known[e.InstanceID] {
			changed = true
			continue
		}
		if !e.Returned && ejectedFor(e.InstanceID) >= limits.ejectionTime(e.Count) {
			e.Returned, changed = true, true
		}
		next = append(next, e)
	}
	return next, changed
}

// eject adds an ejection, or renews the one of an instance that has returned.
func eject(ejections []Ejection, instance, service string) []Ejection {
	if i := indexOf(ejections, instance); i >= 0 {
		ejections[i].Count++
		ejections[i].Returned = false
		return ejections
	}
	return append(ejections, Ejection{InstanceID: instance, Service: service, Count: 1})
}

// indexOf returns the index of the ejection of an instance; -1 for none.
func indexOf(ejections []Ejection, instance string) int {
	return slices.IndexFunc(ejections, func(e Ejection) bool { return e.InstanceID == instance })
}

// ejectionTime returns how long the count-th ejection of an instance lasts.
func (l *Limits) ejectionTime(count int) time.Duration {
	d := l.BaseEjectionTime
	for range count - 1 {
		if d = 2 * d; d >= l.MaxEjectionTime {
			return l.MaxEjectionTime
		}
	}
	return d
}
