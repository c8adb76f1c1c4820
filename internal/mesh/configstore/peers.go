package configstore

import (
	"slices"
	"strings"
	"time"

	"milletmast/internal/mesh/consensus"
	consensuswire "milletmast/internal/mesh/consensus/wire"
	"milletmast/internal/mesh/transport"
)

// addSeeds adds the stores on the machines that the settings name.
func (s *Server) addSeeds() {
	for _, ip := range s.settings.SeedIPs() {
		s.replica.AddPeer(Address(ip, s.settings))
	}
	s.connectPeers()
}

// connectPeers starts a connection to each peer that has none.
func (s *Server) connectPeers() {
	for _, addr := range s.replica.PeerAddrs() {
		if _, known := s.peers[addr]; !known {
			s.peers[addr] = nil
			s.goroutines.Go(func() { s.connectPeer(addr) })
		}
	}
}

// connectPeer keeps a connection to a peer, on which it sends requests and receives responses.
func (s *Server) connectPeer(addr string) {
	backoff := transport.Backoff{Min: firstBackoff, Max: s.scale(tickInterval)}
	transport.KeepConnected(s.ctx, addr, s.scale(idleTimeout), backoff, (&Handshake{Peer: true}).Encode(), func(conn *transport.Conn) {
		outbox := transport.NewOutbox(conn, peerQueueLength)
		s.goroutines.Go(outbox.Run)
		s.loop.Post(func() {
			s.peers[addr] = outbox
			self := consensuswire.FromMember(s.replica.Self())
			outbox.Send(&self)
			s.apply(s.replica.PeerReconnected(time.Now(), addr))
		})
		defer s.loop.Post(func() {
			if s.peers[addr] == outbox {
				s.peers[addr] = nil
			}
		})
		var peer consensuswire.Member // the first message of either side
		if conn.Receive(&peer) != nil {
			return
		}
		for {
			var encoded consensuswire.Tell
			if conn.Receive(&encoded) != nil {
				return
			}
			resp := encoded.Response()
			resp.From = peer.Member()
			s.loop.Post(func() {
				if !s.storageFailed {
					s.apply(s.replica.HandleResponse(time.Now(), resp))
				}
			})
		}
	})
}

// handleRequest handles a request of a peer and returns the response; nil if the disk has failed.
func (s *Server) handleRequest(req *consensus.Request) *consensus.Response {
	if s.storageFailed {
		return nil
	}
	resp, out := s.replica.HandleRequest(time.Now(), req)
	if !s.persist(out) {
		return nil
	}
	s.emit(out)
	resp.From = consensus.Member{}
	return &resp
}

// reachableMembers returns this member and those from which a message was received recently, sorted
// by address.
func (s *Server) reachableMembers() []consensus.Member {
	out := []consensus.Member{s.replica.Self()}
	now := time.Now()
	for _, p := range s.replica.PeerStatuses() {
		if p.Alive(now) {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b consensus.Member) int { return strings.Compare(a.Addr, b.Addr) })
	return out
}
