package clusterview

import "time"

// hasSuspects reports whether a member is suspected.
func (t *Tracker) hasSuspects() bool {
	for _, member := range t.members {
		if member.State == Suspect {
			return true
		}
	}
	return false
}

// countMissing returns how many of the agreed members are no longer counted and have not left.
func (t *Tracker) countMissing() int {
	missing := 0
	for _, name := range t.agreedMembers {
		if member := t.members[name]; member == nil || !member.isCounted() && member.State != Left {
			missing++
		}
	}
	return missing
}

// quorum returns the smallest majority of the agreed members: at most one side of a partition has one.
func (t *Tracker) quorum() int { return len(t.agreedMembers)/2 + 1 }

// updateLoss reports whether so many agreed members are missing that this replica may be partitioned off: no quorum is
// left, or more than MaxSuddenLoss has been missing for less than twice the HoldTime. It updates lossStartedAt
// and lostQuorum.
func (t *Tracker) updateLoss(now time.Time) bool {
	agreed := len(t.agreedMembers)
	missing := t.countMissing()
	noQuorum := agreed-missing < t.quorum()
	if agreed < 2 || float64(missing) <= t.config.MaxSuddenLoss*float64(agreed) && !noQuorum {
		t.lossStartedAt = time.Time{}
		return false
	}
	if t.lossStartedAt.IsZero() || t.lostQuorum && !noQuorum {
		t.lossStartedAt = now
	}
	t.lostQuorum = noQuorum
	// The side with a quorum continues alone once the other side has doubled its replicas, and each member has noticed.
	return noQuorum || now.Sub(t.lossStartedAt) < 2*t.config.HoldTime
}
