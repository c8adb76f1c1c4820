package tide

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// versions draws entries of a few keys, each stamp with one content.
func versions(t *rapid.T) []Entry {
	n := rapid.IntRange(1, 30).Draw(t, "entries")
	out := make([]Entry, n)
	for i := range out {
		key := fmt.Sprint("key", rapid.IntRange(0, 4).Draw(t, "key"))
		stamp := Stamp{uint64(rapid.IntRange(1, 6).Draw(t, "number")), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "by")}
		out[i] = Entry{key, stamp, []byte(fmt.Sprint(key, stamp))}
	}
	return out
}

// Two copies that hear the same in any order, any number of times, hold the same, and never go back on the way.
func TestCopiesAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heard := versions(t)
		a, b := NewCopy(nil), NewCopy(nil)
		for _, e := range heard {
			before, had := a.Get(e.Key)
			a.Put(e)
			if after, _ := a.Get(e.Key); had && after.Stamp.Compare(before.Stamp) < 0 {
				t.Fatalf("%s went back from %v to %v", e.Key, before.Stamp, after.Stamp)
			}
		}
		for _, i := range rapid.Permutation(indexes(len(heard))).Draw(t, "order") {
			b.Put(heard[i])
			b.Put(heard[i])
		}
		if a.Digests() != b.Digests() || a.Digest() != b.Digest() {
			t.Fatalf("digests differ: %v and %v", a.All(), b.All())
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// What two copies hold apart is found by their digests, and mending both ways makes them one.
func TestCopiesAreMendedFromTheNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewCopy(nil), NewCopy(nil)
		for _, e := range versions(t) {
			a.Put(e)
		}
		for _, e := range versions(t) {
			b.Put(e)
		}
		ranges := Differing(a.Digests(), b.Digests())
		forA, forB := b.Within(ranges), a.Within(ranges)
		for _, e := range forA {
			a.Put(e)
		}
		for _, e := range forB {
			b.Put(e)
		}
		if left := Differing(a.Digests(), b.Digests()); len(left) > 0 {
			t.Fatalf("ranges %v still differ", left)
		}
	})
}

// The first of two contents under one stamp stays.
func TestOneStampHasOneContent(t *testing.T) {
	c := NewCopy([]Entry{{"config", Stamp{Number: 3}, []byte("first")}})
	c.Put(Entry{"config", Stamp{Number: 3}, []byte("second")})
	if e, _ := c.Get("config"); string(e.Body) != "first" {
		t.Fatalf("held %q", e.Body)
	}
}

// Each majority of a set and each of the one that follows it share a disk, which is what every step relies on.
func TestMajoritiesOfSetsThatFollowShareADisk(t *testing.T) {
	for n := 1; n <= 7; n++ {
		old := &Set{Number: 1}
		for i := range n {
			old.Members = append(old.Members, Member{Disk: fmt.Sprint(i)})
		}
		more := &Set{Number: 2, Members: append(append([]Member{}, old.Members...), Member{Disk: "new"})}
		nexts := []*Set{more}
		if n > 1 {
			nexts = append(nexts, &Set{Number: 2, Members: old.Members[1:]})
		}
		for _, next := range nexts {
			if !old.Step(next) {
				t.Fatalf("%d to %d disks is no step", n, len(next.Members))
			}
			all := len(more.Members)
			for a := range 1 << all {
				left, right := map[string]bool{}, map[string]bool{}
				for i, m := range more.Members {
					if a>>i&1 == 1 {
						left[m.Disk] = true
					} else {
						right[m.Disk] = true // the rest: no disk is in both
					}
				}
				if old.Reached(left) && next.Reached(right) {
					t.Fatalf("%v is a majority of %d disks and %v one of the next %d", left, n, right, len(next.Members))
				}
			}
		}
		two := &Set{Number: 2, Members: append(append([]Member{}, more.Members...), Member{Disk: "newer"})}
		if old.Step(two) || old.Step(&Set{Number: 3, Members: more.Members}) || old.Step(&Set{Number: 2}) {
			t.Fatal("a step of two disks, a skipped number or an empty set passes")
		}
	}
}
