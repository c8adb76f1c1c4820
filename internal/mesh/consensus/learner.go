package consensus

import (
	"maps"
	"slices"
	"time"
)

// commit records that a register is committed. No other function changes Replica.committed.
func (r *Replica) commit(now time.Time, register Register) {
	if old, ok := r.committed[register.Key]; ok && old.Accepted.Compare(register.Accepted) >= 0 {
		return
	}
	r.committed[register.Key] = register
	delete(r.stalledSince, register.Key)
	r.output.Changed = true
	if register.Key == VoterConfigKey {
		r.adoptVoters(now, register.Value.Voters)
	}
	r.extendLease(now)
}

// learnCommitted commits the register of a key if this disk has accepted it at the committed ballot.
func (r *Replica) learnCommitted(now time.Time, key string, b Ballot) {
	if register := r.acceptor.Get(key); register.Accepted == b && b != (Ballot{}) {
		r.commit(now, register)
	}
}

// broadcastCommit announces a committed ballot to all peers.
func (r *Replica) broadcastCommit(state RegisterState) {
	for _, addr := range r.PeerAddrs() {
		r.send(r.peers[addr], Request{Type: MsgCommit, States: []RegisterState{state}})
	}
}

// fetchRegisters requests registers from a peer.
func (r *Replica) fetchRegisters(addr string, keys ...string) {
	if p := r.peers[addr]; p != nil && len(keys) > 0 {
		r.send(p, Request{Type: MsgFetch, Keys: keys})
	}
}

// repair accepts a register that another replica has accepted, if it is newer, and reports whether
// the register changed.
func (r *Replica) repair(register Register) bool {
	if register.Accepted == (Ballot{}) || r.acceptor.Get(register.Key).Accepted.Compare(register.Accepted) >= 0 {
		return false
	}
	_, changed := r.acceptor.Accept(register.Key, register.Accepted, register.Value)
	if changed {
		r.persist(register.Key)
	}
	return changed
}

// adoptVoters replaces the voter configuration by a newer one, and is the only function that does.
// Replicas send only committed configurations.
func (r *Replica) adoptVoters(now time.Time, next *VoterConfig) {
	if next == nil || next.Epoch <= r.voters.Epoch || len(next.Voters) == 0 {
		return
	}
	r.voters = *next
	voters := r.voters
	r.output.Voters, r.output.Changed = &voters, true
	r.read, r.lastReadAt = nil, time.Time{} // the lease remains valid, as it covers the time before the change
	r.reportedInEpoch = nil
	clear(r.reproposed)
	for _, m := range r.voters.Members() {
		r.AddPeer(m.Addr)
	}
	for _, key := range slices.Sorted(maps.Keys(r.rounds)) {
		r.enterPhase(now, r.rounds[key], backingOff)
		r.rounds[key].retryAt, r.rounds[key].attempts = now, 0
	}
}
