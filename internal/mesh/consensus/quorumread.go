package consensus

import (
	"maps"
	"slices"
	"time"
)

// quorumRead requests the states of the registers of all replicas. The states that a quorum returns
// cover every value that was committed when the read was sent. Once this replica has committed all
// of these, it holds a lease that counts from the time at which the read was sent.
type quorumRead struct {
	id        uint64
	startedAt time.Time
	ownStates []RegisterState            // when the read was sent
	ownDigest uint64                     // digest of ownStates
	states    map[string][]RegisterState // by disk
	required  map[string]Ballot          // by key, the highest ballot that a quorum reported as accepted; nil until a quorum has responded
}

// startQuorumRead sends a quorum read to all peers.
func (r *Replica) startQuorumRead(now time.Time) {
	r.lastRequestID++
	r.lastReadAt = now
	r.read = &quorumRead{id: r.lastRequestID, startedAt: now, ownStates: r.acceptor.States(), states: map[string][]RegisterState{}}
	r.read.ownDigest = digestStates(r.read.ownStates)
	for _, addr := range r.PeerAddrs() {
		r.requestStates(r.peers[addr])
	}
	r.evaluateQuorumRead(now)
}

func (r *Replica) requestStates(p *peer) {
	r.send(p, Request{ID: r.read.id, Type: MsgStates, Digest: r.read.ownDigest})
}

// coordinatorReachable reports whether this process is the coordinator, or has received a message from
// it recently.
func (r *Replica) coordinatorReachable(now time.Time) bool {
	if r.voters.Coordinator == r.self.DiskID {
		return true
	}
	for _, p := range r.peers {
		if p.member.DiskID == r.voters.Coordinator && now.Sub(p.lastReceived) < r.Scale(coordinatorTimeout) {
			return r.voters.Coordinator != ""
		}
	}
	return false
}

// CoordinatorLost reports whether a quorum has recently reported that it receives no messages from
// the coordinator. A process that alone lost its connection to the coordinator must not replace it.
// While the result is false, quorum reads are sent more often.
func (r *Replica) CoordinatorLost(now time.Time) (Output, bool) {
	if r.voters.HasQuorum(func(disk string) bool {
		if disk == r.self.DiskID {
			return !r.coordinatorReachable(now)
		}
		for _, p := range r.peers {
			if p.member.DiskID == disk {
				return !p.coordinatorAlive && now.Sub(p.reportedAt) < r.Scale(coordinatorTimeout)
			}
		}
		return false
	}) {
		return r.takeOutput(), true
	}
	if now.Sub(r.lastReadAt) >= r.fastInterval() {
		r.startQuorumRead(now)
	}
	return r.takeOutput(), false
}

// handleStates handles the response of a peer to a quorum read, and fetches the registers that are
// newer at the peer.
func (r *Replica) handleStates(now time.Time, p *peer, resp *Response) {
	read := r.read
	states := resp.States
	if resp.SameStates {
		states = read.ownStates
	}
	p.coordinatorAlive, p.reportedAt = resp.CoordinatorAlive, now
	if _, ok := read.states[resp.From.DiskID]; ok {
		return // a duplicate
	}
	read.states[resp.From.DiskID] = states
	if r.holdsCommitted(states) {
		p.lastInSync = now
	}
	var newer []string
	for _, state := range states {
		own := r.acceptor.Get(state.Key)
		if state.Accepted.Compare(own.Accepted) > 0 && state.Accepted.Compare(own.Promised) >= 0 {
			newer = append(newer, state.Key)
		}
	}
	r.fetchRegisters(p.addr, newer...)
	r.evaluateQuorumRead(now)
}

// evaluateQuorumRead commits the values that a quorum has accepted at one ballot.
func (r *Replica) evaluateQuorumRead(now time.Time) {
	read := r.read
	if r.voters.Contains(r.self.DiskID) {
		read.states[r.self.DiskID] = r.acceptor.States()
	}
	if !r.voters.HasQuorum(func(disk string) bool { _, ok := read.states[disk]; return ok }) {
		return
	}
	read.required, r.reportedInEpoch = map[string]Ballot{}, r.reportedKeys(read)
	for disk, states := range read.states {
		if !r.voters.Contains(disk) {
			continue
		}
		for _, state := range states {
			if state.Accepted.Compare(read.required[state.Key]) > 0 {
				read.required[state.Key] = state.Accepted
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(read.required)) {
		b := read.required[key]
		if !r.voters.HasQuorum(func(disk string) bool { return stateOf(read.states[disk], key).Accepted == b }) {
			continue
		}
		if r.learnCommitted(now, key, b); r.read != read {
			return // the voter configuration has changed
		}
		r.noteReproposed(key, b)
	}
	r.extendLease(now)
}

// holdsCommitted reports whether a replica with these states has accepted every register that this
// replica has committed.
func (r *Replica) holdsCommitted(states []RegisterState) bool {
	for key, x := range r.committed {
		if stateOf(states, key).Accepted.Compare(x.Accepted) < 0 {
			return false
		}
	}
	return true
}

func stateOf(states []RegisterState, key string) RegisterState {
	if i := slices.IndexFunc(states, func(s RegisterState) bool { return s.Key == key }); i >= 0 {
		return states[i]
	}
	return RegisterState{}
}

// extendLease extends the lease if every ballot that the quorum reported is committed here.
func (r *Replica) extendLease(now time.Time) {
	read := r.read
	if read == nil || read.required == nil {
		return
	}
	missing := false
	for key, b := range read.required {
		if r.committed[key].Accepted.Compare(b) < 0 {
			missing = true
			if _, ok := r.stalledSince[key]; !ok {
				r.stalledSince[key] = now
			}
		}
	}
	if missing {
		return
	}
	if until := read.startedAt.Add(r.settings.Lease); until.After(r.leaseUntil) {
		if r.leaseUntil.Before(now) {
			r.output.Changed = true
		}
		r.leaseUntil = until
	}
}

// reproposeStalled proposes again the keys that stay undecided, as their proposer may have failed.
// The replicas wait for different times, so that one of them proposes first. A replica that has
// promised a ballot and accepted no value at it waits for less: the key may be committed at the
// other replicas, which then do not repropose it.
func (r *Replica) reproposeStalled(now time.Time) {
	for _, key := range slices.Sorted(maps.Keys(r.stalledSince)) {
		wait := stalledTurn
		if x := r.acceptor.Get(key); x.Promised != x.Accepted {
			wait /= shortTurnDivisor
		}
		if now.Sub(r.stalledSince[key]) < r.Scale(stalledTimeout+time.Duration(r.turn())*wait) {
			continue
		}
		r.stalledSince[key] = now
		if r.rounds[key] == nil {
			r.enqueue(now, 0, Change{Kind: Repropose, Key: key})
		}
	}
}
