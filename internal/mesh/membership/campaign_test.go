package membership

import (
	"fmt"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// An unreachable coordinator is replaced by exactly one voter, not before coordinatorTimeout and never by a learner. A voter that is not
// in contact with a quorum does not campaign.
func TestOnlyVotersCampaignInTurn(t *testing.T) {
	for _, reachable := range []int{4, 1} { // reachable voters of five; the coordinator is unreachable
		now := time.Unix(1, 0)
		start := now
		voters := consensus.VoterConfig{Epoch: 3, Coordinator: "d0"}
		for i := range 5 {
			voters.Voters = append(voters.Voters, consensus.Member{DiskID: fmt.Sprint("d", i), Addr: fmt.Sprint("d", i), InQuorum: true})
		}
		replicas, coordinators := map[string]*consensus.Replica{}, map[string]*Coordinator{}
		for _, m := range append(voters.Voters[1:1+reachable:1+reachable], consensus.Member{DiskID: "learner", Addr: "learner"}) {
			r := consensus.NewReplica(m, consensus.Settings{Lease: 2 * time.Second, ProposalTimeout: time.Second}, voters, nil)
			replicas[m.Addr], coordinators[m.Addr] = r, New(now, r, 2)
		}
		campaigns := map[string]time.Duration{} // by disk, when it campaigned first
		var deliver func(from *consensus.Replica, out consensus.Output)
		deliver = func(from *consensus.Replica, out consensus.Output) {
			for _, req := range out.Requests {
				if req.Type == consensus.MsgPrepare && req.Key == consensus.VoterConfigKey && campaigns[from.Self().DiskID] == 0 {
					campaigns[from.Self().DiskID] = now.Sub(start)
				}
				if receiver := replicas[req.To]; receiver != nil {
					resp, more := receiver.HandleRequest(now, &req)
					deliver(receiver, more)
					deliver(from, from.HandleResponse(now, &resp))
				}
			}
		}
		for now.Sub(start) < 6*time.Second {
			now = now.Add(25 * time.Millisecond)
			for _, addr := range []string{"learner", "d4", "d3", "d2", "d1"} {
				if c := coordinators[addr]; c != nil {
					deliver(replicas[addr], c.Tick(now))
				}
			}
			if len(campaigns) > 0 {
				break
			}
		}
		if reachable == 1 {
			if len(campaigns) > 0 {
				t.Errorf("a voter without a quorum campaigns: %v", campaigns)
			}
			continue
		}
		if len(campaigns) != 1 || campaigns["learner"] > 0 {
			t.Fatalf("campaigns of %v, want one, of a voter", campaigns)
		}
		for disk, after := range campaigns {
			if s := replicas[disk].Voters(); s.Epoch != 4 || s.Coordinator != disk || after <= coordinatorTimeout {
				t.Errorf("%s campaigns after %v, and the configuration is %+v", disk, after, s)
			}
		}
	}
}
