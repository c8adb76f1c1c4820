package proxy

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
)

// Two isolated proxies, each with a newer evacuation order than the other for one zone, both apply the newer orders after one exchange in each
// direction. The numbers of the orders have the same sum on both sides: the digest must still differ.
func TestGossipMergesEvacuations(t *testing.T) {
	newProxyWithOrders := func(north, south uint64) *Proxy {
		clientState := discovery.NewClientState(time.Unix(1, 0), discovery.Limits{})
		zone := func(name string, n uint64) controlstate.Evacuation {
			return controlstate.Evacuation{Zone: name, Version: consensus.Version{Number: n, Proposer: "d"}, Active: n == 2}
		}
		clientState.HandleSnapshot(discovery.FromControlPlane, &controlstate.Snapshot{
			Config: []byte("r1"), ConfigVersion: 1, Confirmed: true, Epoch: 1, Evacuations: []controlstate.Evacuation{zone("north", north), zone("south", south)},
		})
		return &Proxy{state: clientState, controlPlanes: &controlPlaneLinks{}}
	}
	a, b := newProxyWithOrders(2, 1), newProxyWithOrders(1, 2)
	for _, pair := range []struct{ requester, responder *Proxy }{{a, b}, {b, a}} {
		if g := pair.responder.replyTo(pair.requester.digest()); g.Snapshot != nil {
			pair.requester.state.HandleSnapshot(discovery.FromProxy, g.Snapshot)
		}
		for _, zone := range []string{"north", "south"} {
			if !pair.requester.state.IsEvacuated(zone) {
				t.Errorf("%s is not evacuated", zone)
			}
		}
	}
	if g := a.replyTo(b.digest()); g.Snapshot != nil {
		t.Error("a snapshot is sent although both proxies have the same orders")
	}
}
