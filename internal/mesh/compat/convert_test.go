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

// TestConversions checks that a value keeps all fields when it is converted to its encoded form and back.
func TestConversions(t *testing.T) {
	request, response := filled[consensus.Request](), filled[consensus.Response]()
	command, update := filled[controlstate.Command](), filled[controlstate.Update]()
	handshake, proxyMessage, controlMessage, peerMessage := filled[discovery.Handshake](), filled[discovery.ProxyMessage](), filled[discovery.ControlMessage](), filled[discovery.PeerMessage]()
	nodes := []discovery.Node{filled[discovery.Node]()}
	ejections := []outlier.Ejection{filled[outlier.Ejection]()}
	tallies := []outlier.Tally{filled[outlier.Tally]()}
	register := filled[consensus.Register]()
	for _, x := range []struct{ got, want any }{
		{consensuswire.FromRequest(&request).Request(), &request},
		{consensuswire.FromResponse(&response).Response(), &response},
		{consensuswire.FromRegister(register).Register(), register},
		{controlstatewire.FromCommand(&command).Command(), &command},
		{controlstatewire.FromUpdate(&update).Update(), &update},
		{discoverywire.FromHandshake(&handshake).Handshake(), &handshake},
		{discoverywire.FromProxyMessage(&proxyMessage).ProxyMessage(), &proxyMessage},
		{discoverywire.FromControlMessage(&controlMessage).ControlMessage(), &controlMessage},
		{discoverywire.FromPeerMessage(&peerMessage).PeerMessage(), &peerMessage},
		{discoverywire.Nodes(discoverywire.FromNodes(nodes)), nodes},
		{outlierwire.Ejections(outlierwire.FromEjections(ejections)), ejections},
		{outlierwire.Tallies(outlierwire.FromTallies(tallies)), tallies},
		{registrywire.FromObservedRecord(registry.ObservedRecord{Unreachable: true}).ObservedRecord(), registry.ObservedRecord{Unreachable: true}},
		{consensuswire.FromRequest(&consensus.Request{}).Request(), &consensus.Request{}},
		{consensuswire.FromResponse(&consensus.Response{}).Response(), &consensus.Response{}},
		{controlstatewire.FromUpdate(&controlstate.Update{}).Update(), &controlstate.Update{}},
		{discoverywire.FromProxyMessage(&discovery.ProxyMessage{}).ProxyMessage(), &discovery.ProxyMessage{}},
		{discoverywire.FromControlMessage(&discovery.ControlMessage{}).ControlMessage(), &discovery.ControlMessage{}},
		{discoverywire.FromPeerMessage(&discovery.PeerMessage{}).PeerMessage(), &discovery.PeerMessage{}},
	} {
		if !reflect.DeepEqual(x.got, x.want) {
			t.Errorf("%T is converted to\n%+v\nwant\n%+v", x.want, x.got, x.want)
		}
	}
}
