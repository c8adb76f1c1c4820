package controlplane

import (
	"slices"
)

// pushWait is a completed command whose caller gets the result once the proxies have applied it.
type pushWait struct {
	sessions      map[*session]uint64 // proxies that have not applied it, with the update that they are to acknowledge
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
	for session := range s.proxies {
		if session.lastAcked < session.lastPushed || session.configVersion < wait.configVersion {
			wait.sessions[session] = session.lastPushed
		}
	}
	if len(wait.sessions) == 0 {
		done()
		return
	}
	s.pushWaits = append(s.pushWaits, wait)
	s.loop.PostAfter(ackTimeout, func() { s.finishWait(wait) })
}

// proxyAcked removes a proxy from the waits if it has applied their updates or has disconnected, and
// finishes those that wait for no other proxy.
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

// finishWait ends a wait, complete or not, and reports the result of its command.
func (s *Server) finishWait(wait *pushWait) {
	if i := slices.Index(s.pushWaits, wait); i >= 0 {
		s.pushWaits = slices.Delete(s.pushWaits, i, i+1)
		if len(wait.sessions) > 0 {
			s.log.Warn().Int("proxies", len(wait.sessions)).Msg("stop waiting for proxies")
		}
		wait.done()
	}
}
