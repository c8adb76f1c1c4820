package consensus

import (
	"testing"
	"time"
)

// A quorum read that finds the next voter configuration committed adopts it and ends: it grants no lease under the old configuration.
func TestQuorumReadEndsWithNewVoterConfiguration(t *testing.T) {
	now := time.Unix(1, 0)
	member := func(s string) Member { return Member{DiskID: s, Addr: s} }
	old := VoterConfig{Epoch: 1, Voters: []Member{member("a"), member("b"), member("c")}}
	next := old
	next.Epoch, next.Coordinator, next.Incoming = 2, "b", []Member{member("a"), member("b"), member("d")}
	at := Ballot{3, "b"}
	stored := []Register{{RegisterState{VoterConfigKey, at, at}, Value{Version: Version{Number: 2}, Voters: &next}}, {RegisterState{"k", at, at}, Value{Body: []byte("x")}}}
	r := NewReplica(member("a"), Settings{Lease: time.Second, ProposalTimeout: time.Second}, old, stored)
	out := r.Tick(now)
	var id uint64
	for _, req := range out.Requests {
		if req.Type == MsgStates {
			id = req.ID
		}
	}
	out = r.HandleResponse(now, &Response{ID: id, From: member("b"), Epoch: 1, SameStates: true})
	if voters := r.Voters(); voters.Epoch != 2 || out.Voters == nil || r.LeaseRemaining(now) != 0 {
		t.Errorf("epoch %d, persisted voters %v, lease %v", voters.Epoch, out.Voters, r.LeaseRemaining(now))
	}
}

// A disk that was partitioned, or received only the prepare request of a round, has promised a higher ballot than the committed one and
// cannot accept it. It proposes the value again soon after a quorum read shows the committed ballot, even if it sorts last.
func TestHigherPromiseIsOvercome(t *testing.T) {
	now := time.Unix(1, 0)
	voters := VoterConfig{Epoch: 1}
	for _, disk := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		voters.Voters = append(voters.Voters, Member{DiskID: disk, Addr: disk})
	}
	old, own := Ballot{1, "a"}, Ballot{9, "b"}
	r := NewReplica(voters.Voters[6], Settings{Lease: time.Second, ProposalTimeout: time.Second}, voters, []Register{{RegisterState: RegisterState{"k", own, Ballot{}}}})
	var first time.Time
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		for _, req := range r.Tick(now).Requests {
			switch {
			case req.Type == MsgStates:
				r.HandleResponse(now, &Response{ID: req.ID, From: Member{DiskID: req.To, Addr: req.To}, Epoch: 1, States: []RegisterState{{"k", old, old}}})
				if first.IsZero() {
					first = now
				}
			case req.Type == MsgPrepare && req.Ballot.Compare(own) > 0:
				if took := now.Sub(first); took > stalledTimeout+400*time.Millisecond {
					t.Errorf("proposed again only after %v", took)
				}
				return
			}
		}
	}
	t.Error("the value was not proposed again")
}

// A read that starts while the promises for an earlier change are in transit is not completed by these: they do not cover values that were
// committed since.
func TestReadAfterPromises(t *testing.T) {
	now := time.Unix(1, 0)
	voters := VoterConfig{Epoch: 1}
	for _, disk := range []string{"a", "b", "c"} {
		voters.Voters = append(voters.Voters, Member{DiskID: disk, Addr: disk})
	}
	r := NewReplica(voters.Voters[0], Settings{Lease: time.Second, ProposalTimeout: time.Second}, voters, nil)
	out := r.Propose(now, 1, Change{Kind: CompareAndSwap, Key: "k", Version: Version{Number: 3}, Proposer: "a"}) // a conflict, as no value is committed
	var id uint64
	for _, req := range out.Requests {
		if req.Type == MsgPrepare {
			id = req.ID
		}
	}
	r.Propose(now, 2, Change{Kind: Read, Key: "k"})
	out = r.HandleResponse(now, &Response{ID: id, From: voters.Voters[1], Epoch: 1, Granted: true, State: RegisterState{"k", Ballot{1, "a"}, Ballot{}}})
	for _, x := range out.Results {
		if x.Proposal == 2 {
			t.Errorf("the earlier promises completed the read: %+v", x)
		}
	}
	for _, req := range out.Requests {
		if req.Type == MsgRead {
			return
		}
	}
	t.Errorf("no request for the read was sent: %+v", out)
}
