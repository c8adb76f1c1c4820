package helm

import (
	"slices"
	"testing"
	"time"

	"whinknot/internal/tide"
)

// TestSealAtEveryTick: the holder of the duty ends a joint set although it ticks no more often than it looks at the others: what a look
// told is used before the next one begins. What was decided under the old set is decided anew by a majority of the next one first.
func TestSealAtEveryTick(t *testing.T) {
	now := time.Unix(1, 0)
	member := func(disk string) tide.Member { return tide.Member{Disk: disk, Addr: disk, Counts: true} }
	set := tide.Set{
		Epoch: 2, Holder: "a",
		Members: []tide.Member{member("a"), member("b"), member("c")}, Next: []tide.Member{member("a"), member("b"), member("d")},
	}
	x := tide.Ballot{Round: 1, Disk: "b"}
	held := []tide.Register{{Head: tide.Head{Key: "k", Promised: tide.Ballot{Round: 2, Disk: "c"}, Accepted: x}, Value: tide.Value{Body: []byte("v")}}}
	all := map[string]*tide.Replica{}
	for _, disk := range []string{"a", "b", "c", "d"} {
		all[disk] = tide.NewReplica(member(disk), tide.Settings{Lease: 2 * time.Second, Order: time.Second}, set, slices.Clone(held))
	}
	r := all["a"]
	m := New(now, r, 1)
	var carry func(tide.Out)
	carry = func(out tide.Out) {
		for _, a := range out.Asks {
			t, _ := all[a.To].Answer(now, &a)
			carry(r.Told(now, &t))
		}
	}
	for n := 0; n < 10; n++ {
		now = now.Add(300 * time.Millisecond)
		if carry(m.Tick(now)); r.Set().Epoch == 3 {
			if s := r.Set(); s.Joint() || len(s.Members) != 3 || !s.Has("d") {
				t.Fatalf("%+v", s)
			}
			anew := 0
			for _, m := range set.Next {
				if all[m.Disk].Acceptor().Get("k").Accepted.Compare(x) > 0 {
					anew++
				}
			}
			if anew < tide.Majority(set.Next) {
				t.Errorf("what was decided before was decided anew by %d of those that were next", anew)
			}
			return
		}
	}
	t.Fatalf("still %+v", r.Set())
}
