package consensus

import (
	"maps"
	"slices"
	"time"
)

// peer is the state that is kept of another replica.
type peer struct {
	addr             string
	member           Member
	epoch            uint64 // of its last message
	lastHeard        time.Time
	lastInSync       time.Time // it was last found to have accepted all that is known as committed
	detachedBodies   bool      // it accepts values without their large bodies
	leaving          bool      // it shuts down soon
	coordinatorAlive bool      // it has heard from the coordinator, as it reported last
	reportedAt       time.Time // when it reported that
}

// PeerStatus is another replica as this one sees it.
type PeerStatus struct {
	Member               // its DiskID is empty if it was never heard from
	LastHeard  time.Time // when its last message came
	aliveUntil time.Time // it counts as alive until then
	LastInSync time.Time // it was last found to have accepted all that is known as committed
	Leaving    bool      // it has announced that it shuts down
}

// Alive reports whether the peer was heard from recently.
func (s *PeerStatus) Alive(now time.Time) bool { return s.DiskID != "" && now.Before(s.aliveUntil) }

// PeerStatuses returns the status of all peers, sorted by address.
func (r *Replica) PeerStatuses() []PeerStatus {
	out := make([]PeerStatus, 0, len(r.peers))
	for _, addr := range r.PeerAddrs() {
		p := r.peers[addr]
		o := PeerStatus{p.member, p.lastHeard, p.lastHeard.Add(r.Scale(peerTimeout)), p.lastInSync, p.leaving}
		o.Addr = addr
		out = append(out, o)
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

// PeerReconnected handles a new connection to a peer: it is sent the voter configuration again, and
// the current quorum read if there is no lease yet.
func (r *Replica) PeerReconnected(now time.Time, addr string) Output {
	p := r.peers[addr]
	if p == nil {
		return r.takeOutput()
	}
	p.epoch = 0
	r.forgetBodyRequests(addr)
	if r.read != nil && r.LeaseRemaining(now) == 0 {
		r.requestStates(p)
	}
	return r.takeOutput()
}

// Leave announces that this process shuts down soon. The replica goes on serving until it does.
func (r *Replica) Leave(now time.Time) Output {
	r.leaving = true
	r.startQuorumRead(now)
	return r.takeOutput()
}

// IsLeaving reports whether this process has announced that it shuts down.
func (r *Replica) IsLeaving() bool { return r.leaving }

// CanLeave reports whether this process is no voter, or no replica waits to take its place.
func (r *Replica) CanLeave(now time.Time) bool {
	if !r.voters.Contains(r.self.DiskID) && !r.voters.IsJoint() {
		return true
	}
	for _, o := range r.PeerStatuses() {
		if o.Alive(now) && o.InQuorum && !o.Leaving && !ContainsDisk(r.voters.Voters, o.DiskID) {
			return false
		}
	}
	return true
}
