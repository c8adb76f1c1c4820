package configstore

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
)

// A command that a store reads from its socket just after a stall may be as old as the stall, even if its control plane was not stalled. It
// is not run.
func TestCommandFromBeforeAStallIsNotRun(t *testing.T) {
	s := &Server{replica: consensus.NewReplica(consensus.Member{DiskID: "a", Addr: "a"}, consensus.Settings{}, consensus.VoterConfig{}, nil)}
	s.stalls.Tick(time.Now().Add(-20 * time.Second))
	var got *controlstate.Result
	s.runCommand(&controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "north"}, func(r *controlstate.Result) { got = r })
	if got == nil || got.Status != controlstate.Unknown || len(s.proposals) != 0 {
		t.Errorf("result %+v, want an unknown outcome and no proposal", got)
	}
}
