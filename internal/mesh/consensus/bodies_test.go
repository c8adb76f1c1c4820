package consensus

import (
	"bytes"
	"testing"
	"time"
)

// newReplicaPair returns the two replicas of a configuration with two voters; the second has no registers.
func newReplicaPair(inlineLimit int, stored ...Register) (a, b *Replica) {
	x, y := Member{DiskID: "a", Addr: "a", InQuorum: true}, Member{DiskID: "b", Addr: "b", InQuorum: true}
	voters := VoterConfig{Epoch: 1, Voters: []Member{x, y}}
	s := Settings{Lease: 2 * time.Second, ProposalTimeout: 10 * time.Second, InlineLimit: inlineLimit}
	return NewReplica(x, s, voters, stored), NewReplica(y, s, voters, nil)
}

// A peer without support for detached bodies receives complete values. A peer with it receives the digest, requests the body once, however
// often the digest arrives, and requests it again from the same peer only after bodyRetryAfter.
func TestLargeBodyIsRequestedFromOnePeerAtATime(t *testing.T) {
	now := time.Unix(1, 0)
	large := bytes.Repeat([]byte("x"), 100)
	x := Ballot{Round: 1, Proposer: "a"}
	a, b := newReplicaPair(10, Register{RegisterState: RegisterState{Key: "k", Promised: x, Accepted: x}, Value: Value{Version: Version{Number: 1}, Body: large}})
	fetch := Request{From: b.Self(), Epoch: 1, Type: MsgFetch, Keys: []string{"k"}}
	if old, _ := a.HandleRequest(now, &fetch); !bytes.Equal(old.Registers[0].Value.Body, large) || old.Registers[0].Value.BodyDigest != 0 {
		t.Errorf("a peer without detached bodies received %+v", old.Registers)
	}
	fetch.DetachedBodies = true
	detached, _ := a.HandleRequest(now, &fetch)
	if v := detached.Registers[0].Value; len(v.Body) > 0 || v.BodyDigest != Digest(large) {
		t.Fatalf("a peer with detached bodies received %+v", v)
	}
	bodyRequests := func(at time.Time) (out []Request) {
		for _, req := range b.HandleResponse(at, &detached).Requests {
			if req.Type == MsgFetchBody {
				out = append(out, req)
			}
		}
		return out
	}
	first := bodyRequests(now)
	if len(first) != 1 || first[0].Digest != Digest(large) || len(bodyRequests(now.Add(time.Second))) != 0 {
		t.Fatalf("requests for the body: %v, or another within a second", first)
	}
	if again := bodyRequests(now.Add(bodyRetryAfter)); len(again) != 1 {
		t.Errorf("requests after %v: %v, want 1", bodyRetryAfter, again)
	}
	if b.PeerReconnected(now, "a"); len(bodyRequests(now.Add(bodyRetryAfter))) != 1 {
		t.Error("the body is not requested at once after a reconnect")
	}
	bodyResponse, _ := a.HandleRequest(now, &first[0])
	b.HandleResponse(now, &bodyResponse)
	b.HandleResponse(now, &detached)
	if got := b.Acceptor().Get("k"); !bytes.Equal(got.Value.Body, large) || got.Value.BodyDigest != 0 || got.Accepted != x {
		t.Errorf("stored register %+v", got)
	}
}

// Requests for superseded bodies, which never arrive, do not block requests for others, however many there are.
func TestMissingBodiesBlockNothing(t *testing.T) {
	now := time.Unix(1, 0)
	_, b := newReplicaPair(10)
	for n := range uint64(10 * maxWantedBodies) {
		now = now.Add(bodyOtherPeerAfter)
		resp := Response{From: Member{DiskID: "a", Addr: "a"}, Epoch: 1, DetachedBodies: true, Registers: []Register{{
			RegisterState: RegisterState{Key: "k", Accepted: Ballot{Round: n + 1, Proposer: "a"}}, Value: Value{BodyDigest: n + 1},
		}}}
		if out := b.HandleResponse(now, &resp); len(out.Requests) != 1 || out.Requests[0].Type != MsgFetchBody || out.Requests[0].Digest != n+1 {
			t.Fatalf("body %d: requests %+v", n, out.Requests)
		}
	}
	if len(b.bodies.wanted) > maxWantedBodies {
		t.Errorf("%d bodies are requested at once, more than %d", len(b.bodies.wanted), maxWantedBodies)
	}
}
