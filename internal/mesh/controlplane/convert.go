package controlplane

import (
	"milletmast/internal/mesh/controlplane/wire"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/convert"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	outlierwire "milletmast/internal/mesh/outlier/wire"
	registrywire "milletmast/internal/mesh/registry/wire"
)

// Encode returns the encoded form of the status report.
func (s *Status) Encode() *wire.Status {
	return &wire.Status{
		Node:    s.Node,
		Sighted: s.HasContact,
		Version: s.ConfigVersion,
		Epoch:   s.Epoch,
		Lease:   s.LeaseRemaining,
		Evacs:   controlstatewire.FromEvacuations(s.Evacuations),
		Core:    discoverywire.FromControlPlanes(s.ControlPlanes),
		Pilots: convert.Slice(s.Proxies, func(p ProxyStatus) wire.PilotStatus {
			return wire.PilotStatus{
				Known:     registrywire.FromObservedRecord(p.ObservedRecord),
				Connected: p.Connected,
				Holds:     p.ConfigVersion,
				Pushed:    p.LastPushed,
				Acked:     p.LastAcked,
			}
		}),
		Cases:   outlierwire.FromTallies(s.Tallies),
		Removed: outlierwire.FromEjections(s.Ejections),
	}
}

// decodeStatus decodes a status report.
func decodeStatus(s *wire.Status) *Status {
	return &Status{
		Node:           s.Node,
		HasContact:     s.Sighted,
		ConfigVersion:  s.Version,
		Epoch:          s.Epoch,
		LeaseRemaining: s.Lease,
		Evacuations:    controlstatewire.Evacuations(s.Evacs),
		ControlPlanes:  discoverywire.ControlPlanes(s.Core),
		Proxies: convert.Slice(s.Pilots, func(p wire.PilotStatus) ProxyStatus {
			return ProxyStatus{
				ObservedRecord: p.ObservedRecord(),
				Connected:      p.Connected,
				ConfigVersion:  p.Holds,
				LastPushed:     p.Pushed,
				LastAcked:      p.Acked,
			}
		}),
		Tallies:   outlierwire.Tallies(s.Cases),
		Ejections: outlierwire.Ejections(s.Removed),
	}
}
