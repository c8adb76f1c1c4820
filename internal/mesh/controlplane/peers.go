package controlplane

import (
	"cmp"
	"slices"
	"time"

	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/transport"
)

// machine is another core machine.
type machine struct {
	zone     string
	lastSeen time.Time // when it was added, last had a connection, or last sent a message
}

func (s *Server) addSeeds() {
	for _, ip := range s.settings.SeedIPs() {
		s.addMachine(ip, "")
	}
}

// addMachine adds a core machine and keeps a connection to its control plane from then on.
func (s *Server) addMachine(ip, zone string) {
	if ip == s.settings.IP || ip == "" {
		return
	}
	if m := s.machines[ip]; m != nil {
		m.zone = cmp.Or(zone, m.zone)
		return
	}
	s.peers[ip], s.machines[ip] = nil, &machine{zone, time.Now()}
	s.goroutines.Go(func() { s.connectPeer(ip) })
}

// connectPeer keeps a connection to a peer, over which this control plane sends. The peer sends
// over a connection of its own.
func (s *Server) connectPeer(ip string) {
	backoff := transport.Backoff{Min: firstBackoff, Max: s.scale(tickInterval)}
	transport.KeepConnected(
		s.ctx,
		Address(ip, s.settings),
		s.scale(idleTimeout),
		backoff,
		discoverywire.FromHandshake(&discovery.Handshake{ControlPlaneIP: s.settings.IP, Zone: s.settings.Zone}),
		func(conn *transport.Conn) {
			session := &session{outbox: transport.NewOutbox(conn, queueLength), node: ip}
			s.loop.Post(func() {
				s.peers[ip], s.machines[ip].lastSeen = session, time.Now()
				s.send(session, discoverywire.FromPeerMessage(s.fullPeerMessage()))
			})
			s.goroutines.Go(session.outbox.Run)
			var up discoverywire.Up
			for conn.Receive(&up) == nil { // heartbeats only
			}
			s.loop.Post(func() {
				if s.peers[ip] == session {
					s.peers[ip] = nil
				}
			})
		},
	)
}

// servePeer receives the messages of a peer.
func (s *Server) servePeer(conn *transport.Conn, ip, zone string) {
	s.loop.Post(func() { s.addMachine(ip, zone) })
	s.goroutines.Go(func() {
		conn.SendPeriodically(s.scale(heartbeatInterval), discoverywire.FromProxyMessage(&discovery.ProxyMessage{}))
	})
	for {
		var encoded discoverywire.Across
		if conn.Receive(&encoded) != nil {
			return
		}
		msg := encoded.PeerMessage()
		s.loop.Post(func() { s.handlePeerMessage(ip, msg) })
	}
}

// handlePeerMessage handles a message of a peer.
func (s *Server) handlePeerMessage(ip string, msg *discovery.PeerMessage) {
	now := time.Now()
	if m := s.machines[ip]; m != nil {
		m.lastSeen = now
	}
	for _, record := range msg.Records {
		if s.registry.Update(now, record) {
			s.markChanged(record.Node)
		}
	}
	for _, node := range s.registry.NodesByHash(msg.ConfirmedHashes) {
		if record, ok := s.registry.Get(node); ok && s.registry.Confirm(now, node, record.Incarnation) {
			s.markChanged(node)
		}
	}
	if !s.stalls.JustResumed(now) { // after a stall, the votes may be old
		for _, vote := range msg.Votes {
			vote.ReceivedAt = now
			s.ejector.votes[vote.Node] = vote
		}
	}
	for _, other := range msg.ControlPlanes {
		s.addMachine(other.IP, other.Zone)
	}
}

// fullPeerMessage returns the first message to a peer: all records and core machines.
func (s *Server) fullPeerMessage() *discovery.PeerMessage {
	msg := &discovery.PeerMessage{ControlPlanes: s.reachableMachines()}
	for _, record := range s.registry.All() {
		msg.Records = append(msg.Records, record.NodeRecord)
	}
	return msg
}

// reachableMachines returns the core machines that were in contact within forgetAfter, this one
// included, sorted by address.
func (s *Server) reachableMachines() []discovery.ControlPlane {
	out := []discovery.ControlPlane{{IP: s.settings.IP, Zone: s.settings.Zone}}
	for ip, m := range s.machines {
		if time.Since(m.lastSeen) < forgetAfter {
			out = append(out, discovery.ControlPlane{IP: ip, Zone: m.zone})
		}
	}
	slices.SortFunc(out, func(a, b discovery.ControlPlane) int { return cmp.Compare(a.IP, b.IP) })
	return out
}
