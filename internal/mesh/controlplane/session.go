package controlplane

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/transport"
)

// session is a connection to a proxy or to another control plane.
type session struct {
	outbox           *transport.Outbox
	node             string
	incarnation      uint64
	lastPushed       uint64    // sequence of the last update that was pushed
	lastAcked        uint64    // sequence of the last update that the proxy has acknowledged
	lastSent         time.Time // when a message was last queued
	lastReceived     time.Time // when a message was last received
	announcedContact bool      // whether the last message announced contact with a quorum
	primary          bool      // this is the primary control plane of the proxy, which sends it the nodes and whole configurations
	configVersion    uint64    // version of the configuration that the proxy uses
	lastKnownSent    uint64    // version of the configuration that was sent without a lease, on request
	sentConfig       configRef // the configuration that was pushed last; each is sent once over a connection
	// pushSkipped is set if a snapshot was left out because the lease had expired when its
	// message left the queue.
	pushSkipped atomic.Bool
}

// configRef identifies a configuration as it was sent: a proxy rejects a stale epoch, and needs the
// configuration again under the present one.
type configRef struct{ version, epoch uint64 }

// covers reports whether a proxy that was sent this configuration needs no newer one for a snapshot.
func (c configRef) covers(snapshot *controlstate.Snapshot) bool {
	return c.version >= snapshot.ConfigVersion && c.epoch == snapshot.Epoch
}

// serveConn serves a connection of a proxy or of another control plane.
func (s *Server) serveConn(raw net.Conn) {
	conn, err := transport.New(s.ctx, raw, s.scale(idleTimeout))
	if err != nil {
		return
	}
	defer conn.Close()
	var handshake discoverywire.Hello
	if conn.Receive(&handshake) != nil {
		return
	}
	if handshake.Status {
		if status, ok := process.Call(s.loop, s.status); ok {
			_ = conn.Send(status.Encode())
		}
		return
	}
	if handshake.Lighthouse != "" {
		s.servePeer(conn, handshake.Lighthouse, handshake.Zone)
		return
	}
	session := &session{outbox: transport.NewOutbox(conn, queueLength), node: handshake.Pilot}
	s.goroutines.Go(session.outbox.Run)
	for {
		var encoded discoverywire.Up
		if err := conn.Receive(&encoded); err != nil {
			if errorx.IsOfType(err, transport.ProtocolError) {
				s.log.Warn().Err(err).Str("peer", conn.RemoteAddr()).Msg("reject peer message")
			}
			break
		}
		msg := encoded.ProxyMessage()
		s.loop.Post(func() { s.handleProxyMessage(session, msg) })
	}
	s.loop.Post(func() {
		delete(s.proxies, session)
		s.proxyAcked(session)
	})
}

// handleProxyMessage handles a message of a proxy.
func (s *Server) handleProxyMessage(session *session, msg *discovery.ProxyMessage) {
	now := time.Now()
	first, becamePrimary := !s.proxies[session], msg.Primary && !session.primary
	s.proxies[session], session.configVersion, session.primary, session.lastReceived = true, msg.ConfigVersion, msg.Primary, now
	if first || becamePrimary {
		s.pushUpdate(session, s.fullUpdate(session))
	}
	if snapshot := s.contact.Snapshot(); snapshot != nil && snapshot.ConfigVersion > session.configVersion {
		switch hasContact := s.hasContact(); {
		case msg.WantConfig && hasContact && !session.sentConfig.covers(snapshot):
			s.pushUpdate(session, discovery.ControlMessage{Snapshot: snapshot, HasContact: true})
		case msg.WantLastKnown && !hasContact && snapshot.ConfigVersion > session.lastKnownSent: // sent as not confirmed
			session.lastKnownSent = snapshot.ConfigVersion
			s.pushUpdate(session, discovery.ControlMessage{Snapshot: unconfirmed(snapshot)})
		}
	}
	s.ejector.handleOpinions(session, msg.Opinions)
	if msg.Record != nil && msg.Record.Node == session.node {
		session.incarnation = msg.Record.Incarnation
		if observed, ok := s.registry.Get(session.node); ok && observed.Incarnation > session.incarnation {
			s.sendMessage(session, discovery.ControlMessage{MinIncarnation: observed.Incarnation, HasContact: s.hasContact()})
		}
		if s.registry.Update(now, *msg.Record) {
			s.nodesForPeers[session.node] = true
			s.markChanged(session.node)
		}
	} else if s.registry.Confirm(now, session.node, session.incarnation) {
		s.markChanged(session.node)
	}
	session.lastAcked = max(session.lastAcked, msg.AckedUpdate)
	s.proxyAcked(session)
}

// send queues a message. A peer that does not read its messages is disconnected and connects again.
func (s *Server) send(session *session, message any) {
	if session.outbox.Send(message) {
		session.lastSent = time.Now()
	}
}
