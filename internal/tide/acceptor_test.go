package tide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// accepted draws what proposers had accepted for a few keys: one value for each ballot.
func accepted(t *rapid.T) []Register {
	out := make([]Register, rapid.IntRange(1, 30).Draw(t, "words"))
	for i := range out {
		key := fmt.Sprint("key", rapid.IntRange(0, 4).Draw(t, "key"))
		at := Ballot{uint64(rapid.IntRange(1, 6).Draw(t, "round")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "disk")}
		out[i] = Register{Head{key, at, at}, Value{Body: []byte(fmt.Sprint(key, at))}}
	}
	return out
}

// Two disks that hear the same in any order, any number of times, hold the same, and never go back on the way.
func TestDisksAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := accepted(t)
		a, b := NewAcceptor(nil), NewAcceptor(nil)
		for _, x := range heard {
			before := a.Get(x.Key)
			a.Accept(x.Key, x.Accepted, x.Value)
			after := a.Get(x.Key)
			if after.Accepted.Compare(before.Accepted) < 0 || after.Promised.Compare(before.Promised) < 0 {
				t.Fatalf("%s went back from %v to %v", x.Key, before.Head, after.Head)
			}
			if string(after.Value.Body) != fmt.Sprint(x.Key, after.Accepted) {
				t.Fatalf("at %v it holds %q", after.Accepted, after.Value.Body)
			}
		}
		for _, x := range rapid.Permutation(heard).Draw(t, "order") {
			b.Accept(x.Key, x.Accepted, x.Value)
			b.Accept(x.Key, x.Accepted, x.Value)
		}
		if !slices.Equal(a.Heads(), b.Heads()) || digest(a.Heads()) != digest(b.Heads()) {
			t.Fatalf("%v and %v", a.Heads(), b.Heads())
		}
	})
}

// What two disks hold apart is found by a look, and one look each way makes them one.
func TestDisksAreMendedFromTheNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		set := Set{Epoch: 1, Members: []Member{{Disk: "a", Addr: "a"}, {Disk: "b", Addr: "b"}}}
		pair := map[string]*Replica{}
		for _, m := range set.Members {
			disk := NewAcceptor(nil)
			for _, x := range accepted(t) {
				disk.Accept(x.Key, x.Accepted, x.Value)
			}
			pair[m.Disk] = NewReplica(m, Settings{Lease: time.Minute, Order: time.Second}, set, disk.All())
		}
		var carry func(by *Replica, out Out)
		carry = func(by *Replica, out Out) {
			for _, a := range out.Asks {
				tell, more := pair[a.To].Answer(now, &a)
				carry(pair[a.To], more)
				carry(by, by.Told(now, &tell))
			}
		}
		for _, disk := range []string{"a", "b"} {
			carry(pair[disk], pair[disk].Tick(now))
		}
		if a, b := pair["a"].Acceptor().Heads(), pair["b"].Acceptor().Heads(); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

// Whatever is asked under an older epoch, or under a newer one whose set is not told, changes nothing and counts for nothing.
func TestAnotherEpochIsRefused(t *testing.T) {
	now := time.Unix(1, 0)
	set := Set{Epoch: 5, Members: []Member{{Disk: "a", Addr: "a"}, {Disk: "b", Addr: "b"}, {Disk: "c", Addr: "c"}}}
	at := Ballot{3, "b"}
	held := []Register{{Head{"k", at, at}, Value{Body: []byte("x")}}}
	for _, q := range []Query{Look, Collect, Prepare, Accept, Chosen, Fetch} {
		for _, epoch := range []uint64{4, 6} {
			r := NewReplica(set.Members[0], Settings{Lease: time.Second, Order: time.Second}, set, held)
			higher := Ballot{9, "b"}
			tell, out := r.Answer(now, &Ask{
				From: set.Members[1], ID: 1, Epoch: epoch, Query: q, Key: "k", Ballot: higher, Value: &Value{Body: []byte("y")},
				Heads: []Head{{"k", at, at}}, Keys: []string{"k"},
			})
			_, known := r.Get("k")
			if !tell.Behind || tell.Granted || tell.Value != nil || len(tell.Register) > 0 || len(tell.Heads) > 0 || (tell.Set != nil) != (epoch < 5) {
				t.Errorf("query %d of epoch %d is told %+v", q, epoch, tell)
			}
			if len(out.Keep) > 0 || out.Set != nil || known || r.Acceptor().Get("k").Head != held[0].Head {
				t.Errorf("query %d of epoch %d changed %+v", q, epoch, out)
			}
		}
	}
}
