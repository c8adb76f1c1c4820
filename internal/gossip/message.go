package gossip

import (
	"encoding/binary"
	"errors"
	"log/slog"
	"math/rand/v2"
)

// The kind of a message, its first byte. Other kinds are dropped, as a later version may send them.
const (
	kindPayload = 1 // followed by a message of Broadcast
	kindLeaving = 2 // followed by the incarnation and the name of a replica that leaves
)

// leavingRepeats is how often a leaving message is sent, as a datagram may be lost. A member that gets none detects a failure.
const leavingRepeats = 2

// Leave announces to the other members that this replica leaves, and ends the membership.
func (g *Group) Leave() error {
	message := binary.BigEndian.AppendUint64([]byte{kindLeaving}, g.config.Incarnation)
	message = append(message, g.config.Name...)
	for range leavingRepeats {
		g.send(message, func(int) bool { return true })
	}
	err := g.list.Leave(leaveTimeout)
	return errors.Join(err, g.Close())
}

// Broadcast sends a message to each reachable member, as a datagram that may be lost. It uses at most half of
// Config.MaxBytesPerSecond, as the membership itself needs the rest; beyond that, random members do not get it.
func (g *Group) Broadcast(message []byte) {
	g.send(append([]byte{kindPayload}, message...), g.transport.hasSpare)
}

// send sends a message to each reachable member, in random order, until hasRoom refuses its bytes.
func (g *Group) send(message []byte, hasRoom func(bytes int) bool) {
	members := g.list.Members()
	rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
	for _, n := range members {
		if n.Name == g.config.Name {
			continue
		}
		if !hasRoom(len(message)) {
			return
		}
		if err := g.list.SendBestEffort(n, message); err != nil {
			slog.Debug("send message", "to", n.Name, "err", err)
		}
	}
}
