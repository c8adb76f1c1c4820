package proxy

import (
	consensuswire "milletmast/internal/mesh/consensus/wire"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/convert"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/eventlog"
	"milletmast/internal/mesh/proxy/wire"
)

// Encode returns the encoded form of a message.
func (t *PeerMessage) Encode() *wire.Talk {
	out := &wire.Talk{}
	if t.StatusQuery != nil {
		out.Question = &wire.Question{Request: t.StatusQuery.RequestID}
	}
	if t.Gossip != nil {
		out.Gossip = t.Gossip.Encode()
	}
	return out
}

// decodePeerMessage returns the message of an encoded form.
func decodePeerMessage(t *wire.Talk) *PeerMessage {
	out := &PeerMessage{}
	if t.Question != nil {
		out.StatusQuery = &StatusQuery{RequestID: t.Question.Request}
	}
	if t.Gossip != nil {
		out.Gossip = decodeGossip(t.Gossip)
	}
	return out
}

// Encode returns the encoded form of a gossip message.
func (g *Gossip) Encode() *wire.Gossip {
	return &wire.Gossip{
		Version: g.ConfigVersion,
		Zones:   g.EvacuationsDigest,
		Removed: consensuswire.FromVersion(g.EjectionsVersion),
		Cut:     g.Isolated,
		Unsure:  g.Uncertain,
		InForce: controlstatewire.FromSnapshot(g.Snapshot),
		Nodes:   discoverywire.FromNodes(g.Nodes),
	}
}

// decodeGossip returns the gossip message of an encoded form.
func decodeGossip(g *wire.Gossip) *Gossip {
	return &Gossip{
		ConfigVersion:     g.Version,
		EvacuationsDigest: g.Zones,
		EjectionsVersion:  g.Removed.Version(),
		Isolated:          g.Cut,
		Uncertain:         g.Unsure,
		Snapshot:          g.InForce.Snapshot(),
		Nodes:             discoverywire.Nodes(g.Nodes),
	}
}

// Encode returns the encoded form of a status report.
func (s *Status) Encode() *wire.Status {
	return &wire.Status{
		Node:          s.Node,
		Zone:          s.Zone,
		Version:       s.Version,
		Ready:         s.Ready,
		Standing:      s.Trust,
		Lighthouses:   s.ControlPlanes,
		Endpoint:      s.Endpoint,
		EndpointState: s.EndpointState,
		Inside:        s.InFlight,
		Waiting:       s.Queued,
		Slots:         s.Capacity,
		Services: convert.Slice(s.Services, func(v ServiceStatus) wire.ServiceStatus {
			return wire.ServiceStatus{
				Name: v.Name,
				Lives: convert.Slice(v.Instances, func(l InstanceStatus) wire.LifeStatus {
					return wire.LifeStatus{ID: l.ID, Zone: l.Zone, Takes: l.AcceptsRequests}
				}),
			}
		}),
		Story: convert.Slice(s.Events, func(e eventlog.Event) wire.Event {
			return wire.Event{At: e.At, ID: e.RequestID, What: e.Detail}
		}),
	}
}

// decodeStatus returns the status report of an encoded form.
func decodeStatus(s *wire.Status) *Status {
	return &Status{
		Node:          s.Node,
		Zone:          s.Zone,
		Version:       s.Version,
		Ready:         s.Ready,
		Trust:         s.Standing,
		ControlPlanes: s.Lighthouses,
		Endpoint:      s.Endpoint,
		EndpointState: s.EndpointState,
		InFlight:      s.Inside,
		Queued:        s.Waiting,
		Capacity:      s.Slots,
		Services: convert.Slice(s.Services, func(v wire.ServiceStatus) ServiceStatus {
			return ServiceStatus{
				Name: v.Name,
				Instances: convert.Slice(v.Lives, func(l wire.LifeStatus) InstanceStatus {
					return InstanceStatus{ID: l.ID, Zone: l.Zone, AcceptsRequests: l.Takes}
				}),
			}
		}),
		Events: convert.Slice(s.Story, func(e wire.Event) eventlog.Event {
			return eventlog.Event{At: e.At, RequestID: e.ID, Detail: e.What}
		}),
	}
}
