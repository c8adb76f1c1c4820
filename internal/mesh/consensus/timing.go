package consensus

import (
	"cmp"
	"slices"
	"time"
)

const (
	resendInterval     = 250 * time.Millisecond // a request without a response is resent
	firstBackoff       = 20 * time.Millisecond  // upper bound of the first backoff after a ballot was preempted
	maxBackoff         = 800 * time.Millisecond
	fastReadInterval   = 300 * time.Millisecond // between quorum reads of the coordinator, and of a replica without a lease
	slowReadInterval   = 900 * time.Millisecond // of any other replica
	fastReadsPerLease  = 6                      // minimum number of fast reads in the duration of a lease
	slowReadsPerLease  = 2                      // minimum number of slow reads in the duration of a lease
	peerTimeout        = 2 * time.Second        // after the last message of a peer, during which it counts as alive
	coordinatorTimeout = time.Second            // after the last message of the coordinator, during which it counts as reachable
	stalledTimeout     = 700 * time.Millisecond // after which the first replica proposes an undecided key again
	stalledTurn        = 350 * time.Millisecond // further wait per replica that sorts before this one
	shortTurnDivisor   = 8                      // divides stalledTurn where only this replica may have an undecided key
)

// Scale scales a time by the settings.
func (r *Replica) Scale(d time.Duration) time.Duration {
	return time.Duration(cmp.Or(r.settings.TimeScale, 1) * float64(d))
}

// readInterval returns the time between two quorum reads.
func (r *Replica) readInterval(now time.Time) time.Duration {
	slow := min(r.Scale(slowReadInterval), r.settings.Lease/slowReadsPerLease)
	if r.voters.Coordinator == r.self.DiskID || r.LeaseRemaining(now) < slow {
		return r.fastInterval()
	}
	return slow
}

// fastInterval returns the time between two quorum reads where freshness matters most.
func (r *Replica) fastInterval() time.Duration {
	return min(r.Scale(fastReadInterval), r.settings.Lease/fastReadsPerLease)
}

// turn returns the number of members whose disks sort before that of this replica.
func (r *Replica) turn() int {
	all := r.voters.Members()
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.DiskID, b.DiskID) })
	i := slices.IndexFunc(all, func(m Member) bool { return m.DiskID == r.self.DiskID })
	if i < 0 {
		return len(all)
	}
	return i
}
