package admission

import "slices"

// maxEndedInstances is the number of ended instances whose ids are kept.
const maxEndedInstances = 64

// endedInstances holds the ids of the instances that ended last. Older ones may be dropped, as callers confirm by a health check that an
// instance serves which is not the present one.
type endedInstances struct{ ids []string } // the oldest is first

func (e *endedInstances) add(id string) {
	if e.contains(id) {
		return
	}
	if len(e.ids) >= maxEndedInstances {
		e.ids = slices.Delete(e.ids, 0, 1)
	}
	e.ids = append(e.ids, id)
}

func (e *endedInstances) contains(id string) bool { return slices.Contains(e.ids, id) }
