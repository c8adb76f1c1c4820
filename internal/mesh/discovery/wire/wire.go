// Package wire holds the encoded forms of the messages of package discovery.
//
// encoding/gob writes the names of struct types and fields between processes that are upgraded one machine at a time, so the
// names in this package never change; the golden files of package compat check them. Each type is converted at the edge, where
// it is sent or received.
package wire

import (
	"time"

	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/convert"
	"milletmast/internal/mesh/discovery"
	outlierwire "milletmast/internal/mesh/outlier/wire"
	registrywire "milletmast/internal/mesh/registry/wire"
)

// Hello is the encoded form of discovery.Handshake.
type Hello struct {
	Pilot      string
	Lighthouse string
	Zone       string
	Status     bool
}

// FromHandshake encodes a handshake.
func FromHandshake(h *discovery.Handshake) *Hello {
	return &Hello{Pilot: h.ProxyNode, Lighthouse: h.ControlPlaneIP, Zone: h.Zone, Status: h.StatusQuery}
}

// Handshake decodes a handshake.
func (h *Hello) Handshake() *discovery.Handshake {
	return &discovery.Handshake{ProxyNode: h.Pilot, ControlPlaneIP: h.Lighthouse, Zone: h.Zone, StatusQuery: h.Status}
}

// Up is the encoded form of discovery.ProxyMessage.
type Up struct {
	Sheet    *registrywire.Sheet
	Ack      uint64
	Holds    uint64
	Main     bool
	Opinions []outlierwire.Opinion
	Want     bool
	Last     bool
}

// FromProxyMessage encodes a message of a proxy.
func FromProxyMessage(m *discovery.ProxyMessage) *Up {
	out := &Up{
		Ack:      m.AckedUpdate,
		Holds:    m.ConfigVersion,
		Main:     m.Primary,
		Opinions: outlierwire.FromOpinions(m.Opinions),
		Want:     m.WantConfig,
		Last:     m.WantLastKnown,
	}
	if m.Record != nil {
		record := registrywire.FromNodeRecord(*m.Record)
		out.Sheet = &record
	}
	return out
}

// ProxyMessage decodes a message of a proxy.
func (u *Up) ProxyMessage() *discovery.ProxyMessage {
	out := &discovery.ProxyMessage{
		AckedUpdate:   u.Ack,
		ConfigVersion: u.Holds,
		Primary:       u.Main,
		Opinions:      outlierwire.Opinions(u.Opinions),
		WantConfig:    u.Want,
		WantLastKnown: u.Last,
	}
	if u.Sheet != nil {
		record := u.Sheet.NodeRecord()
		out.Record = &record
	}
	return out
}

// Down is the encoded form of discovery.ControlMessage.
type Down struct {
	Number  uint64
	Whole   bool
	Nodes   []registrywire.Known
	Gone    []string
	InForce *controlstatewire.InForce
	Core    []Machine
	Outlive uint64
	Asked   *Question
	Sighted bool
}

// FromControlMessage encodes a message of a control plane.
func FromControlMessage(m *discovery.ControlMessage) *Down {
	out := &Down{
		Number:  m.Sequence,
		Whole:   m.Complete,
		Nodes:   convert.Slice(m.Nodes, registrywire.FromObservedRecord),
		Gone:    m.Removed,
		InForce: controlstatewire.FromSnapshot(m.Snapshot),
		Core:    FromControlPlanes(m.ControlPlanes),
		Outlive: m.MinIncarnation,
		Sighted: m.HasContact,
	}
	if m.Poll != nil {
		out.Asked = &Question{Put: m.Poll.Present, Lives: m.Poll.Instances}
	}
	return out
}

// ControlMessage decodes a message of a control plane.
func (d *Down) ControlMessage() *discovery.ControlMessage {
	out := &discovery.ControlMessage{
		Sequence:       d.Number,
		Complete:       d.Whole,
		Nodes:          convert.Slice(d.Nodes, registrywire.Known.ObservedRecord),
		Removed:        d.Gone,
		Snapshot:       d.InForce.Snapshot(),
		ControlPlanes:  ControlPlanes(d.Core),
		MinIncarnation: d.Outlive,
		HasContact:     d.Sighted,
	}
	if d.Asked != nil {
		out.Poll = &discovery.Poll{Present: d.Asked.Put, Instances: d.Asked.Lives}
	}
	return out
}

// Question is the encoded form of discovery.Poll.
type Question struct {
	Put   bool
	Lives []string
}

// Across is the encoded form of discovery.PeerMessage.
type Across struct {
	Sheets []registrywire.Sheet
	Vouch  []uint64
	Core   []Machine
	Votes  []outlierwire.Vote
}

// FromPeerMessage encodes a message between control planes.
func FromPeerMessage(m *discovery.PeerMessage) *Across {
	return &Across{
		Sheets: convert.Slice(m.Records, registrywire.FromNodeRecord),
		Vouch:  m.ConfirmedHashes,
		Core:   FromControlPlanes(m.ControlPlanes),
		Votes:  outlierwire.FromVotes(m.Votes),
	}
}

// PeerMessage decodes a message between control planes.
func (a *Across) PeerMessage() *discovery.PeerMessage {
	return &discovery.PeerMessage{
		Records:         convert.Slice(a.Sheets, registrywire.Sheet.NodeRecord),
		ConfirmedHashes: a.Vouch,
		ControlPlanes:   ControlPlanes(a.Core),
		Votes:           outlierwire.Votes(a.Votes),
	}
}

// Machine is the encoded form of discovery.ControlPlane.
type Machine struct{ IP, Zone string }

// FromControlPlanes encodes a list of control planes.
func FromControlPlanes(all []discovery.ControlPlane) []Machine {
	return convert.Slice(all, func(m discovery.ControlPlane) Machine { return Machine{IP: m.IP, Zone: m.Zone} })
}

// ControlPlanes decodes a list of control planes.
func ControlPlanes(all []Machine) []discovery.ControlPlane {
	return convert.Slice(all, func(m Machine) discovery.ControlPlane { return discovery.ControlPlane{IP: m.IP, Zone: m.Zone} })
}

// Node is the encoded form of discovery.Node.
type Node struct {
	registrywire.Known
	Since time.Time
}

// FromNodes encodes a list of nodes.
func FromNodes(all []discovery.Node) []Node {
	return convert.Slice(all, func(n discovery.Node) Node {
		return Node{Known: registrywire.FromObservedRecord(n.ObservedRecord), Since: n.Since}
	})
}

// Nodes decodes a list of nodes.
func Nodes(all []Node) []discovery.Node {
	return convert.Slice(all, func(n Node) discovery.Node {
		return discovery.Node{ObservedRecord: n.ObservedRecord(), Since: n.Since}
	})
}
