package membership

import (
	"slices"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// TestReproposeInJointAtEveryTick: the coordinator ends a joint set although it ticks no more often than it looks at the others: what a look
// told is used before the next one begins. What was decided under the old set is decided anew by a majority of the next one first.
func TestReproposeInJointAtEveryTick(t *testing.T) {
	now := time.Unix(1, 0)
	member := func(disk string) consensus.Member { return consensus.Member{DiskID: disk, Addr: disk, InQuorum: true} }
	set := consensus.VoterConfig{
		Epoch: 2, Coordinator: "a",
		Voters: []consensus.Member{member("a"), member("b"), member("c")}, Incoming: []consensus.Member{member("a"), member("b"), member("d")},
	}
	x := consensus.Ballot{Round: 1, Proposer: "b"}
	held := []consensus.Register{{RegisterState: consensus.RegisterState{Key: "k", Promised: consensus.Ballot{Round: 2, Proposer: "c"}, Accepted: x}, Value: consensus.Value{Body: []byte("v")}}}
	all := map[string]*consensus.Replica{}
	for _, disk := range []string{"a", "b", "c", "d"} {
		all[disk] = consensus.NewReplica(member(disk), consensus.Settings{Lease: 2 * time.Second, ProposalTimeout: time.Second}, set, slices.Clone(held))
	}
	r := all["a"]
	m := New(now, r, 1)
	var carry func(consensus.Output)
	carry = func(out consensus.Output) {
		for _, a := range out.Requests {
			t, _ := all[a.To].HandleRequest(now, &a)
			carry(r.HandleResponse(now, &t))
		}
	}
	for n := 0; n < 10; n++ {
		now = now.Add(300 * time.Millisecond)
		if carry(m.Tick(now)); r.Voters().Epoch == 3 {
			if s := r.Voters(); s.IsJoint() || len(s.Voters) != 3 || !s.Contains("d") {
				t.Fatalf("%+v", s)
			}
			anew := 0
			for _, m := range set.Incoming {
				if all[m.DiskID].Acceptor().Get("k").Accepted.Compare(x) > 0 {
					anew++
				}
			}
			if anew < consensus.Majority(set.Incoming) {
				t.Errorf("what was decided before was decided anew by %d of those that were next", anew)
			}
			return
		}
	}
	t.Fatalf("still %+v", r.Voters())
}
