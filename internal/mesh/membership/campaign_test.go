package membership

import (
	"fmt"
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// A holder that nobody hears is followed by one member, not sooner than it may have been away, and by nobody who does not count; who is
// reached by no quorum never stands for the coordinator role.
func TestOnlyVotersCampaignInTurn(t *testing.T) {
	for _, reached := range []int{4, 1} { // members that can be reached, of five; the holder is none of them
		now := time.Unix(1, 0)
		begun := now
		set := consensus.VoterConfig{Epoch: 3, Coordinator: "d0"}
		for i := range 5 {
			set.Voters = append(set.Voters, consensus.Member{DiskID: fmt.Sprint("d", i), Addr: fmt.Sprint("d", i), InQuorum: true})
		}
		replicas, machines := map[string]*consensus.Replica{}, map[string]*Coordinator{}
		for _, m := range append(set.Voters[1:1+reached:1+reached], consensus.Member{DiskID: "learner", Addr: "learner"}) {
			r := consensus.NewReplica(m, consensus.Settings{Lease: 2 * time.Second, ProposalTimeout: time.Second}, set, nil)
			replicas[m.Addr], machines[m.Addr] = r, New(now, r, 2)
		}
		asked := map[string]time.Duration{}
		var carry func(by *consensus.Replica, out consensus.Output)
		carry = func(by *consensus.Replica, out consensus.Output) {
			for _, a := range out.Requests {
				if a.Type == consensus.MsgPrepare && a.Key == consensus.VoterConfigKey && asked[by.Self().DiskID] == 0 {
					asked[by.Self().DiskID] = now.Sub(begun)
				}
				if other := replicas[a.To]; other != nil {
					tell, more := other.HandleRequest(now, &a)
					carry(other, more)
					carry(by, by.HandleResponse(now, &tell))
				}
			}
		}
		for now.Sub(begun) < 6*time.Second {
			now = now.Add(25 * time.Millisecond)
			for _, addr := range []string{"learner", "d4", "d3", "d2", "d1"} {
				if m := machines[addr]; m != nil {
					carry(replicas[addr], m.Tick(now))
				}
			}
			if len(asked) > 0 {
				break
			}
		}
		if reached == 1 {
			if len(asked) > 0 {
				t.Errorf("one that reaches nobody asks: %v", asked)
			}
			continue
		}
		if len(asked) != 1 || asked["learner"] > 0 {
			t.Fatalf("%v ask", asked)
		}
		for disk, after := range asked {
			if s := replicas[disk].Voters(); s.Epoch != 4 || s.Coordinator != disk || after <= coordinatorTimeout {
				t.Errorf("%s asks after %v, and the set is %+v", disk, after, s)
			}
		}
	}
}
