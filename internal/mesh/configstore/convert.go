package configstore

import (
	"milletmast/internal/mesh/configstore/wire"
	consensuswire "milletmast/internal/mesh/consensus/wire"
	"milletmast/internal/mesh/convert"
)

// Encode returns the encoded form of a handshake.
func (h *Handshake) Encode() *wire.Hello {
	return &wire.Hello{Keeper: h.Peer, Lighthouse: h.ControlPlane, Status: h.StatusQuery}
}

// decodeHandshake returns the handshake of an encoded form.
func decodeHandshake(h *wire.Hello) Handshake {
	return Handshake{Peer: h.Keeper, ControlPlane: h.Lighthouse, StatusQuery: h.Status}
}

// Encode returns the encoded form of a status report.
func (s *Status) Encode() *wire.Status {
	return &wire.Status{
		Node:   s.Node,
		Disk:   s.DiskID,
		Counts: s.IsVoter,
		Set:    *consensuswire.FromVoterConfig(&s.Voters),
		Alive:  s.Alive,
		Duty:   s.Role,
		Lease:  s.LeaseRemaining,
		Mute:   s.StorageFailed,
		Entries: convert.Slice(s.Registers, func(e RegisterStatus) wire.EntryStatus {
			return wire.EntryStatus{
				Key:     e.Key,
				Stamp:   consensuswire.FromVersion(e.Version),
				Bytes:   e.Bytes,
				Ballot:  consensuswire.FromBallot(e.Ballot),
				Settled: e.Committed,
			}
		}),
	}
}

// decodeStatus returns the status report of an encoded form.
func decodeStatus(s *wire.Status) *Status {
	return &Status{
		Node:           s.Node,
		DiskID:         s.Disk,
		IsVoter:        s.Counts,
		Voters:         *s.Set.VoterConfig(),
		Alive:          s.Alive,
		Role:           s.Duty,
		LeaseRemaining: s.Lease,
		StorageFailed:  s.Mute,
		Registers: convert.Slice(s.Entries, func(e wire.EntryStatus) RegisterStatus {
			return RegisterStatus{
				Key:       e.Key,
				Version:   e.Stamp.Version(),
				Bytes:     e.Bytes,
				Ballot:    e.Ballot.Ballot(),
				Committed: e.Settled,
			}
		}),
	}
}
