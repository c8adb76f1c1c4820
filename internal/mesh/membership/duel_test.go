package membership

import (
	"testing"
	"time"

	"milletmast/internal/mesh/consensus"
)

// A member that does not hear the holder, while a quorum does, unseats it not: neither as it comes back from a cut and has no connection to
// the holder yet, nor where the link between the two stays down. Before, the two took the coordinator role from each other up to ten times in a third
// of a second.
func TestCoordinatorThatAQuorumHearsStays(t *testing.T) {
	now := time.Unix(1, 0)
	set := consensus.VoterConfig{Epoch: 3, Coordinator: "a"}
	for _, disk := range []string{"a", "b", "c"} {
		set.Voters = append(set.Voters, consensus.Member{DiskID: disk, Addr: disk, InQuorum: true})
	}
	replicas, machines := map[string]*consensus.Replica{}, map[string]*Coordinator{}
	for _, m := range set.Voters {
		r := consensus.NewReplica(m, consensus.Settings{Lease: 2 * time.Second, ProposalTimeout: time.Second}, set, nil)
		replicas[m.Addr], machines[m.Addr] = r, New(now, r, 1)
	}
	down := func(x, y string) bool { return x != y && x != "c" && y != "c" } // between a and b
	var carry func(by *consensus.Replica, out consensus.Output)
	carry = func(by *consensus.Replica, out consensus.Output) {
		for _, a := range out.Requests {
			if other := replicas[a.To]; other != nil && !down(by.Self().Addr, a.To) {
				tell, more := other.HandleRequest(now, &a)
				carry(other, more)
				carry(by, by.HandleResponse(now, &tell))
			}
		}
	}
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(25 * time.Millisecond) {
			for _, addr := range []string{"b", "c", "a"} {
				if replicas[addr] != nil {
					carry(replicas[addr], machines[addr].Tick(now))
				}
			}
		}
	}
	pass(20 * time.Second)
	for addr, r := range replicas {
		if s := r.Voters(); s.Epoch != 3 || s.Coordinator != "a" {
			t.Errorf("%s goes by %+v", addr, s)
		}
	}
	delete(replicas, "a")
	pass(4 * time.Second)
	if s := replicas["c"].Voters(); s.Epoch != 4 || s.Coordinator == "a" {
		t.Errorf("nobody followed a holder that is gone, or more than one: %+v", s)
	}
}
