package consensus

import (
	"bytes"
	"testing"
	"time"
)

// pair are two replicas of a set of two; the second holds nothing.
func pair(along int, held ...Register) (a, b *Replica) {
	x, y := Member{DiskID: "a", Addr: "a", InQuorum: true}, Member{DiskID: "b", Addr: "b", InQuorum: true}
	set := VoterConfig{Epoch: 1, Voters: []Member{x, y}}
	s := Settings{Lease: 2 * time.Second, ProposalTimeout: 10 * time.Second, InlineLimit: along}
	return NewReplica(x, s, set, held), NewReplica(y, s, set, nil)
}

// A program of before takes no large body apart: it is told, and asked about, whole values. One that does is told the digest, wants the
// body once, however often it is told of it, and again of the same peer after a while only.
func TestLargeBodyIsRequestedFromOnePeerAtATime(t *testing.T) {
	now := time.Unix(1, 0)
	large := bytes.Repeat([]byte("x"), 100)
	x := Ballot{Round: 1, Proposer: "a"}
	a, b := pair(10, Register{RegisterState: RegisterState{Key: "k", Promised: x, Accepted: x}, Value: Value{Version: Version{Number: 1}, Body: large}})
	fetch := Request{From: b.Self(), Epoch: 1, Type: MsgFetch, Keys: []string{"k"}}
	if old, _ := a.HandleRequest(now, &fetch); !bytes.Equal(old.Registers[0].Value.Body, large) || old.Registers[0].Value.BodyDigest != 0 {
		t.Errorf("a program of before is told %+v", old.Registers)
	}
	fetch.DetachedBodies = true
	told, _ := a.HandleRequest(now, &fetch)
	if v := told.Registers[0].Value; len(v.Body) > 0 || v.BodyDigest != Digest(large) {
		t.Fatalf("told %+v", v)
	}
	wants := func(at time.Time) (out []Request) {
		for _, k := range b.HandleResponse(at, &told).Requests {
			if k.Type == MsgFetchBody {
				out = append(out, k)
			}
		}
		return out
	}
	first := wants(now)
	if len(first) != 1 || first[0].Digest != Digest(large) || len(wants(now.Add(time.Second))) != 0 {
		t.Fatalf("it is wanted %v", first)
	}
	if again := wants(now.Add(bodyRetryAfter)); len(again) != 1 {
		t.Errorf("not wanted again: %v", again)
	}
	if b.PeerReconnected(now, "a"); len(wants(now.Add(bodyRetryAfter))) != 1 {
		t.Error("not wanted at once of one that was reached anew")
	}
	given, _ := a.HandleRequest(now, &first[0])
	b.HandleResponse(now, &given)
	b.HandleResponse(now, &told)
	if got := b.Acceptor().Get("k"); !bytes.Equal(got.Value.Body, large) || got.Value.BodyDigest != 0 || got.Accepted != x {
		t.Errorf("held: %+v", got)
	}
}

// Bodies that were wanted and never come, as they were overtaken, keep nobody from wanting others, however many there were.
func TestMissingBodiesBlockNothing(t *testing.T) {
	now := time.Unix(1, 0)
	_, b := pair(10)
	for n := range uint64(10 * maxWantedBodies) {
		now = now.Add(bodyOtherPeerAfter)
		told := Response{From: Member{DiskID: "a", Addr: "a"}, Epoch: 1, DetachedBodies: true, Registers: []Register{{
			RegisterState: RegisterState{Key: "k", Accepted: Ballot{Round: n + 1, Proposer: "a"}}, Value: Value{BodyDigest: n + 1},
		}}}
		if out := b.HandleResponse(now, &told); len(out.Requests) != 1 || out.Requests[0].Type != MsgFetchBody || out.Requests[0].Digest != n+1 {
			t.Fatalf("body %d: asked %+v", n, out.Requests)
		}
	}
	if len(b.bodies.wanted) > maxWantedBodies {
		t.Errorf("%d are wanted", len(b.bodies.wanted))
	}
}
