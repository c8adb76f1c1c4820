package consensus

import (
	"maps"
	"slices"
	"time"
)

// peer holds the state of another replica.
type peer struct {
	addr             string
	member           Member
	epoch            uint64    // of its last message
	lastReceived     time.Time // arrival of its last message
	lastInSync       time.Time // when it was last found to have accepted all registers that this replica has committed
	detachedBodies   bool      // it accepts values without their large bodies
	leaving          bool      // it shuts down soon
	coordinatorAlive bool      // its last report: it has received messages from the coordinator recently
	reportedAt       time.Time // arrival of that report
}

// PeerStatus is the last known status of another replica.
type PeerStatus struct {
	Member                 // its DiskID is empty if no message was received from it
	LastReceived time.Time // arrival of its last message
	aliveUntil   time.Time // it counts as alive until then
	LastInSync   time.Time // when it was last found to have accepted all registers that this replica has committed
	Leaving      bool      // it has announced that it shuts down
}

// Alive reports whether a message was received from the peer recently.
func (s *PeerStatus) Alive(now time.Time) bool { return s.DiskID != "" && now.Before(s.aliveUntil) }

// PeerStatuses returns the status of all peers, sorted by address.
func (r *Replica) PeerStatuses() []PeerStatus {
	out := make([]PeerStatus, 0, len(r.peers))
	for _, addr := range r.PeerAddrs() {
		p := r.peers[addr]
		status := PeerStatus{p.member, p.lastReceived, p.lastReceived.Add(r.Scale(peerTimeout)), p.lastInSync, p.leaving}
		status.Addr = addr
		out = append(out, status)
	}
	return out
}

// AddPeer adds a peer by its address.
func (r *Replica) AddPeer(addr string) {
	if addr != "" && addr != r.self.Addr && r.peers[addr] == nil {
		r.peers[addr] = &peer{addr: addr}
	}
}

// PeerAddrs returns the addresses of all peers, sorted.
func (r *Replica) PeerAddrs() []string { return slices.Sorted(maps.Keys(r.peers)) }

// PeerReconnected handles a new connection to a peer: the voter configuration is sent to it again,
// and so is the current quorum read if this replica holds no lease.
func (r *Replica) PeerReconnected(now time.Time, addr string) Output {
	p := r.peers[addr]
	if p == nil {
		return r.takeOutput()
	}
	p.epoch = 0
	r.resetBodyRequests(addr)
	if r.read != nil && r.LeaseRemaining(now) == 0 {
		r.requestStates(p)
	}
	return r.takeOutput()
}

// Leave announces that this process shuts down soon. The replica serves until then.
func (r *Replica) Leave(now time.Time) Output {
	r.leaving = true
	r.startQuorumRead(now)
	return r.takeOutput()
}

// IsLeaving reports whether this process has announced that it shuts down.
func (r *Replica) IsLeaving() bool { return r.leaving }

// CanLeave reports whether this process may shut down: it is no voter, or no learner is available to
// replace it.
func (r *Replica) CanLeave(now time.Time) bool {
	if !r.voters.Contains(r.self.DiskID) && !r.voters.IsJoint() {
		return true
	}
	for _, p := range r.PeerStatuses() {
		if p.Alive(now) && p.InQuorum && !p.Leaving && !ContainsDisk(r.voters.Voters, p.DiskID) {
			return false
		}
	}
	return true
}
