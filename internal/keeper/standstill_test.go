package keeper

import (
	"testing"
	"time"

	"whinknot/internal/tide"
)

// An order that a keeper reads from its socket just after it stood still may be as old as that, though its lighthouse did not stand still:
// it is not carried out.
func TestAnOrderFromBeforeAStandstillIsNotCarriedOut(t *testing.T) {
	k := &Keeper{replica: tide.NewReplica(tide.Member{Disk: "a", Addr: "a"}, tide.Settings{}, tide.Set{}, nil)}
	k.stood.Look(time.Now().Add(-20 * time.Second))
	var got *Result
	k.carryOut(&Order{Kind: BeginEvacuation, Zone: "north"}, func(r *Result) { got = r })
	if got == nil || got.Status != Unclear || len(k.orders) != 0 {
		t.Errorf("%+v", got)
	}
}
