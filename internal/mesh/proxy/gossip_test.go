package proxy

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
)

// Two proxies that are cut off, of which each knows an evacuation that the other lacks, both go by the newer of both zones after one talk
// there and back, also where the numbers of their orders have the same sum.
func TestGossipMergesEvacuations(t *testing.T) {
	holds := func(north, south uint64) *Proxy {
		room := discovery.NewClientState(time.Unix(1, 0), discovery.Limits{})
		zone := func(name string, n uint64) controlstate.Evacuation {
			return controlstate.Evacuation{Zone: name, Version: consensus.Version{Number: n, Proposer: "d"}, Active: n == 2}
		}
		room.HandleSnapshot(discovery.FromControlPlane, &controlstate.Snapshot{
			Config: []byte("r1"), ConfigVersion: 1, Confirmed: true, Epoch: 1, Evacuations: []controlstate.Evacuation{zone("north", north), zone("south", south)},
		})
		return &Proxy{state: room, controlPlanes: &controlPlaneLinks{}}
	}
	a, b := holds(2, 1), holds(1, 2)
	for _, x := range []struct{ asks, told *Proxy }{{a, b}, {b, a}} {
		if g := x.told.replyTo(x.asks.digest()); g.Snapshot != nil {
			x.asks.state.HandleSnapshot(discovery.FromProxy, g.Snapshot)
		}
		for _, zone := range []string{"north", "south"} {
			if !x.asks.state.IsEvacuated(zone) {
				t.Errorf("%s is not evacuated", zone)
			}
		}
	}
	if g := a.replyTo(b.digest()); g.Snapshot != nil {
		t.Error("the same is told again")
	}
}
