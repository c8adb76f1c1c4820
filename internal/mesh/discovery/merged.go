package discovery

import (
	"maps"
	"slices"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/outlier"
)

// MergedState is the control state as one process has received it: the highest version of each key.
// Versions are assigned by consensus, so the state never goes back. It is not safe for concurrent
// use.
type MergedState struct {
	config           []byte
	configVersion    uint64 // 0 for no configuration
	evacuations      map[string]controlstate.Evacuation
	ejections        []outlier.Ejection
	ejectionsVersion consensus.Version
	epoch            uint64 // the highest of a confirmed snapshot
}

// NewMergedState returns an empty state.
func NewMergedState() *MergedState {
	return &MergedState{evacuations: map[string]controlstate.Evacuation{}}
}

// Merge takes over each key that has a higher version in a snapshot.
func (s *MergedState) Merge(snapshot *controlstate.Snapshot) (changed Change) {
	if len(snapshot.Config) > 0 && snapshot.ConfigVersion > s.configVersion {
		s.config, s.configVersion, changed.Config = snapshot.Config, snapshot.ConfigVersion, true
	}
	for _, e := range snapshot.Evacuations {
		if old, ok := s.evacuations[e.Zone]; !ok || e.Version.Compare(old.Version) > 0 {
			s.evacuations[e.Zone] = e
			changed.Zones = changed.Zones || e.Active != old.Active
		}
	}
	if snapshot.EjectionsVersion.Compare(s.ejectionsVersion) > 0 {
		s.ejections, s.ejectionsVersion, changed.Zones = snapshot.Ejections, snapshot.EjectionsVersion, true
	}
	return changed
}

// MergeUpdate merges a snapshot of the configuration store and returns the whole state. It is
// confirmed if the snapshot is and its epoch is not stale.
func (s *MergedState) MergeUpdate(snapshot *controlstate.Snapshot) *controlstate.Snapshot {
	s.Merge(snapshot)
	confirmed := snapshot.Confirmed && snapshot.Epoch >= s.epoch
	if confirmed {
		s.epoch = snapshot.Epoch
	}
	merged := s.Snapshot()
	merged.Confirmed = confirmed
	return merged
}

// IsContainedIn reports whether a snapshot has the same or a higher version of every key of the
// state.
func (s *MergedState) IsContainedIn(snapshot *controlstate.Snapshot) bool {
	versions := map[string]consensus.Version{}
	for _, e := range snapshot.Evacuations {
		versions[e.Zone] = e.Version
	}
	for zone, e := range s.evacuations {
		if version, ok := versions[zone]; !ok || version.Compare(e.Version) < 0 {
			return false
		}
	}
	return snapshot.ConfigVersion >= s.configVersion && snapshot.EjectionsVersion.Compare(s.ejectionsVersion) >= 0
}

// Snapshot returns the state as an unconfirmed snapshot.
func (s *MergedState) Snapshot() *controlstate.Snapshot {
	snapshot := &controlstate.Snapshot{
		Config:           s.config,
		ConfigVersion:    s.configVersion,
		Ejections:        s.ejections,
		EjectionsVersion: s.ejectionsVersion,
		Epoch:            s.epoch,
	}
	for _, zone := range slices.Sorted(maps.Keys(s.evacuations)) {
		snapshot.Evacuations = append(snapshot.Evacuations, s.evacuations[zone])
	}
	return snapshot
}
