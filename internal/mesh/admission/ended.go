package admission

import "slices"

// maxEndedInstances is the number of ended instances that are remembered.
const maxEndedInstances = 64

// endedInstances remembers the ids of the instances that ended last. What is older is forgotten: a report that such an instance serves
// has to be confirmed by a health check, as one of any instance that is not known.
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
