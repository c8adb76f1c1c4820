package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// accepted draws what proposers had accepted for a few keys: one value for each ballot.
func accepted(t *rapid.T) []Register {
	out := make([]Register, rapid.IntRange(1, 30).Draw(t, "words"))
	for i := range out {
		key := fmt.Sprint("key", rapid.IntRange(0, 4).Draw(t, "key"))
		at := Ballot{uint64(rapid.IntRange(1, 6).Draw(t, "round")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "disk")}
		out[i] = Register{RegisterState{key, at, at}, Value{Body: []byte(fmt.Sprint(key, at))}}
	}
	return out
}

// Two disks that hear the same in any order, any number of times, hold the same, and never go back on the way.
func TestReplicasAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := accepted(t)
		a, b := NewAcceptor(nil), NewAcceptor(nil)
		for _, x := range heard {
			before := a.Get(x.Key)
			a.Accept(x.Key, x.Accepted, x.Value)
			after := a.Get(x.Key)
			if after.Accepted.Compare(before.Accepted) < 0 || after.Promised.Compare(before.Promised) < 0 {
				t.Fatalf("%s went back from %v to %v", x.Key, before.RegisterState, after.RegisterState)
			}
			if string(after.Value.Body) != fmt.Sprint(x.Key, after.Accepted) {
				t.Fatalf("at %v it holds %q", after.Accepted, after.Value.Body)
			}
		}
		for _, x := range rapid.Permutation(heard).Draw(t, "order") {
			b.Accept(x.Key, x.Accepted, x.Value)
			b.Accept(x.Key, x.Accepted, x.Value)
		}
		if !slices.Equal(a.States(), b.States()) || digestStates(a.States()) != digestStates(b.States()) {
			t.Fatalf("%v and %v", a.States(), b.States())
		}
	})
}

// What two disks hold apart is found by a look, and one look each way makes them one.
func TestReplicasAreRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		set := VoterConfig{Epoch: 1, Voters: []Member{{DiskID: "a", Addr: "a"}, {DiskID: "b", Addr: "b"}}}
		pair := map[string]*Replica{}
		for _, m := range set.Voters {
			disk := NewAcceptor(nil)
			for _, x := range accepted(t) {
				disk.Accept(x.Key, x.Accepted, x.Value)
			}
			pair[m.DiskID] = NewReplica(m, Settings{Lease: time.Minute, ProposalTimeout: time.Second}, set, disk.Registers())
		}
		var carry func(by *Replica, out Output)
		carry = func(by *Replica, out Output) {
			for _, a := range out.Requests {
				tell, more := pair[a.To].HandleRequest(now, &a)
				carry(pair[a.To], more)
				carry(by, by.HandleResponse(now, &tell))
			}
		}
		for _, disk := range []string{"a", "b"} {
			carry(pair[disk], pair[disk].Tick(now))
		}
		if a, b := pair["a"].Acceptor().States(), pair["b"].Acceptor().States(); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

// Whatever is asked under an older epoch, or under a newer one whose set is not told, changes nothing and counts for nothing.
func TestStaleEpochIsRejected(t *testing.T) {
	now := time.Unix(1, 0)
	set := VoterConfig{Epoch: 5, Voters: []Member{{DiskID: "a", Addr: "a"}, {DiskID: "b", Addr: "b"}, {DiskID: "c", Addr: "c"}}}
	at := Ballot{3, "b"}
	held := []Register{{RegisterState{"k", at, at}, Value{Body: []byte("x")}}}
	for _, q := range []MessageType{MsgStates, MsgRead, MsgPrepare, MsgAccept, MsgCommit, MsgFetch} {
		for _, epoch := range []uint64{4, 6} {
			r := NewReplica(set.Voters[0], Settings{Lease: time.Second, ProposalTimeout: time.Second}, set, held)
			higher := Ballot{9, "b"}
			tell, out := r.HandleRequest(now, &Request{
				From: set.Voters[1], ID: 1, Epoch: epoch, Type: q, Key: "k", Ballot: higher, Value: &Value{Body: []byte("y")},
				States: []RegisterState{{"k", at, at}}, Keys: []string{"k"},
			})
			_, known := r.Committed("k")
			if !tell.StaleEpoch || tell.Granted || tell.Value != nil || len(tell.Registers) > 0 || len(tell.States) > 0 || (tell.Voters != nil) != (epoch < 5) {
				t.Errorf("query %d of epoch %d is told %+v", q, epoch, tell)
			}
			if len(out.Registers) > 0 || out.Voters != nil || known || r.Acceptor().Get("k").RegisterState != held[0].RegisterState {
				t.Errorf("query %d of epoch %d changed %+v", q, epoch, out)
			}
		}
	}
}
