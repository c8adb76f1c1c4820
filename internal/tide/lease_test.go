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
