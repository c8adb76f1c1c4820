package consensus

import (
	"slices"
	"time"
)

// noteReproposed marks a key as reproposed if quorums of the joint configuration have accepted it at
// one ballot and promised no higher ballot. From then on, no value can be committed that was proposed
// before the configuration was joint and that these quorums have not accepted.
func (r *Replica) noteReproposed(key string, b Ballot) {
	if r.voters.IsJoint() && r.voters.HasQuorum(func(disk string) bool {
		state := stateOf(r.read.states[disk], key)
		return state.Accepted == b && state.Promised == b
	}) {
		r.reproposed[key] = true
	}
}

// ReproposeInJoint proposes the current value again for each key that a quorum of the joint
// configuration reported and that was not committed in it yet.
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
	for disk, states := range read.states {
		if !r.voters.Contains(disk) {
			continue
		}
		for _, state := range states {
			if !slices.Contains(out, state.Key) {
				out = append(out, state.Key)
			}
		}
	}
	slices.Sort(out)
	return out
}
