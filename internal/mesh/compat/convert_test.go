package compat

import (
	"reflect"
	"testing"

	"milletmast/internal/mesh/consensus"
	consensuswire "milletmast/internal/mesh/consensus/wire"
	"milletmast/internal/mesh/controlstate"
	controlstatewire "milletmast/internal/mesh/controlstate/wire"
	"milletmast/internal/mesh/discovery"
	discoverywire "milletmast/internal/mesh/discovery/wire"
	"milletmast/internal/mesh/outlier"
	outlierwire "milletmast/internal/mesh/outlier/wire"
	"milletmast/internal/mesh/registry"
	registrywire "milletmast/internal/mesh/registry/wire"
)

// filled returns a value of which no exported field is zero.
func filled[T any]() T {
	var v T
	(&filler{}).fill(reflect.ValueOf(&v).Elem())
	return v
}

// TestConversions checks that no field is lost between a type of the program and its encoded form, in either direction.
func TestConversions(t *testing.T) {
	ask, tell := filled[consensus.Request](), filled[consensus.Response]()
	order, word := filled[controlstate.Command](), filled[controlstate.Update]()
	hello, up, down, across := filled[discovery.Handshake](), filled[discovery.ProxyMessage](), filled[discovery.ControlMessage](), filled[discovery.PeerMessage]()
	nodes := []discovery.Node{filled[discovery.Node]()}
	removals := []outlier.Ejection{filled[outlier.Ejection]()}
	cases := []outlier.Tally{filled[outlier.Tally]()}
	register := filled[consensus.Register]()
	for _, x := range []struct{ got, want any }{
		{consensuswire.FromRequest(&ask).Request(), &ask},
		{consensuswire.FromResponse(&tell).Response(), &tell},
		{consensuswire.FromRegister(register).Register(), register},
		{controlstatewire.FromCommand(&order).Command(), &order},
		{controlstatewire.FromUpdate(&word).Update(), &word},
		{discoverywire.FromHandshake(&hello).Handshake(), &hello},
		{discoverywire.FromProxyMessage(&up).ProxyMessage(), &up},
		{discoverywire.FromControlMessage(&down).ControlMessage(), &down},
		{discoverywire.FromPeerMessage(&across).PeerMessage(), &across},
		{discoverywire.Nodes(discoverywire.FromNodes(nodes)), nodes},
		{outlierwire.Ejections(outlierwire.FromEjections(removals)), removals},
		{outlierwire.Tallies(outlierwire.FromTallies(cases)), cases},
		{registrywire.FromObservedRecord(registry.ObservedRecord{Unreachable: true}).ObservedRecord(), registry.ObservedRecord{Unreachable: true}},
		{consensuswire.FromRequest(&consensus.Request{}).Request(), &consensus.Request{}},
		{consensuswire.FromResponse(&consensus.Response{}).Response(), &consensus.Response{}},
		{controlstatewire.FromUpdate(&controlstate.Update{}).Update(), &controlstate.Update{}},
		{discoverywire.FromProxyMessage(&discovery.ProxyMessage{}).ProxyMessage(), &discovery.ProxyMessage{}},
		{discoverywire.FromControlMessage(&discovery.ControlMessage{}).ControlMessage(), &discovery.ControlMessage{}},
		{discoverywire.FromPeerMessage(&discovery.PeerMessage{}).PeerMessage(), &discovery.PeerMessage{}},
	} {
		if !reflect.DeepEqual(x.got, x.want) {
			t.Errorf("%T becomes\n%+v\nwant\n%+v", x.want, x.got, x.want)
		}
	}
}
