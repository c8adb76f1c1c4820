package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func ring(n, zones int) *Ring {
	r := &Ring{}
	for i := range n {
		r.Add(fmt.Sprint("box-", i), i%zones)
	}
	return r
}

// countSelections returns for each server the number of replicas that select it, and the sizes of their subsets.
func countSelections(r *Ring, s Spec, alive func(rank int) bool) (count map[string]int, sizes []int) {
	count = map[string]int{}
	for rank := range s.Replicas {
		if !alive(rank) {
			continue
		}
		s.Rank = rank
		if s.Zones > 1 {
			s.Zone = rank % s.Zones
		}
		selected := r.Select(s)
		sizes = append(sizes, len(selected))
		for id := range selected {
			count[id]++
		}
	}
	return count, sizes
}

func allAlive(int) bool { return true }

// With random sizes, each server is selected by the same number of replicas, plus or minus one and at least one, and each replica selects
// at least Size servers and few more than coverage requires.
func TestCoverageAndBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, replicas := rapid.IntRange(1, 400).Draw(t, "servers"), rapid.IntRange(1, 40).Draw(t, "replicas")
		s := Spec{Replicas: replicas, Size: rapid.IntRange(1, 60).Draw(t, "size"), SpareReplicas: rapid.IntRange(0, 2).Draw(t, "spare")}
		r := ring(n, 1)
		count, sizes := countSelections(r, s, allAlive)
		if len(count) != n {
			t.Fatalf("%d of %d servers are covered", len(count), n)
		}
		values := slices.Collect(maps.Values(count))
		if highest, lowest := slices.Max(values), slices.Min(values); highest-lowest > 1 {
			t.Fatalf("servers are selected by %d to %d replicas", lowest, highest)
		}
		for _, size := range sizes {
			need := max(s.Size, ((1+s.SpareReplicas)*n+replicas-1)/replicas)
			if size < min(s.Size, n) || size > min(need+1, n) {
				t.Fatalf("a replica has %d servers, needs %d", size, need)
			}
		}
	})
}

// Each server stays selected while SpareReplicas adjacent replicas are lost and the others have not detected it.
func TestLostReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, replicas, spare := rapid.IntRange(1, 400).Draw(t, "servers"), rapid.IntRange(4, 40).Draw(t, "replicas"), rapid.IntRange(1, 3).Draw(t, "spare")
		firstLost := rapid.IntRange(0, replicas-1).Draw(t, "first")
		count, _ := countSelections(ring(n, 1), Spec{Replicas: replicas, Size: 1, SpareReplicas: spare}, func(rank int) bool { return (rank-firstLost+replicas)%replicas >= spare })
		if len(count) != n {
			t.Fatalf("%d of %d servers are covered with %d of %d replicas lost", len(count), n, spare, replicas)
		}
	})
}

// Removing one server changes at most three others in the subset of any replica, and adding it again restores the subset.
func TestSmallChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, replicas := rapid.IntRange(2, 300).Draw(t, "servers"), rapid.IntRange(1, 40).Draw(t, "replicas")
		s := Spec{Replicas: replicas, Size: rapid.IntRange(1, 60).Draw(t, "size")}
		for rank := range replicas {
			s.Rank = rank
			r := ring(n, 1)
			before := r.Select(s)
			id := fmt.Sprint("box-", rapid.IntRange(0, n-1).Draw(t, "gone"))
			r.Remove(id)
			after := r.Select(s)
			moved := 0
			for k := range after {
				if !before[k] {
					moved++
				}
			}
			for k := range before {
				if !after[k] && k != id {
					moved++
				}
			}
			if moved > 3 {
				t.Fatalf("%d other servers change with one of %d", moved, n)
			}
			r.Add(id, 0)
			if !maps.Equal(r.Select(s), before) {
				t.Fatal("the subset differs after the server was added again")
			}
		}
	})
}

// A selection does not depend on the order in which servers were added.
func TestOrderDoesNotMatter(t *testing.T) {
	a, b := &Ring{}, &Ring{}
	for i := range 200 {
		a.Add(fmt.Sprint(i), i%3)
		b.Add(fmt.Sprint(199-i), 0)
	}
	for i := range 200 {
		b.Add(fmt.Sprint(i), i%3) // moves it to its zone
		b.Add(fmt.Sprint("x", i), 1)
	}
	for i := range 200 {
		b.Remove(fmt.Sprint("x", i))
		b.Remove("never there")
	}
	s := Spec{Replicas: 7, Rank: 3, Zones: 3, Size: 20}
	if !maps.Equal(a.Select(s), b.Select(s)) || a.Len() != b.Len() {
		t.Error("the selections differ by order")
	}
}

// Most of a subset is of the replica's own zone, and each server is selected by a replica of its zone. If the zone has no or too few
// servers, servers of other zones are selected.
func TestZones(t *testing.T) {
	r := ring(300, 3)
	count := map[string]int{}
	for rank := range 12 {
		s := Spec{Replicas: 12, Rank: rank, Zones: 3, Zone: rank % 3, Size: 40}
		selected, own := r.Select(s), 0
		for id := range selected {
			if r.zoneOf[id] == s.Zone {
				own++
				count[id]++
			}
		}
		if own < 35 || len(selected)-own < 4 || len(selected) > 42 {
			t.Errorf("replica %d: %d of its zone of %d", rank, own, len(selected))
		}
	}
	if len(count) != 300 {
		t.Errorf("%d servers are covered by replicas of their zone", len(count))
	}
	for i := range 300 {
		if i%3 == 1 {
			r.Remove(fmt.Sprint("box-", i))
		}
	}
	if got := r.Select(Spec{Replicas: 12, Rank: 4, Zones: 3, Zone: 1, Size: 40}); len(got) < 40 {
		t.Errorf("%d servers without any of the own zone", len(got))
	}
	r.Add("last", 1)
	if got := r.Select(Spec{Replicas: 12, Rank: 4, Zones: 3, Zone: 1, Size: 40}); len(got) < 40 || !got["last"] {
		t.Errorf("%d servers with one of the own zone", len(got))
	}
}

// A subset with too few usable servers grows within seconds and shrinks slowly. One that is neither good nor bad does not oscillate.
func TestSizer(t *testing.T) {
	k := &Sizer{Spec: Spec{Replicas: 10, Size: 8}}
	now := time.Date(2026, 11, 1, 0, 0, 0, 0, time.UTC)
	r := ring(200, 1)
	size := func() int { return len(r.Select(k.Current(200))) }
	first := size()
	for n := range 40 {
		now = now.Add(100 * time.Millisecond)
		k.Update(now, size(), 200, 3)
		if n == 0 && size() <= first {
			t.Fatal("the subset does not grow at once")
		}
	}
	if got := size(); got < 100 {
		t.Fatalf("%d servers after 4 s with 3 usable ones", got)
	}
	grown := size()
	for range 290 {
		now = now.Add(100 * time.Millisecond)
		if k.Update(now, size(), 200, size()) {
			t.Fatal("the subset shrinks before shrinkAfter")
		}
	}
	for n := range 3000 {
		now = now.Add(100 * time.Millisecond)
		usable := size()
		if n%100 == 0 {
			usable = usable * 8 / 10 // neither good nor bad: shrinkAfter starts again
		}
		k.Update(now, size(), 200, usable)
	}
	if size() != grown {
		t.Errorf("the subset shrinks without being usable for long: %d of %d", size(), grown)
	}
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		k.Update(now, size(), 200, size())
	}
	if size() != first {
		t.Errorf("%d servers in the end, %d at first", size(), first)
	}
	if k.Update(now.Add(time.Hour), 200, 200, 0) {
		t.Error("the subset grows beyond all servers")
	}
}

func BenchmarkAddAndSelect(b *testing.B) {
	for _, n := range []int{400, 4000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := ring(n, 1)
			s := Spec{Replicas: n / 20, Rank: 3, Size: 60}
			b.ReportAllocs()
			for b.Loop() {
				r.Add("new", 0)
				r.Select(s)
				r.Remove("new")
			}
		})
	}
}
