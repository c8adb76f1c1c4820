package membership

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// A voter that receives no messages from the coordinator, while a quorum does, does not replace it: neither after a partition, before it has
// reconnected, nor while the link between the two stays down. Without this rule, the two took the coordinator role from each other up to ten
// times in a third of a second.
func TestCoordinatorInContactWithAQuorumStays(t *testing.T) {
	now := time.Unix(1, 0)
	voters := consensus.VoterConfig{Epoch: 3, Coordinator: "a"}
	for _, disk := range []string{"a", "b", "c"} {
		voters.Voters = append(voters.Voters, consensus.Member{DiskID: disk, Addr: disk, InQuorum: true})
	}
	replicas, coordinators := map[string]*consensus.Replica{}, map[string]*Coordinator{}
	for _, m := range voters.Voters {
		r := consensus.NewReplica(m, consensus.Settings{Lease: 2 * time.Second, ProposalTimeout: time.Second}, voters, nil)
		replicas[m.Addr], coordinators[m.Addr] = r, New(now, r, 1)
	}
	linkDown := func(x, y string) bool { return x != y && x != "c" && y != "c" } // between a and b
	var deliver func(from *consensus.Replica, out consensus.Output)
	deliver = func(from *consensus.Replica, out consensus.Output) {
		for _, req := range out.Requests {
			if receiver := replicas[req.To]; receiver != nil && !linkDown(from.Self().Addr, req.To) {
				resp, more := receiver.HandleRequest(now, &req)
				deliver(receiver, more)
				deliver(from, from.HandleResponse(now, &resp))
			}
		}
	}
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(25 * time.Millisecond) {
			for _, addr := range []string{"b", "c", "a"} {
				if replicas[addr] != nil {
					deliver(replicas[addr], coordinators[addr].Tick(now))
				}
			}
		}
	}
	run(20 * time.Second)
	for addr, r := range replicas {
		if s := r.Voters(); s.Epoch != 3 || s.Coordinator != "a" {
			t.Errorf("%s has the configuration %+v", addr, s)
		}
	}
	delete(replicas, "a")
	run(4 * time.Second)
	if s := replicas["c"].Voters(); s.Epoch != 4 || s.Coordinator == "a" {
		t.Errorf("after the loss of the coordinator, want exactly one new coordinator: %+v", s)
	}
}
