package sidecar

import "sync/atomic"

// connBudget counts the connections to servers over all pools, so that together they never exceed the limit, even while a reload
// moves descriptors from one pool to another. The limit of each pool reserves the shares of the others. A nil connBudget has no
// limit.
type connBudget struct{ limit, used atomic.Int64 }

// reserve counts one more connection; false if the limit is reached.
func (l *connBudget) reserve() bool {
	if l == nil {
		return true
	}
	if l.used.Add(1) > l.limit.Load() {
		l.used.Add(-1)
		return false
	}
	return true
}

// release counts one connection less.
func (l *connBudget) release() {
	if l != nil {
		l.used.Add(-1)
	}
}
