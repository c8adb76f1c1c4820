package gossip

import (
	"bytes"
	"encoding/binary"
	"log/slog"

	"github.com/hashicorp/memberlist"

	"milletmast/internal/clusterview"
)

// A node's metadata and a leaving message begin with an incarnation, in big-endian bytes.
const incarnationBytes = 8

// maxNameBytes bounds a name in a leaving message.
const maxNameBytes = 128

// eventOf returns the event for a state of a node. The node's metadata hold its incarnation and the version of its program.
func eventOf(node *memberlist.Node, state clusterview.State) clusterview.Event {
	event := clusterview.Event{Name: node.Name, State: state}
	if len(node.Meta) >= incarnationBytes {
		event.Incarnation = binary.BigEndian.Uint64(node.Meta)
		event.Version = string(node.Meta[incarnationBytes:min(len(node.Meta), incarnationBytes+maxVersionBytes)])
	}
	return event
}

// enqueue queues an event for run, and keeps the address of a failed member for rejoin.
func (g *Group) enqueue(event clusterview.Event, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(g.pending, event)
	if event.State == clusterview.Failed && len(g.failedAddresses) < maxFailedAddresses {
		g.failedAddresses[event.Name] = address
	} else {
		delete(g.failedAddresses, event.Name)
	}
}

// NotifyJoin handles a member that the library has found. Like the other methods of memberlist.EventDelegate and Delegate it is
// called by the library.
func (g *Group) NotifyJoin(n *memberlist.Node) { g.enqueue(eventOf(n, clusterview.Alive), n.Address()) }

// NotifyLeave handles a member that has left or failed. The library does not distinguish them; a member that leaves announces it
// itself (kindLeaving).
func (g *Group) NotifyLeave(n *memberlist.Node) {
	event := eventOf(n, clusterview.Failed)
	g.mu.Lock()
	left := g.leaving[event.Name] == event.Incarnation && event.Incarnation != 0
	g.mu.Unlock()
	if left {
		event.State = clusterview.Left
		g.enqueue(event, "")
		return
	}
	g.enqueue(event, n.Address())
}

// handleLeaving records that an incarnation of a member leaves.
func (g *Group) handleLeaving(message []byte) {
	if len(message) < incarnationBytes || len(message) > incarnationBytes+maxNameBytes {
		return
	}
	incarnation, name := binary.BigEndian.Uint64(message), string(message[incarnationBytes:])
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.leaving) < maxFailedAddresses || g.leaving[name] != 0 {
		g.leaving[name] = incarnation
	}
}

// NotifyUpdate handles a member whose metadata have changed: it has restarted before its failure was detected.
func (g *Group) NotifyUpdate(n *memberlist.Node) {
	g.enqueue(eventOf(n, clusterview.Alive), n.Address())
}

// NodeMeta returns the metadata of this replica, at most limit bytes.
func (g *Group) NodeMeta(limit int) []byte {
	meta := binary.BigEndian.AppendUint64(nil, g.config.Incarnation)
	meta = append(meta, g.config.Version...)
	return meta[:min(len(meta), limit)]
}

// NotifyMsg handles a message of another member. Messages of unknown kinds are dropped.
func (g *Group) NotifyMsg(message []byte) {
	switch {
	case len(message) == 0:
	case message[0] == kindLeaving:
		g.handleLeaving(message[1:])
	case message[0] == kindPayload && g.config.HandleMessage != nil:
		g.config.HandleMessage(bytes.Clone(message[1:]))
	}
}

// GetBroadcasts returns nothing: messages are sent directly and not relayed by other members.
func (g *Group) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing: this package exchanges no state through the library.
func (g *Group) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, as LocalState returns nothing.
func (g *Group) MergeRemoteState(_ []byte, _ bool) {}

// logWriter logs the library's lines at the level Debug.
type logWriter struct{}

func (*logWriter) Write(p []byte) (int, error) {
	slog.Debug("log library message", "text", string(p))
	return len(p), nil
}
