package consensus

import (
	"testing"
	"time"
)

// TestSightOfNextSet: a look that shows the next set to be chosen ends there: nothing more is taken from it.
func TestJointConfigurationWithUnreachableVoters(t *testing.T) {
	now := time.Unix(1, 0)
	member := func(s string) Member { return Member{DiskID: s, Addr: s} }
	old := VoterConfig{Epoch: 1, Voters: []Member{member("a"), member("b"), member("c")}}
	next := old
	next.Epoch, next.Coordinator, next.Incoming = 2, "b", []Member{member("a"), member("b"), member("d")}
	at := Ballot{3, "b"}
	held := []Register{{RegisterState{VoterConfigKey, at, at}, Value{Version: Version{Number: 2}, Voters: &next}}, {RegisterState{"k", at, at}, Value{Body: []byte("x")}}}
	r := NewReplica(member("a"), Settings{Lease: time.Second, ProposalTimeout: time.Second}, old, held)
	out := r.Tick(now)
	var id uint64
	for _, a := range out.Requests {
		if a.Type == MsgStates {
			id = a.ID
		}
	}
	out = r.HandleResponse(now, &Response{ID: id, From: member("b"), Epoch: 1, SameStates: true})
	if set := r.Voters(); set.Epoch != 2 || out.Voters == nil || r.LeaseRemaining(now) != 0 {
		t.Errorf("epoch %d, kept %v, lease %v", set.Epoch, out.Voters, r.LeaseRemaining(now))
	}
}

// TestPromiseInTheWay: a disk that was cut off, or heard only of the beginning of an order, has promised more than what the others chose.
// It decides that anew soon after it hears of it, whatever its place in the set.
func TestHigherPromiseIsOvercome(t *testing.T) {
	now := time.Unix(1, 0)
	set := VoterConfig{Epoch: 1}
	for _, disk := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		set.Voters = append(set.Voters, Member{DiskID: disk, Addr: disk})
	}
	old, own := Ballot{1, "a"}, Ballot{9, "b"}
	r := NewReplica(set.Voters[6], Settings{Lease: time.Second, ProposalTimeout: time.Second}, set, []Register{{RegisterState: RegisterState{"k", own, Ballot{}}}})
	var first time.Time
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		for _, a := range r.Tick(now).Requests {
			switch {
			case a.Type == MsgStates:
				r.HandleResponse(now, &Response{ID: a.ID, From: Member{DiskID: a.To, Addr: a.To}, Epoch: 1, States: []RegisterState{{"k", old, old}}})
				if first.IsZero() {
					first = now
				}
			case a.Type == MsgPrepare && a.Ballot.Compare(own) > 0:
				if took := now.Sub(first); took > stalledTimeout+400*time.Millisecond {
					t.Errorf("decided anew after %v", took)
				}
				return
			}
		}
	}
	t.Error("not decided anew")
}

// TestReadingAfterPromises: a reading that comes while promises for an earlier order are on their way is not answered by them: what was
// chosen since then is not known to those who gave them.
func TestReadAfterPromises(t *testing.T) {
	now := time.Unix(1, 0)
	set := VoterConfig{Epoch: 1}
	for _, disk := range []string{"a", "b", "c"} {
		set.Voters = append(set.Voters, Member{DiskID: disk, Addr: disk})
	}
	r := NewReplica(set.Voters[0], Settings{Lease: time.Second, ProposalTimeout: time.Second}, set, nil)
	out := r.Propose(now, 1, Change{Kind: CompareAndSwap, Key: "k", Version: Version{Number: 3}, Proposer: "a"}) // of what nothing was chosen for: a conflict
	var id uint64
	for _, a := range out.Requests {
		if a.Type == MsgPrepare {
			id = a.ID
		}
	}
	r.Propose(now, 2, Change{Kind: Read, Key: "k"})
	out = r.HandleResponse(now, &Response{ID: id, From: set.Voters[1], Epoch: 1, Granted: true, State: RegisterState{"k", Ballot{1, "a"}, Ballot{}}})
	for _, x := range out.Results {
		if x.Proposal == 2 {
			t.Errorf("the reading is answered: %+v", x)
		}
	}
	for _, a := range out.Requests {
		if a.Type == MsgRead {
			return
		}
	}
	t.Errorf("nobody is asked for the reading: %+v", out)
}
