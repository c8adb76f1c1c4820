package tide

import (
	"bytes"
	"testing"
	"time"
)

// pair are two replicas of a set of two; the second holds nothing.
func pair(along int, held ...Register) (a, b *Replica) {
	x, y := Member{Disk: "a", Addr: "a", Counts: true}, Member{Disk: "b", Addr: "b", Counts: true}
	set := Set{Epoch: 1, Members: []Member{x, y}}
	s := Settings{Lease: 2 * time.Second, Order: 10 * time.Second, Along: along}
	return NewReplica(x, s, set, held), NewReplica(y, s, set, nil)
}

// A program of before takes no large body apart: it is told, and asked about, whole values. One that does is told the digest, wants the
// body once, however often it is told of it, and again of the same peer after a while only.
func TestALargeBodyIsWantedOnceAtATime(t *testing.T) {
	now := time.Unix(1, 0)
	large := bytes.Repeat([]byte("x"), 100)
	x := Ballot{Round: 1, Disk: "a"}
	a, b := pair(10, Register{Head: Head{Key: "k", Promised: x, Accepted: x}, Value: Value{Stamp: Stamp{Number: 1}, Body: large}})
	fetch := Ask{From: b.Me(), Epoch: 1, Query: Fetch, Keys: []string{"k"}}
	if old, _ := a.Answer(now, &fetch); !bytes.Equal(old.Register[0].Value.Body, large) || old.Register[0].Value.Bare != 0 {
		t.Errorf("a program of before is told %+v", old.Register)
	}
	fetch.Apart = true
	told, _ := a.Answer(now, &fetch)
	if v := told.Register[0].Value; len(v.Body) > 0 || v.Bare != Sum(large) {
		t.Fatalf("told %+v", v)
	}
	wants := func(at time.Time) (out []Ask) {
		for _, k := range b.Told(at, &told).Asks {
			if k.Query == Want {
				out = append(out, k)
			}
		}
		return out
	}
	first := wants(now)
	if len(first) != 1 || first[0].Sum != Sum(large) || len(wants(now.Add(time.Second))) != 0 {
		t.Fatalf("it is wanted %v", first)
	}
	if again := wants(now.Add(wantAgain)); len(again) != 1 {
		t.Errorf("not wanted again: %v", again)
	}
	if b.Renewed(now, "a"); len(wants(now.Add(wantAgain))) != 1 {
		t.Error("not wanted at once of one that was reached anew")
	}
	given, _ := a.Answer(now, &first[0])
	b.Told(now, &given)
	b.Told(now, &told)
	if got := b.Acceptor().Get("k"); !bytes.Equal(got.Value.Body, large) || got.Value.Bare != 0 || got.Accepted != x {
		t.Errorf("held: %+v", got)
	}
}

// Bodies that were wanted and never come, as they were overtaken, keep nobody from wanting others, however many there were.
func TestBodiesThatNeverComeBlockNothing(t *testing.T) {
	now := time.Unix(1, 0)
	_, b := pair(10)
	for n := range uint64(10 * mostPending) {
		now = now.Add(wantOther)
		told := Tell{From: Member{Disk: "a", Addr: "a"}, Epoch: 1, Apart: true, Register: []Register{{
			Head: Head{Key: "k", Accepted: Ballot{Round: n + 1, Disk: "a"}}, Value: Value{Bare: n + 1},
		}}}
		if out := b.Told(now, &told); len(out.Asks) != 1 || out.Asks[0].Query != Want || out.Asks[0].Sum != n+1 {
			t.Fatalf("body %d: asked %+v", n, out.Asks)
		}
	}
	if len(b.bodies.wanted) > mostPending {
		t.Errorf("%d are wanted", len(b.bodies.wanted))
	}
}
