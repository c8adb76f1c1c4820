// Package lease tracks how long a control plane may serve the state that its configuration store has
// sent it. The acknowledgement of a heartbeat renews the lease; it carries the remaining time of the
// store's own read lease. The lease counts on the monotonic clock from when the heartbeat was sent, so
// neither a message that waited in a socket nor a stalled process extends it (C. Gray and D.
// Cheriton, "Leases", 1989). The package reads no clock: the time is an argument.
package lease

import "time"

// maxPending is the maximum number of heartbeats without an acknowledgement that are recorded. A
// connection that is not idle has fewer.
const maxPending = 16

// Lease is held until its expiry, which only set changes. The zero value is not held. It is not safe
// for concurrent use.
type Lease struct {
	expiry     time.Time   // zero for none
	lastNumber uint64      // number of the last heartbeat that was sent
	pending    []heartbeat // heartbeats after the last acknowledged one, in order
}

type heartbeat struct {
	number uint64
	sentAt time.Time
}

// StartHeartbeat records that a heartbeat is sent now and returns its number. Numbers are never
// reused, even on another connection.
func (l *Lease) StartHeartbeat(now time.Time) uint64 {
	l.lastNumber++
	if len(l.pending) == maxPending {
		l.pending = append(l.pending[:0], l.pending[1:]...)
	}
	l.pending = append(l.pending, heartbeat{l.lastNumber, now})
	return l.lastNumber
}

// HeartbeatAcked handles the acknowledgement of a heartbeat; remaining is the remaining time
// of the store's lease when the store sent the acknowledgement. It reports whether the lease is held
// now and was not just before. The acknowledgement of an unknown heartbeat, or of one older than the
// last acknowledged heartbeat, has no effect.
func (l *Lease) HeartbeatAcked(now time.Time, number uint64, remaining time.Duration) (gained bool) {
	for i, h := range l.pending {
		if h.number != number {
			continue
		}
		l.pending = append(l.pending[:0], l.pending[i+1:]...)
		return l.set(now, h.sentAt.Add(max(remaining, 0)))
	}
	return false
}

// Revoke ends the lease when the store is unreachable. Later acknowledgements of earlier heartbeats are
// ignored.
func (l *Lease) Revoke(now time.Time) {
	l.pending = l.pending[:0]
	l.set(now, time.Time{})
}

// set changes the expiry, and reports whether the lease is held now and was not before.
func (l *Lease) set(now, expiry time.Time) (gained bool) {
	was := l.IsHeld(now)
	l.expiry = expiry
	return !was && l.IsHeld(now)
}

// IsHeld reports whether the lease is held at a time.
func (l *Lease) IsHeld(now time.Time) bool { return now.Before(l.expiry) }

// Expiry returns when the lease expires unless it is renewed; zero for none.
func (l *Lease) Expiry() time.Time { return l.expiry }
