package configstore

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
)

// An order that a store reads from its socket just after it was stalled may be as old as that, though its control plane did not stand still:
// it is not carried out.
func TestCommandFromBeforeAStallIsNotRun(t *testing.T) {
	k := &Server{replica: consensus.NewReplica(consensus.Member{DiskID: "a", Addr: "a"}, consensus.Settings{}, consensus.VoterConfig{}, nil)}
	k.stalls.Tick(time.Now().Add(-20 * time.Second))
	var got *controlstate.Result
	k.runCommand(&controlstate.Command{Kind: controlstate.BeginEvacuation, Zone: "north"}, func(r *controlstate.Result) { got = r })
	if got == nil || got.Status != controlstate.Unknown || len(k.proposals) != 0 {
		t.Errorf("%+v", got)
	}
}
