package tide

import (
	"testing"
	"time"
)

// TestSightOfNextSet: a look that shows the next set to be chosen ends there: nothing more is taken from it.
func TestSightOfNextSet(t *testing.T) {
	now := time.Unix(1, 0)
	member := func(s string) Member { return Member{Disk: s, Addr: s} }
	old := Set{Epoch: 1, Members: []Member{member("a"), member("b"), member("c")}}
	next := old
	next.Epoch, next.Holder, next.Next = 2, "b", []Member{member("a"), member("b"), member("d")}
	at := Ballot{3, "b"}
	held := []Register{{Head{SetKey, at, at}, Value{Stamp: Stamp{Number: 2}, Set: &next}}, {Head{"k", at, at}, Value{Body: []byte("x")}}}
	r := NewReplica(member("a"), Settings{Lease: time.Second, Order: time.Second}, old, held)
	out := r.Tick(now)
	var id uint64
	for _, a := range out.Asks {
		if a.Query == Look {
			id = a.ID
		}
	}
	out = r.Told(now, &Tell{ID: id, From: member("b"), Epoch: 1, Same: true})
	if set := r.Set(); set.Epoch != 2 || out.Set == nil || r.Lease(now) != 0 {
		t.Errorf("epoch %d, kept %v, lease %v", set.Epoch, out.Set, r.Lease(now))
	}
}

// TestPromiseInTheWay: a disk that was cut off, or heard only of the beginning of an order, has promised more than what the others chose.
// It decides that anew soon after it hears of it, whatever its place in the set.
func TestPromiseInTheWay(t *testing.T) {
	now := time.Unix(1, 0)
	set := Set{Epoch: 1}
	for _, disk := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		set.Members = append(set.Members, Member{Disk: disk, Addr: disk})
	}
	old, own := Ballot{1, "a"}, Ballot{9, "b"}
	r := NewReplica(set.Members[6], Settings{Lease: time.Second, Order: time.Second}, set, []Register{{Head: Head{"k", own, Ballot{}}}})
	var first time.Time
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		for _, a := range r.Tick(now).Asks {
			switch {
			case a.Query == Look:
				r.Told(now, &Tell{ID: a.ID, From: Member{Disk: a.To, Addr: a.To}, Epoch: 1, Heads: []Head{{"k", old, old}}})
				if first.IsZero() {
					first = now
				}
			case a.Query == Prepare && a.Ballot.Compare(own) > 0:
				if took := now.Sub(first); took > stuckFor+400*time.Millisecond {
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
func TestReadingAfterPromises(t *testing.T) {
	now := time.Unix(1, 0)
	set := Set{Epoch: 1}
	for _, disk := range []string{"a", "b", "c"} {
		set.Members = append(set.Members, Member{Disk: disk, Addr: disk})
	}
	r := NewReplica(set.Members[0], Settings{Lease: time.Second, Order: time.Second}, set, nil)
	out := r.Order(now, 1, Change{Kind: Swap, Key: "k", Stamp: Stamp{Number: 3}, By: "a"}) // of what nothing was chosen for: a conflict
	var id uint64
	for _, a := range out.Asks {
		if a.Query == Prepare {
			id = a.ID
		}
	}
	r.Order(now, 2, Change{Kind: Read, Key: "k"})
	out = r.Told(now, &Tell{ID: id, From: set.Members[1], Epoch: 1, Granted: true, Head: Head{"k", Ballot{1, "a"}, Ballot{}}})
	for _, x := range out.Results {
		if x.Order == 2 {
			t.Errorf("the reading is answered: %+v", x)
		}
	}
	for _, a := range out.Asks {
		if a.Query == Collect {
			return
		}
	}
	t.Errorf("nobody is asked for the reading: %+v", out)
}
