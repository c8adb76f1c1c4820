package consensus

import (
	"slices"
	"time"
)

// noteReproposed records that quorums of a joint configuration have accepted a key at one ballot
// and promised nothing above it. From then on no value can be committed that was proposed before
// the configuration was joint and that these quorums have not seen.
func (r *Replica) noteReproposed(key string, b Ballot) {
	if r.voters.IsJoint() && r.voters.HasQuorum(func(disk string) bool {
		h := stateOf(r.read.states[disk], key)
		return h.Accepted == b && h.Promised == b
	}) {
		r.reproposed[key] = true
	}
}

// ReproposeInJoint proposes again each key that a quorum of a joint configuration reported.
func (r *Replica) ReproposeInJoint(now time.Time) Output {
	if r.voters.IsJoint() {
		for _, key := range r.reportedInEpoch {
			if !r.reproposed[key] && r.rounds[key] == nil {
				r.enqueue(now, 0, Change{Kind: Repropose, Key: key})
			}
		}
	}
	return r.takeOutput()
}

// ReproposedInJoint reports whether each key that a quorum of the joint configuration reported in
// this epoch was committed again in it. Only then may the incoming voters replace the present ones.
func (r *Replica) ReproposedInJoint() bool {
	return r.voters.IsJoint() && r.reportedInEpoch != nil &&
		!slices.ContainsFunc(r.reportedInEpoch, func(key string) bool { return !r.reproposed[key] })
}

// reportedKeys returns the keys that voters reported in a quorum read as promised or accepted,
// sorted.
func (r *Replica) reportedKeys(read *quorumRead) []string {
	out := []string{}
	for disk, heads := range read.states {
		if !r.voters.Contains(disk) {
			continue
		}
		for _, h := range heads {
			if !slices.Contains(out, h.Key) {
				out = append(out, h.Key)
			}
		}
	}
	slices.Sort(out)
	return out
}
