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
	fastReadsPerLease  = 6                      // at least so many fast reads in the duration of a lease
	slowReadsPerLease  = 2
	peerTimeout        = 2 * time.Second        // a peer counts as alive for so long after its last message
	coordinatorTimeout = time.Second            // and the coordinator as heard from
	stalledTimeout     = 700 * time.Millisecond // after which an undecided key is proposed again, on this replica's turn
	stalledTurn        = 350 * time.Millisecond // between the turns of two replicas
	shortTurnDivisor   = 8                      // divides the turn where only this replica may see the need
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

// turn returns the number of members whose disks sort before this one.
func (r *Replica) turn() int {
	all := r.voters.Members()
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.DiskID, b.DiskID) })
	i := slices.IndexFunc(all, func(m Member) bool { return m.DiskID == r.self.DiskID })
	if i < 0 {
		return len(all)
	}
	return i
}
