package configstore

import (
	"bytes"
	"encoding/gob"
	"strings"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	outlierwire "milletmast/internal/mesh/outlier/wire"
)

// leaseRemaining returns for how much longer the snapshot is certain to be the newest.
func (s *Server) leaseRemaining(now time.Time) time.Duration {
	if s.storageFailed {
		return 0
	}
	return s.replica.LeaseRemaining(now)
}

// snapshot returns the committed control state. Before the first lease it is empty, as the registers
// of this replica may be incomplete or outdated.
func (s *Server) snapshot() *controlstate.Snapshot {
	confirmed := s.leaseRemaining(time.Now()) > 0
	if s.hadLease = s.hadLease || confirmed; !s.hadLease {
		return &controlstate.Snapshot{Epoch: s.replica.Voters().Epoch}
	}
	snapshot, err := SnapshotOf(confirmed, s.replica.Voters().Epoch, s.replica.AllCommitted())
	if err != nil {
		s.log.Error().Err(err).Msg("decode ejections")
	}
	return snapshot
}

// SnapshotOf returns the snapshot of committed registers; confirmed reports that a read lease is held.
// If the ejections cannot be decoded, it returns the snapshot without them and an error.
func SnapshotOf(confirmed bool, epoch uint64, committed []consensus.Register) (snapshot *controlstate.Snapshot, err error) {
	snapshot = &controlstate.Snapshot{Confirmed: confirmed, Epoch: epoch}
	for _, r := range committed {
		if r.Key == configKey {
			snapshot.Config, snapshot.ConfigVersion = r.Value.Body, r.Value.Version.Number
		} else if r.Key == ejectionsKey {
			snapshot.EjectionsVersion = r.Value.Version
			var ejections []outlierwire.Removal
			err = gob.NewDecoder(bytes.NewReader(r.Value.Body)).Decode(&ejections)
			snapshot.Ejections = outlierwire.Ejections(ejections)
		} else if zone, ok := strings.CutPrefix(r.Key, evacuationPrefix); ok {
			snapshot.Evacuations = append(
				snapshot.Evacuations,
				controlstate.Evacuation{Zone: zone, Version: r.Value.Version, Active: string(r.Value.Body) == evacuationOn},
			)
		}
	}
	return snapshot, err
}

// pushSnapshot sends the snapshot to all control planes, if it has changed.
func (s *Server) pushSnapshot() {
	current := s.snapshot()
	if s.lastPushed.Equal(current) {
		return
	}
	s.lastPushed = current
	for outbox := range s.controlPlanes {
		outbox.Send(controlstatewire.FromUpdate(&controlstate.Update{Snapshot: current, Members: s.reachableMembers()}))
	}
}
