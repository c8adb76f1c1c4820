package configstore

import (
	"time"

	"milletmast/internal/mesh/consensus"
	consensuswire "milletmast/internal/mesh/consensus/wire"
	"milletmast/internal/mesh/membership"
)

// apply persists the records of an output, then sends its requests and delivers its results.
func (s *Server) apply(out consensus.Output) {
	if !s.persist(out) {
		return
	}
	s.emit(out)
}

// persist writes the records of an output to disk. If it returns false, the disk failed, and the
// output must not be emitted.
func (s *Server) persist(out consensus.Output) bool {
	if s.storageFailed {
		return false
	}
	if err := s.disk.persist(out.Registers, out.Voters); err != nil {
		s.log.Error().Err(err).Msg("persist state")
		s.storageFailed = true
		for id, done := range s.proposals {
			delete(s.proposals, id)
			done(consensus.Result{Outcome: consensus.Unknown})
		}
		s.pushSnapshot()
		return false
	}
	return true
}

// recoverStorage writes the whole state again after a failure of the disk, and resumes once that
// succeeds.
func (s *Server) recoverStorage() {
	voters := s.replica.Voters()
	clear(s.disk.acceptedAt)
	if err := s.disk.persist(s.replica.Acceptor().Registers(), &voters); err != nil {
		return
	}
	s.storageFailed = false
	s.log.Info().Msg("resume after disk failure")
}

// emit sends the requests of an output and delivers its results. The records of the output must be
// on disk.
func (s *Server) emit(out consensus.Output) {
	s.connectPeers()
	for i := range out.Requests {
		if outbox := s.peers[out.Requests[i].To]; outbox != nil {
			req := out.Requests[i]
			req.From, req.To = consensus.Member{}, ""
			outbox.Send(consensuswire.FromRequest(&req))
		}
	}
	for _, r := range out.Results {
		if done := s.proposals[r.Proposal]; done != nil {
			delete(s.proposals, r.Proposal)
			done(r)
		}
	}
	if out.Changed {
		s.pushSnapshot()
	}
	s.logState()
	s.scheduleTick()
}

// scheduleTick schedules a tick for what is due before the next regular one.
func (s *Server) scheduleTick() {
	if s.wakeTimer != nil {
		s.wakeTimer.Stop()
	}
	now := time.Now()
	if wait := s.coordinator.NextTick(now).Sub(now); wait < s.scale(tickInterval) {
		s.wakeTimer = s.loop.PostAfter(max(wait, time.Millisecond), s.tick)
	}
}

// logState logs a change of the role, the voter configuration or the lease.
func (s *Server) logState() {
	voters, current := s.replica.Voters(), loggedState{state: s.coordinator.State(), hasLease: s.replica.LeaseRemaining(time.Now()) > 0}
	if current.epoch = voters.Epoch; current == s.lastLogged {
		return
	}
	s.log.Info().
		Uint64("epoch", voters.Epoch).
		Int("voters", len(voters.Voters)).
		Int("incoming", len(voters.Incoming)).
		Str("coordinator", voters.Coordinator).
		Stringer("role", current.state).
		Bool("lease", current.hasLease).
		Msg("adopt voter configuration")
	s.lastLogged = current
}

// loggedState is the part of the state of which logState logs changes.
type loggedState struct {
	epoch    uint64
	state    membership.State
	hasLease bool
}
