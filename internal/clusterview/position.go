package clusterview

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// configuredPosition is the position of a replica that knows no other member.
func (t *Tracker) configuredPosition(reason string) Position {
	return Position{t.config.ConfiguredReplicas, t.config.ConfiguredRank, reason}
}

// uncertainPosition is the position of a replica that may be partitioned off. With a quorum of the agreed members left it
// is the agreed position, less at most MaxSuddenLoss; without one, the agreed position, and after HoldTime twice as many
// replicas.
func (t *Tracker) uncertainPosition(counted int, now time.Time) Position {
	agreed := len(t.agreedMembers)
	missing := t.countMissing()
	rank := max(rankOf(t.agreedMembers, t.self), 0)
	if agreed-missing >= t.quorum() {
		minReplicas := int(math.Ceil((1 - t.config.MaxSuddenLoss) * float64(agreed)))
		replicas := max(counted, minReplicas)
		return Position{replicas, min(rank, replicas-1), fmt.Sprintf("%d of %d are out of sight at once: held", missing, agreed)}
	}
	isHalf := 2*(agreed-missing) == agreed // of two halves neither assumes that the other one has failed
	if now.Sub(t.lossStartedAt) < t.config.HoldTime || isHalf {
		return Position{max(counted, agreed), rank, "less than a quorum is in sight: held"}
	}
	return Position{max(counted, 2*agreed), rank, "less than a quorum is in sight for long: the others still send"}
}

// changingPosition is the position while members come and go. It uses the larger number of replicas, so that this replica
// takes no share that another one may still hold.
func (t *Tracker) changingPosition(counted []string) Position {
	return Position{max(len(counted), t.position.Replicas), rankOf(counted, t.self), "members come and go"}
}

// rankOf returns the index of a name in a sorted list, or -1.
func rankOf(names []string, name string) int {
	i, found := slices.BinarySearch(names, name)
	if !found {
		return -1
	}
	return i
}
