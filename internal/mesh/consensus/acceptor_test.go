package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawAccepted draws accepted registers of a few keys, with one value for each ballot.
func drawAccepted(t *rapid.T) []Register {
	out := make([]Register, rapid.IntRange(1, 30).Draw(t, "count"))
	for i := range out {
		key := fmt.Sprint("key", rapid.IntRange(0, 4).Draw(t, "key"))
		at := Ballot{uint64(rapid.IntRange(1, 6).Draw(t, "round")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "disk")}
		out[i] = Register{RegisterState{key, at, at}, Value{Body: []byte(fmt.Sprint(key, at))}}
	}
	return out
}

// Two acceptors that receive the same registers in any order and any number of times end in the same state, and neither ever returns to a
// lower ballot.
func TestReplicasAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		received := drawAccepted(t)
		a, b := NewAcceptor(nil), NewAcceptor(nil)
		for _, x := range received {
			before := a.Get(x.Key)
			a.Accept(x.Key, x.Accepted, x.Value)
			after := a.Get(x.Key)
			if after.Accepted.Compare(before.Accepted) < 0 || after.Promised.Compare(before.Promised) < 0 {
				t.Fatalf("%s returned from %v to %v", x.Key, before.RegisterState, after.RegisterState)
			}
			if string(after.Value.Body) != fmt.Sprint(x.Key, after.Accepted) {
				t.Fatalf("accepted at %v: %q", after.Accepted, after.Value.Body)
			}
		}
		for _, x := range rapid.Permutation(received).Draw(t, "order") {
			b.Accept(x.Key, x.Accepted, x.Value)
			b.Accept(x.Key, x.Accepted, x.Value)
		}
		if !slices.Equal(a.States(), b.States()) || digestStates(a.States()) != digestStates(b.States()) {
			t.Fatalf("states %v and %v differ", a.States(), b.States())
		}
	})
}

// Two replicas with different accepted registers are equal after one quorum read by each of them.
func TestReplicasAreRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		voters := VoterConfig{Epoch: 1, Voters: []Member{{DiskID: "a", Addr: "a"}, {DiskID: "b", Addr: "b"}}}
		replicas := map[string]*Replica{}
		for _, m := range voters.Voters {
			acceptor := NewAcceptor(nil)
			for _, x := range drawAccepted(t) {
				acceptor.Accept(x.Key, x.Accepted, x.Value)
			}
			replicas[m.DiskID] = NewReplica(m, Settings{Lease: time.Minute, ProposalTimeout: time.Second}, voters, acceptor.Registers())
		}
		var deliver func(from *Replica, out Output)
		deliver = func(from *Replica, out Output) {
			for _, req := range out.Requests {
				resp, more := replicas[req.To].HandleRequest(now, &req)
				deliver(replicas[req.To], more)
				deliver(from, from.HandleResponse(now, &resp))
			}
		}
		for _, disk := range []string{"a", "b"} {
			deliver(replicas[disk], replicas[disk].Tick(now))
		}
		if a, b := replicas["a"].Acceptor().States(), replicas["b"].Acceptor().States(); !slices.Equal(a, b) {
			t.Fatalf("states %v and %v differ", a, b)
		}
	})
}

// A request of an older epoch, or of a newer one without its voter configuration, is rejected and has no effect.
func TestStaleEpochIsRejected(t *testing.T) {
	now := time.Unix(1, 0)
	voters := VoterConfig{Epoch: 5, Voters: []Member{{DiskID: "a", Addr: "a"}, {DiskID: "b", Addr: "b"}, {DiskID: "c", Addr: "c"}}}
	at := Ballot{3, "b"}
	stored := []Register{{RegisterState{"k", at, at}, Value{Body: []byte("x")}}}
	for _, typ := range []MessageType{MsgStates, MsgRead, MsgPrepare, MsgAccept, MsgCommit, MsgFetch} {
		for _, epoch := range []uint64{4, 6} {
			r := NewReplica(voters.Voters[0], Settings{Lease: time.Second, ProposalTimeout: time.Second}, voters, stored)
			higher := Ballot{9, "b"}
			resp, out := r.HandleRequest(now, &Request{
				From: voters.Voters[1], ID: 1, Epoch: epoch, Type: typ, Key: "k", Ballot: higher, Value: &Value{Body: []byte("y")},
				States: []RegisterState{{"k", at, at}}, Keys: []string{"k"},
			})
			_, committed := r.Committed("k")
			if !resp.StaleEpoch || resp.Granted || resp.Value != nil || len(resp.Registers) > 0 || len(resp.States) > 0 || (resp.Voters != nil) != (epoch < 5) {
				t.Errorf("request type %d of epoch %d: response %+v", typ, epoch, resp)
			}
			if len(out.Registers) > 0 || out.Voters != nil || committed || r.Acceptor().Get("k").RegisterState != stored[0].RegisterState {
				t.Errorf("request type %d of epoch %d changed the replica: %+v", typ, epoch, out)
			}
		}
	}
}
