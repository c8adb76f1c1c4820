package consensus

import (
	"slices"
	"time"
)

// handleVote handles the response of a peer to a request of a round.
func (r *Replica) handleVote(now time.Time, round *round, p *peer, resp *Response) {
	switch {
	case resp.MissingValue:
		r.sendAccept(p, round)
		return
	case resp.MissingBody != 0:
		if body, ok := r.findBody(resp.MissingBody); ok {
			r.send(p, Request{Type: MsgBody, Body: body})
			r.sendAccept(p, round)
		}
		return
	case !resp.Granted:
		if resp.State.Promised.Compare(round.ballot) > 0 {
			round.highestRound = max(round.highestRound, resp.State.Promised.Round)
			round.rejections[resp.From.DiskID] = true
			if !r.voters.HasQuorum(func(disk string) bool { return !round.rejections[disk] }) {
				r.enterPhase(now, round, backingOff)
			}
		}
		return
	}
	if round.phase != accepting && resp.Value != nil && resp.State.Accepted.Compare(round.highest.Accepted) > 0 {
		v, ok := r.attachBody(resp.Value)
		if !ok { // the vote counts once the body has arrived
			r.requestBody(now, p, resp.Value.BodyDigest)
			return
		}
		round.highest = Register{resp.State, *v}
	}
	round.votes[resp.From.DiskID] = resp.State
	r.checkQuorum(now, round)
}

// sendAccept sends a peer the request to accept the value of a round.
func (r *Replica) sendAccept(p *peer, round *round) {
	r.send(p, Request{
		ID:     round.id,
		Type:   MsgAccept,
		Key:    round.key,
		Ballot: round.ballot,
		Value:  r.detachBody(round.value, p.detachedBodies),
	})
}

// checkQuorum continues a round once a quorum has voted.
func (r *Replica) checkQuorum(now time.Time, round *round) {
	if !r.voters.HasQuorum(func(disk string) bool { _, ok := round.votes[disk]; return ok }) {
		return
	}
	switch round.phase {
	case reading:
		// A value that a quorum has accepted at one ballot is committed. If this cannot be
		// established, the value is proposed again.
		if r.committed[round.key].Accepted.Compare(round.highest.Accepted) >= 0 ||
			r.voters.HasQuorum(func(disk string) bool {
				vote, ok := round.votes[disk]
				return ok && vote.Accepted == round.highest.Accepted
			}) {
			for i := range round.proposals {
				round.proposals[i].result = Result{Outcome: Committed}
			}
			if round.highest.Accepted != (Ballot{}) {
				r.repair(round.highest)
				r.commit(now, round.highest)
			}
			r.finishRound(now, round)
			return
		}
		r.enterPhase(now, round, preparing)
	case preparing:
		r.applyChanges(now, round)
	case accepting:
		if r.voters.IsJoint() {
			r.reproposed[round.key] = true
		}
		r.commit(now, Register{RegisterState{round.key, round.ballot, round.ballot}, *round.value})
		r.broadcastCommit(RegisterState{Key: round.key, Accepted: round.ballot})
		r.finishRound(now, round)
	}
}

// applyChanges applies the changes of a round to the value that may be committed already, and starts
// the accept phase with the result. Proposals that arrived since join the round, unless there is no
// value to accept: the promises precede these proposals and do not cover values that were committed
// in between.
func (r *Replica) applyChanges(now time.Time, round *round) {
	joined := len(round.proposals)
	round.proposals = append(round.proposals, r.pending[round.key]...)
	delete(r.pending, round.key)
	var current *Value
	if round.highest.Accepted != (Ballot{}) {
		current = &round.highest.Value
	}
	round.changed = false
	for i := range round.proposals {
		x := &round.proposals[i]
		if x.change.Kind == Reconfigure && x.change.Voters.Epoch != r.voters.Epoch+1 {
			if x.result.Outcome = Conflict; x.change.Voters.equal(&r.voters) {
				x.result.Outcome = Committed
			}
			continue
		}
		next, outcome := x.change.Apply(current)
		x.result = Result{Outcome: outcome, Changed: next != current || x.change.alreadyApplied(current)}
		if next != current && next.Version.Proposer != "" {
			x.change.Attempted = append(x.change.Attempted, next.Version)
		}
		round.changed, current = round.changed || next != current, next
	}
	if current == nil { // no value is committed and none is proposed; the promises exclude lower ballots
		if r.voters.IsJoint() {
			r.reproposed[round.key] = true
		}
		r.pending[round.key], round.proposals = slices.Clone(round.proposals[joined:]), round.proposals[:joined]
		r.finishRound(now, round)
		return
	}
	round.value = current
	r.enterPhase(now, round, accepting)
}

// finishRound ends a round and returns the results of its proposals.
func (r *Replica) finishRound(now time.Time, round *round) {
	delete(r.rounds, round.key)
	var v *Value
	if x, ok := r.committed[round.key]; ok {
		v = &x.Value
	}
	for _, x := range round.proposals {
		if x.id != 0 {
			x.result.Proposal, x.result.Value = x.id, v
			r.output.Results = append(r.output.Results, x.result)
		}
	}
	r.startRound(now, round.key)
}
