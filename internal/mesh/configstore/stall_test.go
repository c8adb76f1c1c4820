package configstore

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/membership"
	"milletmast/internal/mesh/nodeconfig"
	"milletmast/internal/mesh/process"
	"milletmast/internal/mesh/storage"
)

// A command that a store reads from its socket just after a stall may be as old as the stall, even if its control plane was not stalled. It
// is not run.
func TestCommandFromBeforeAStallIsNotRun(t *testing.T) {
	s := &Server{replica: consensus.NewReplica(consensus.Member{DiskID: "a", Addr: "a"}, consensus.Settings{}, consensus.VoterConfig{}, nil)}
	s.stalls.Tick(time.Now().Add(-20 * time.Second))
	var got *controlstate.Result
	s.runCommand(time.Now(), &controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "north"}, func(r *controlstate.Result) { got = r })
	if got == nil || got.Status != controlstate.Unknown || len(s.proposals) != 0 {
		t.Errorf("result %+v, want an unknown outcome and no proposal", got)
	}
}

// newStoreWithoutPeers returns a store that runs commands and waits for a quorum.
func newStoreWithoutPeers(t *testing.T) *Server {
	t.Helper()
	store, _, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	replica := consensus.NewReplica(consensus.Member{DiskID: "a", Addr: "a"}, consensus.Settings{ProposalTimeout: time.Second}, consensus.VoterConfig{}, nil)
	return &Server{
		replica: replica, coordinator: membership.New(time.Now(), replica, 1), log: zerolog.Nop(), disk: disk{store, map[string]consensus.Ballot{}},
		proposals: map[uint64]func(consensus.Result){}, loop: process.NewLoop(8), scale: (&nodeconfig.Bounds{}).Scale,
	}
}

// checkIsRun checks that a command that the loop takes up at a time is proposed.
func (s *Server) checkIsRun(t *testing.T, at time.Time, command *controlstate.Command) {
	t.Helper()
	s.runCommand(at, command, func(r *controlstate.Result) { t.Errorf("result %+v, want none yet", r) })
	if len(s.proposals) != 1 {
		t.Errorf("%d proposals, want one", len(s.proposals))
	}
	if s.wakeTimer != nil {
		s.wakeTimer.Stop()
	}
}

// A read changes nothing, and a quorum that is asked now cannot return an old value: it runs just after a stall too.
func TestReadAfterAStallIsRun(t *testing.T) {
	s := newStoreWithoutPeers(t)
	s.stalls.Tick(time.Now().Add(-20 * time.Second))
	s.checkIsRun(t, time.Now(), &controlstate.Command{Kind: controlstate.ReadConfig})
}

// Validating a configuration may take longer than a stall, at a small share of a core. That is no stall before the command: it is run, as
// it would be refused at each further attempt too.
func TestCommandThatIsValidatedForLongIsRun(t *testing.T) {
	s := newStoreWithoutPeers(t)
	takenUpAt := time.Now().Add(-20 * time.Second)
	s.stalls.Tick(takenUpAt.Add(-tickInterval))
	s.checkIsRun(t, takenUpAt, &controlstate.Command{Kind: controlstate.PutConfig, Body: config(1)})
}
