package controlplane

import (
	"slices"
)

// pushWait is a command that waits for proxies to apply it.
type pushWait struct {
	sessions      map[*session]uint64
	configVersion uint64
	done          func()
}

// awaitProxies calls done once all connected proxies have applied what was pushed to them so far,
// or after ackTimeout.
func (s *Server) awaitProxies(done func()) {
	wait := &pushWait{sessions: map[*session]uint64{}, done: done}
	if snapshot := s.contact.Snapshot(); snapshot != nil {
		wait.configVersion = snapshot.ConfigVersion
	}
	for k := range s.proxies {
		if k.lastAcked < k.lastPushed || k.configVersion < wait.configVersion {
			wait.sessions[k] = k.lastPushed
		}
	}
	if len(wait.sessions) == 0 {
		done()
		return
	}
	s.pushWaits = append(s.pushWaits, wait)
	s.loop.PostAfter(ackTimeout, func() { s.finishWait(wait) })
}

// proxyAcked finishes the waits for which this was the last proxy.
func (s *Server) proxyAcked(session *session) {
	for _, wait := range slices.Clone(s.pushWaits) {
		if n, ok := wait.sessions[session]; ok &&
			(session.lastAcked >= n && session.configVersion >= wait.configVersion || !s.proxies[session]) {
			delete(wait.sessions, session)
			if len(wait.sessions) == 0 {
				s.finishWait(wait)
			}
		}
	}
}

func (s *Server) finishWait(wait *pushWait) {
	if i := slices.Index(s.pushWaits, wait); i >= 0 {
		s.pushWaits = slices.Delete(s.pushWaits, i, i+1)
		if len(wait.sessions) > 0 {
			s.log.Warn().Int("proxies", len(wait.sessions)).Msg("stop waiting for proxies")
		}
		wait.done()
	}
}
