package configstore

import (
	"reflect"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

func TestConversions(t *testing.T) {
	voters := consensus.VoterConfig{Epoch: 3, Coordinator: "a", Voters: []consensus.Member{{DiskID: "a", Node: "n", Addr: "x:1", Zone: "z", InQuorum: true}}}
	status := &Status{
		Node: "n", DiskID: "a", IsVoter: true, Voters: voters, Alive: map[string]bool{"a": true}, Role: "following", LeaseRemaining: time.Second, StorageFailed: true,
		Registers: []RegisterStatus{{Key: "config", Version: consensus.Version{Number: 4, Proposer: "a"}, Bytes: 5, Ballot: consensus.Ballot{Round: 6, Proposer: "a"}, Committed: true}},
	}
	if got := decodeStatus(status.Encode()); !reflect.DeepEqual(got, status) {
		t.Errorf("status after encoding and decoding: %+v, want %+v", got, status)
	}
	handshake := Handshake{Peer: true, ControlPlane: "l", StatusQuery: true}
	if got := decodeHandshake(handshake.Encode()); got != handshake {
		t.Errorf("handshake after encoding and decoding: %+v, want %+v", got, handshake)
	}
}
