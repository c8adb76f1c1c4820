package configstore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"milletmast/internal/mesh/consensus"
	consensuswire "milletmast/internal/mesh/consensus/wire"
	"milletmast/internal/mesh/storage"
)

const (
	diskIDRecord       = "disk"  // the identity of the disk
	votersRecord       = "epoch" // the voter configuration
	statePrefix        = "head/" // the state of a register: its promised and accepted ballots
	valuePrefix        = "value/"
	legacyVotersRecord = "set" // of an earlier version of the program
)

// acceptedRecord is an accepted value on disk. It is separate from the state of its register, as it may
// be large and a promise does not change it.
type acceptedRecord struct {
	At    consensuswire.Ballot
	Value consensuswire.Value
}

// disk reads and writes the state of a store on its disk.
type disk struct {
	store      *storage.Store
	acceptedAt map[string]consensus.Ballot // by key, the ballot of the value on disk
}

// persist writes registers and the voter configuration, all or none. They are durable when it
// returns.
func (d *disk) persist(registers []consensus.Register, voters *consensus.VoterConfig) error {
	return d.write(map[string]any{}, registers, voters)
}

// write persists registers and the voter configuration together with other records, all or none.
func (d *disk) write(records map[string]any, registers []consensus.Register, voters *consensus.VoterConfig) error {
	for _, r := range registers {
		records[statePrefix+r.Key] = consensuswire.FromState(r.RegisterState)
		if r.Accepted != (consensus.Ballot{}) && d.acceptedAt[r.Key] != r.Accepted {
			records[valuePrefix+r.Key] = acceptedRecord{consensuswire.FromBallot(r.Accepted), *consensuswire.FromValue(&r.Value)}
		}
	}
	if voters != nil {
		records[votersRecord] = *consensuswire.FromVoterConfig(voters)
	}
	if len(records) == 0 {
		return nil
	}
	if err := d.store.PutAll(records); err != nil {
		return err
	}
	for _, r := range registers {
		d.acceptedAt[r.Key] = r.Accepted
	}
	return nil
}

// loadState reads the registers and the voter configuration; legacy reports that an earlier version of
// the program wrote them.
func loadState(store *storage.Store) (registers []consensus.Register, voters consensus.VoterConfig, legacy bool, err error) {
	values := map[string]acceptedRecord{}
	err = store.Range(valuePrefix, func(name string, decode func(any) error) error {
		var a acceptedRecord
		err := decode(&a)
		values[strings.TrimPrefix(name, valuePrefix)] = a
		return err
	})
	if err != nil {
		return nil, voters, false, err
	}
	err = store.Range(statePrefix, func(name string, decode func(any) error) error {
		var state consensuswire.Head
		if err := decode(&state); err != nil {
			return err
		}
		r := consensus.Register{RegisterState: state.State()}
		v := values[r.Key]
		if v.At.Ballot() != r.Accepted || name != statePrefix+r.Key {
			return storage.Corrupt.New("%s: the stored value is not that of the accepted ballot", name)
		}
		r.Value = *v.Value.Value()
		registers = append(registers, r)
		return nil
	})
	if err != nil {
		return nil, voters, false, err
	}
	var encoded consensuswire.Set
	if known, err := store.Get(votersRecord, &encoded); err != nil || known {
		return registers, *encoded.VoterConfig(), false, err
	}
	registers, voters, err = loadLegacyState(store)
	return registers, voters, true, err
}

// legacyRecord is a version of a key as an earlier version of the program wrote it.
type legacyRecord struct {
	Stamp consensuswire.Stamp
	Body  []byte
}

// loadLegacyState reads the state that an earlier version of the program wrote: versions without
// ballots, and numbered voter configurations. The version numbers become ballots, so that the newest
// version of a majority, which had the highest number, has the highest ballot.
func loadLegacyState(store *storage.Store) (registers []consensus.Register, voters consensus.VoterConfig, err error) {
	var old struct {
		Number  uint64
		Members []consensuswire.Member
	}
	if known, err := store.Get(legacyVotersRecord, &old); err != nil || !known {
		return nil, voters, err
	}
	err = store.LegacyEntries(func(key string, decode func(any) error) error {
		var e legacyRecord
		if err := decode(&e); err != nil {
			return err
		}
		at := consensus.Ballot{Round: e.Stamp.Number, Proposer: fmt.Sprintf("%s %016x", e.Stamp.By, consensus.Digest(e.Body))}
		registers = append(
			registers,
			consensus.Register{
				RegisterState: consensus.RegisterState{Key: key, Promised: at, Accepted: at},
				Value:         consensus.Value{Version: e.Stamp.Version(), Body: e.Body},
			},
		)
		return nil
	})
	return registers, consensus.VoterConfig{Epoch: old.Number, Voters: consensuswire.Members(old.Members)}, err
}

// recoverState reads the state of the disk, and assigns an identity to an empty disk. A lost disk does
// not become a bootstrap voter, even if the settings say so: with the identity of a bootstrap voter it
// would count as holding the promises and values that were lost.
func (s *Server) recoverState(lost bool) (registers []consensus.Register, voters consensus.VoterConfig, self consensus.Member, err error) {
	self = consensus.Member{
		Node:     s.settings.Node,
		Addr:     Address(s.settings.IP, s.settings),
		Zone:     s.settings.Zone,
		InQuorum: s.settings.InQuorum,
	}
	registers, voters, legacy, err := loadState(s.disk.store)
	if err != nil {
		return nil, voters, self, Start.Wrap(err, "registers")
	}
	known, err := s.disk.store.Get(diskIDRecord, &self.DiskID)
	if err != nil {
		return nil, voters, self, Start.Wrap(err, "identity of the disk")
	}
	for _, r := range registers {
		s.disk.acceptedAt[r.Key] = r.Accepted
	}
	if !known {
		self.DiskID = fmt.Sprintf("%s#%016x", s.settings.IP, rand.Uint64())
		if s.settings.Bootstrap && !lost {
			voters = s.bootstrapVoters(&self)
		}
		if err := s.disk.write(map[string]any{diskIDRecord: self.DiskID}, nil, &voters); err != nil {
			return nil, voters, self, Start.Wrap(err, "identity of the disk")
		}
	} else if legacy { // write the state in the present form
		clear(s.disk.acceptedAt)
		if err := s.disk.persist(registers, &voters); err != nil {
			return nil, voters, self, Start.Wrap(err, "registers")
		}
	}
	s.log.Info().
		Str("disk", self.DiskID).
		Bool("empty", !known).
		Uint64("epoch", voters.Epoch).
		Int("registers", len(registers)).
		Msg("open disk")
	return registers, voters, self, nil
}

// bootstrapVoters returns the first voter configuration: the seed machines, which the settings of all
// processes list at the first start, without the last one if their number is even. All processes can
// derive the identities of their disks, and these identities are never assigned to other disks.
func (s *Server) bootstrapVoters(self *consensus.Member) consensus.VoterConfig {
	first := consensus.VoterConfig{Epoch: 1}
	ips := slices.Sorted(slices.Values(s.settings.SeedIPs()))
	if n := len(ips); n > 0 && n%2 == 0 {
		ips = ips[:n-1]
	}
	for _, ip := range ips {
		if ip == s.settings.IP {
			self.DiskID = ip + "#first"
		}
		first.Voters = append(first.Voters, consensus.Member{DiskID: ip + "#first", Addr: Address(ip, s.settings)})
	}
	return first
}
