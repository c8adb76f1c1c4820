package sidecar

import "sync/atomic"

// ledger counts the connections to servers of all pools, so that they never exceed the limit together, also while a
// reload moves descriptors from one pool to another. Each pool's own limit keeps it from taking what is promised to
// others. A nil ledger has no limit.
type ledger struct{ limit, used atomic.Int64 }

// take counts one more connection, if there is room for it.
func (l *ledger) take() bool {
	if l == nil {
		return true
	}
	if l.used.Add(1) > l.limit.Load() {
		l.used.Add(-1)
		return false
	}
	return true
}

// give counts one less.
func (l *ledger) give() {
	if l != nil {
		l.used.Add(-1)
	}
}
