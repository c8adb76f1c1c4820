package membership

import (
	"slices"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// The coordinator completes a joint configuration even if it ticks no more often than it starts quorum reads: it uses the results of a read
// before it starts the next. Values that were committed before are first committed again by a majority of the incoming voters.
func TestReproposeInJointAtEveryTick(t *testing.T) {
	now := time.Unix(1, 0)
	member := func(disk string) consensus.Member { return consensus.Member{DiskID: disk, Addr: disk, InQuorum: true} }
	voters := consensus.VoterConfig{
		Epoch: 2, Coordinator: "a",
		Voters: []consensus.Member{member("a"), member("b"), member("c")}, Incoming: []consensus.Member{member("a"), member("b"), member("d")},
	}
	x := consensus.Ballot{Round: 1, Proposer: "b"}
	stored := []consensus.Register{{RegisterState: consensus.RegisterState{Key: "k", Promised: consensus.Ballot{Round: 2, Proposer: "c"}, Accepted: x}, Value: consensus.Value{Body: []byte("v")}}}
	replicas := map[string]*consensus.Replica{}
	for _, disk := range []string{"a", "b", "c", "d"} {
		replicas[disk] = consensus.NewReplica(member(disk), consensus.Settings{Lease: 2 * time.Second, ProposalTimeout: time.Second}, voters, slices.Clone(stored))
	}
	r := replicas["a"]
	c := New(now, r, 1)
	var deliver func(consensus.Output)
	deliver = func(out consensus.Output) {
		for _, req := range out.Requests {
			resp, _ := replicas[req.To].HandleRequest(now, &req)
			deliver(r.HandleResponse(now, &resp))
		}
	}
	for n := 0; n < 10; n++ {
		now = now.Add(300 * time.Millisecond)
		if deliver(c.Tick(now)); r.Voters().Epoch == 3 {
			if s := r.Voters(); s.IsJoint() || len(s.Voters) != 3 || !s.Contains("d") {
				t.Fatalf("the next configuration is %+v", s)
			}
			reproposed := 0
			for _, m := range voters.Incoming {
				if replicas[m.DiskID].Acceptor().Get("k").Accepted.Compare(x) > 0 {
					reproposed++
				}
			}
			if reproposed < consensus.Majority(voters.Incoming) {
				t.Errorf("only %d of the incoming voters have accepted the earlier value again", reproposed)
			}
			return
		}
	}
	t.Fatalf("the configuration is still joint: %+v", r.Voters())
}
