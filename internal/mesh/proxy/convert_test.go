package proxy

import (
	"reflect"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/eventlog"
	"milletmast/internal/mesh/registry"
)

func TestConversions(t *testing.T) {
	status := &Status{
		Node: "n", Zone: "z", Version: 1, Ready: true, Trust: "certain", ControlPlanes: []string{"10.0.0.1"}, Endpoint: "e", EndpointState: "serving",
		InFlight: 2, Queued: 3, Capacity: 4, Services: []ServiceStatus{{Name: "s", Instances: []InstanceStatus{{ID: "e", Zone: "z", AcceptsRequests: true}}}},
		Events: []eventlog.Event{{At: time.Unix(5, 0).UTC(), RequestID: "r", Detail: "event=received"}},
	}
	if got := decodeStatus(status.Encode()); !reflect.DeepEqual(got, status) {
		t.Errorf("status becomes %+v, want %+v", got, status)
	}
	message := &PeerMessage{
		StatusQuery: &StatusQuery{RequestID: "r"},
		Gossip: &Gossip{
			ConfigVersion: 6, EvacuationsDigest: 7, EjectionsVersion: consensus.Version{Number: 8, Proposer: "a"}, Isolated: true, Uncertain: true,
			Snapshot: &controlstate.Snapshot{ConfigVersion: 6, Confirmed: true}, Nodes: []discovery.Node{{ObservedRecord: registry.ObservedRecord{Unreachable: true}, Since: time.Unix(9, 0).UTC()}},
		},
	}
	if got := decodePeerMessage(message.Encode()); !reflect.DeepEqual(got, message) {
		t.Errorf("message becomes %+v, want %+v", got, message)
	}
}
