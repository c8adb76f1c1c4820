package controlplane

import (
	"time"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/transport"
)

// markChanged schedules a push of the record of a node.
func (s *Server) markChanged(node string) {
	s.changedNodes[node] = true
	if !s.flushScheduled {
		s.flushScheduled = true
		s.loop.PostAfter(pushDelay, s.flushChanges)
	}
}

// flushChanges pushes the records that have changed to proxies and peers.
func (s *Server) flushChanges() {
	s.flushScheduled = false
	update := discovery.ControlMessage{HasContact: s.hasContact()}
	msg := discovery.PeerMessage{}
	for node := range s.changedNodes {
		if record, ok := s.registry.Get(node); ok {
			update.Nodes = append(update.Nodes, record)
			if s.nodesForPeers[node] {
				msg.Records = append(msg.Records, record.NodeRecord)
			}
		} else {
			update.Removed = append(update.Removed, node)
		}
	}
	clear(s.changedNodes)
	clear(s.nodesForPeers)
	for session := range s.proxies {
		if session.primary {
			s.pushUpdate(session, update)
		}
	}
	if len(msg.Records) > 0 {
		encoded := discoverywire.FromPeerMessage(&msg)
		for _, peer := range s.peers {
			if peer != nil {
				s.send(peer, encoded)
			}
		}
	}
}

// pushUpdate sends a numbered update to a proxy.
func (s *Server) pushUpdate(session *session, msg discovery.ControlMessage) {
	session.lastPushed++
	msg.Sequence = session.lastPushed
	if snapshot := msg.Snapshot; snapshot != nil && snapshot.Confirmed && len(snapshot.Config) > 0 {
		session.sentConfig = configRef{snapshot.ConfigVersion, snapshot.Epoch}
	}
	s.sendMessage(session, msg)
}

// sendMessage sends a message to a proxy. If the message depends on the lease, the lease is checked
// again when the message leaves the queue: if it has expired by then, the snapshot is left out and
// pushed again under the next lease.
func (s *Server) sendMessage(session *session, msg discovery.ControlMessage) {
	session.announcedContact = msg.HasContact
	if !msg.HasContact {
		s.send(session, discoverywire.FromControlMessage(&msg))
		return
	}
	s.send(session, transport.Deferred(func() any {
		if !s.hasContact() {
			if msg.Snapshot != nil {
				session.pushSkipped.Store(true)
			}
			msg.Snapshot, msg.HasContact = nil, false
		}
		return discoverywire.FromControlMessage(&msg)
	}))
}

// fullUpdate returns the first update of a session: the complete state. Nodes are sent by the
// primary control plane of a proxy only.
func (s *Server) fullUpdate(session *session) discovery.ControlMessage {
	msg := discovery.ControlMessage{Snapshot: s.snapshotFor(session), ControlPlanes: s.reachableMachines(), HasContact: s.hasContact()}
	if session.primary {
		msg.Complete, msg.Nodes = true, s.registry.All()
	}
	return msg
}

// snapshotFor returns the snapshot for a proxy: without the configuration if the proxy has it or
// gets it from another control plane, and nil without contact.
func (s *Server) snapshotFor(session *session) *controlstate.Snapshot {
	if !s.hasContact() {
		return nil
	}
	known := s.contact.Snapshot()
	if session.primary && session.configVersion < known.ConfigVersion && !session.sentConfig.covers(known) {
		return known
	}
	snapshot := *known
	snapshot.Config = nil
	return &snapshot
}

// unconfirmed returns a copy of a snapshot that is marked as not covered by a lease.
func unconfirmed(snapshot *controlstate.Snapshot) *controlstate.Snapshot {
	copied := *snapshot
	copied.Confirmed = false
	return &copied
}

// hasContact reports whether this control plane has contact with a quorum. It compares the clock
// with the end of the lease, so that a process that was stalled past it has no contact.
func (s *Server) hasContact() bool { return time.Now().Before(*s.serveUntil.Load()) }

// updateContact updates the time until which the snapshot may be served, and pushes the snapshot to
// all proxies if it has changed.
func (s *Server) updateContact(changed bool) {
	until := s.contact.ServeUntil()
	s.serveUntil.Store(&until)
	if !changed {
		return
	}
	for session := range s.proxies {
		s.pushUpdate(
			session,
			discovery.ControlMessage{Snapshot: s.snapshotFor(session), HasContact: true, ControlPlanes: s.reachableMachines()},
		)
	}
}
