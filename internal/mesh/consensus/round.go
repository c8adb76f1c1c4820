package consensus

import (
	"cmp"
	"slices"
	"time"

	"milletmast/internal/namehash"
)

// phase is the phase of a round.
type phase uint8

// The phases of a round. enterPhase is the one function that changes them.
const (
	backingOff phase = iota // waits until retryAt
	reading                 // reads the values that a quorum has accepted, which completes a read
	preparing               // phase 1: requests promises of a ballot from a quorum
	accepting               // phase 2: requests that a quorum accept the value
)

// proposal is a change that a caller waits for.
type proposal struct {
	id       uint64 // 0 for a proposal of the replica itself
	change   Change
	deadline time.Time
	result   Result // valid once the value of the round is committed
}

// round is the attempt to decide the pending proposals of one key.
type round struct {
	key          string
	phase        phase
	id           uint64
	ballot       Ballot
	proposals    []proposal
	votes        map[string]RegisterState // by disk, the state in its response that granted the request
	rejections   map[string]bool          // by disk: it has promised a higher ballot
	highest      Register                 // the register with the highest accepted ballot among the votes
	value        *Value
	changed      bool      // the value differs from that of highest
	sentAt       time.Time // when requests were last sent
	retryAt      time.Time // end of the backoff
	highestRound uint64    // round of a ballot that preempted this one
	attempts     int
}

// Propose starts a proposal. Its result is returned once, under its id, which must not be 0.
func (r *Replica) Propose(now time.Time, id uint64, c Change) Output {
	r.enqueue(now, id, c)
	return r.takeOutput()
}

func (r *Replica) enqueue(now time.Time, id uint64, c Change) {
	timeout := min(cmp.Or(c.Timeout, r.settings.ProposalTimeout), r.settings.ProposalTimeout)
	r.pending[c.Key] = append(r.pending[c.Key], proposal{id: id, change: c, deadline: now.Add(timeout)})
	r.startRound(now, c.Key)
}

// startRound starts a round for the pending proposals of a key, if none is in progress.
func (r *Replica) startRound(now time.Time, key string) {
	if r.rounds[key] != nil || len(r.pending[key]) == 0 {
		return
	}
	round := &round{key: key, proposals: r.pending[key]}
	delete(r.pending, key)
	r.rounds[key] = round
	first := preparing
	if !slices.ContainsFunc(round.proposals, func(x proposal) bool { return x.change.Kind != Read }) {
		first = reading
	}
	r.enterPhase(now, round, first)
}

// enterPhase is the one function that changes the phase of a round.
func (r *Replica) enterPhase(now time.Time, round *round, phase phase) {
	r.lastRequestID++
	round.phase, round.id, round.votes, round.rejections = phase, r.lastRequestID, map[string]RegisterState{}, map[string]bool{}
	own := r.acceptor.Get(round.key)
	switch phase {
	case backingOff:
		round.attempts++
		limit := min(firstBackoff<<min(round.attempts, 6), maxBackoff)
		round.retryAt = now.Add(time.Duration(namehash.Mix(namehash.Hash(r.self.DiskID)^round.id) % uint64(limit)))
		return
	case reading:
		round.highest = own
		round.votes[r.self.DiskID] = own.RegisterState
	case preparing:
		round.ballot = Ballot{max(own.Promised.Round, round.highestRound) + 1, r.self.DiskID}
		round.highest = own
		r.acceptor.Prepare(round.key, round.ballot)
		r.persist(round.key)
		round.votes[r.self.DiskID] = own.RegisterState
	case accepting:
		if ok, _ := r.acceptor.Accept(round.key, round.ballot, *round.value); !ok {
			r.enterPhase(now, round, backingOff)
			return
		}
		r.persist(round.key)
		round.votes[r.self.DiskID] = r.acceptor.Get(round.key).RegisterState
	}
	r.sendRound(now, round)
	r.checkQuorum(now, round)
}

// sendRound sends the requests of a round to the peers that have not voted. Read and prepare requests
// go to the voters, accept requests to all peers, so that learners stay up to date.
func (r *Replica) sendRound(now time.Time, round *round) {
	round.sentAt = now
	for _, addr := range r.PeerAddrs() {
		p := r.peers[addr]
		if _, ok := round.votes[p.member.DiskID]; ok && p.member.DiskID != "" {
			continue
		}
		wanted := p.member.DiskID == "" || r.voters.Contains(p.member.DiskID)
		req := Request{ID: round.id, Key: round.key}
		switch round.phase {
		case reading:
			req.Type, req.Accepted = MsgRead, round.highest.Accepted
		case preparing:
			req.Type, req.Ballot, req.Accepted = MsgPrepare, round.ballot, round.highest.Accepted
		case accepting:
			req.Type, req.Ballot, wanted = MsgAccept, round.ballot, true
			if req.SameAs = round.highest.Accepted; round.changed {
				req.Value = r.detachBody(round.value, p.detachedBodies)
			}
		}
		if wanted {
			r.send(p, req)
		}
	}
}

// expire returns the proposals before their deadline; the outcome of the others is Unknown.
func (r *Replica) expire(now time.Time, proposals []proposal) []proposal {
	return slices.DeleteFunc(proposals, func(x proposal) bool {
		expired := !now.Before(x.deadline)
		if expired && x.id != 0 {
			r.output.Results = append(r.output.Results, Result{Proposal: x.id, Outcome: Unknown})
		}
		return expired
	})
}
