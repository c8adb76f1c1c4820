package controlplane

import (
	"reflect"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/discovery"
	"milletmast/internal/mesh/outlier"
	"milletmast/internal/mesh/registry"
)

func TestConversions(t *testing.T) {
	status := &Status{
		Node: "n", HasContact: true, ConfigVersion: 2, Epoch: 3, LeaseRemaining: time.Second,
		Evacuations:   []controlstate.Evacuation{{Zone: "z", Version: consensus.Version{Number: 4, Proposer: "a"}, Active: true}},
		ControlPlanes: []discovery.ControlPlane{{IP: "10.0.0.1", Zone: "z"}},
		Proxies: []ProxyStatus{{
			ObservedRecord: registry.ObservedRecord{NodeRecord: registry.NodeRecord{Node: "p", Incarnation: 5, Endpoint: &registry.Endpoint{ID: "e", State: registry.Serving, WarmupLeft: time.Minute}}, Unreachable: true},
			Connected:      true, ConfigVersion: 6, LastPushed: 7, LastAcked: 8,
		}},
		Tallies:   []outlier.Tally{{Instance: outlier.Instance{ID: "e", ProxyRestarted: true}, VotesFor: 9, EndpointProxyAgrees: true, OtherFailures: 10}},
		Ejections: []outlier.Ejection{{InstanceID: "e", Service: "s", Count: 11, Returned: true}},
	}
	if got := decodeStatus(status.Encode()); !reflect.DeepEqual(got, status) {
		t.Errorf("the status is converted to %+v, want %+v", got, status)
	}
}
