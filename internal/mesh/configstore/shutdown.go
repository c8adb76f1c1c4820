package configstore

import (
	"time"

	"milletmast/internal/mesh/process"
)

// resign hands over the coordinator role, if this process has it, and waits a little for the change
// to be committed.
func (s *Server) resign() {
	handedOver := make(chan struct{})
	s.loop.Post(func() {
		out, successor := s.coordinator.Resign(time.Now())
		if successor == "" {
			close(handedOver)
			return
		}
		s.log.Info().Str("successor", successor).Msg("hand over coordinator role")
		s.apply(out)
		s.awaitCondition(func() bool { voters := s.replica.Voters(); return voters.Coordinator == successor }, handedOver)
	})
	select {
	case <-handedOver:
	case <-time.After(resignTimeout):
	}
}

// leave announces the shutdown and continues to serve until a learner has replaced this voter, if one
// is available, for at most a fraction of the grace time.
func (s *Server) leave() {
	replaced := make(chan struct{})
	s.loop.Post(func() {
		s.apply(s.replica.Leave(time.Now()))
		s.awaitCondition(func() bool { return s.replica.CanLeave(time.Now()) }, replaced)
	})
	select {
	case <-replaced:
	case <-time.After(time.Duration(leaveFraction * float64(s.grace))):
	}
	voters, ok := process.Call(s.loop, s.replica.Voters)
	s.log.Info().Bool("replaced", ok && !voters.Contains(s.replica.Self().DiskID)).Msg("leave voters")
}

// awaitCondition closes a channel once a condition holds. It polls the condition in the loop.
func (s *Server) awaitCondition(condition func() bool, done chan struct{}) {
	if condition() {
		close(done)
		return
	}
	s.loop.PostAfter(firstBackoff, func() { s.awaitCondition(condition, done) })
}
