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

// cover counts the copies that chose each server.
func cover(r *Ring, s Spec, alive func(rank int) bool) (count map[string]int, sizes []int) {
	count = map[string]int{}
	for rank := range s.Replicas {
		if !alive(rank) {
			continue
		}
		s.Rank = rank
		if s.Zones > 1 {
			s.Zone = rank % s.Zones
		}
		chosen := r.Select(s)
		sizes = append(sizes, len(chosen))
		for id := range chosen {
			count[id]++
		}
	}
	return count, sizes
}

func all(int) bool { return true }

// Whatever the sizes: no server is left to nobody, all are chosen by as many copies as any other, give or take one, and no copy has
// fewer than it asked for, nor many more than it takes.
func TestCoverageAndBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, copies := rapid.IntRange(1, 400).Draw(t, "servers"), rapid.IntRange(1, 40).Draw(t, "copies")
		s := Spec{Replicas: copies, Size: rapid.IntRange(1, 60).Draw(t, "size"), SpareReplicas: rapid.IntRange(0, 2).Draw(t, "spare")}
		r := ring(n, 1)
		count, sizes := cover(r, s, all)
		if len(count) != n {
			t.Fatalf("%d of %d servers are covered", len(count), n)
		}
		values := slices.Collect(maps.Values(count))
		if most, least := slices.Max(values), slices.Min(values); most-least > 1 {
			t.Fatalf("servers are chosen by %d to %d copies", least, most)
		}
		for _, size := range sizes {
			need := max(s.Size, ((1+s.SpareReplicas)*n+copies-1)/copies)
			if size < min(s.Size, n) || size > min(need+1, n) {
				t.Fatalf("a copy has %d servers, needs %d", size, need)
			}
		}
	})
}

// With so many neighbours gone that nobody knows of, no server is left to nobody.
func TestCopiesThatLeave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, copies, spare := rapid.IntRange(1, 400).Draw(t, "servers"), rapid.IntRange(4, 40).Draw(t, "copies"), rapid.IntRange(1, 3).Draw(t, "spare")
		gone := rapid.IntRange(0, copies-1).Draw(t, "first")
		count, _ := cover(ring(n, 1), Spec{Replicas: copies, Size: 1, SpareReplicas: spare}, func(rank int) bool { return (rank-gone+copies)%copies >= spare })
		if len(count) != n {
			t.Fatalf("%d of %d servers are covered with %d of %d copies gone", len(count), n, spare, copies)
		}
	})
}

// One server that comes or goes moves no more than two others in the subset of any copy.
func TestSmallChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, copies := rapid.IntRange(2, 300).Draw(t, "servers"), rapid.IntRange(1, 40).Draw(t, "copies")
		s := Spec{Replicas: copies, Size: rapid.IntRange(1, 60).Draw(t, "size")}
		for rank := range copies {
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
				t.Fatalf("%d others move with one of %d", moved, n)
			}
			r.Add(id, 0)
			if !maps.Equal(r.Select(s), before) {
				t.Fatal("it is not as before once the server is back")
			}
		}
	})
}

// A ring does not depend on the order in which it heard of servers.
func TestOrderDoesNotCount(t *testing.T) {
	a, b := &Ring{}, &Ring{}
	for i := range 200 {
		a.Add(fmt.Sprint(i), i%3)
		b.Add(fmt.Sprint(199-i), 0)
	}
	for i := range 200 {
		b.Add(fmt.Sprint(i), i%3) // into its zone
		b.Add(fmt.Sprint("x", i), 1)
	}
	for i := range 200 {
		b.Remove(fmt.Sprint("x", i))
		b.Remove("never there")
	}
	s := Spec{Replicas: 7, Rank: 3, Zones: 3, Size: 20}
	if !maps.Equal(a.Select(s), b.Select(s)) || a.Len() != b.Len() {
		t.Error("the order counts")
	}
}

// Most of a subset is of the copy's own zone, each server is covered by a copy of its zone, and a zone that is gone, or too small,
// leaves the copy servers of others.
func TestZones(t *testing.T) {
	r := ring(300, 3)
	count := map[string]int{}
	for rank := range 12 {
		s := Spec{Replicas: 12, Rank: rank, Zones: 3, Zone: rank % 3, Size: 40}
		chosen, own := r.Select(s), 0
		for id := range chosen {
			if r.zoneOf[id] == s.Zone {
				own++
				count[id]++
			}
		}
		if own < 35 || len(chosen)-own < 4 || len(chosen) > 42 {
			t.Errorf("copy %d: %d of its zone of %d", rank, own, len(chosen))
		}
	}
	if len(count) != 300 {
		t.Errorf("%d servers are covered by copies of their zone", len(count))
	}
	for i := range 300 {
		if i%3 == 1 {
			r.Remove(fmt.Sprint("box-", i))
		}
	}
	if got := r.Select(Spec{Replicas: 12, Rank: 4, Zones: 3, Zone: 1, Size: 40}); len(got) < 40 {
		t.Errorf("%d servers with the own zone gone", len(got))
	}
	r.Add("last", 1)
	if got := r.Select(Spec{Replicas: 12, Rank: 4, Zones: 3, Zone: 1, Size: 40}); len(got) < 40 || !got["last"] {
		t.Errorf("%d servers with one of the own zone", len(got))
	}
}

// A subset all of whose servers die grows to others within seconds, and comes back slowly; one that is at its edge does not swing.
func TestKeeper(t *testing.T) {
	k := &Sizer{Spec: Spec{Replicas: 10, Size: 8}}
	now := time.Date(2026, 11, 1, 0, 0, 0, 0, time.UTC)
	r := ring(200, 1)
	size := func() int { return len(r.Select(k.Current(200))) }
	first := size()
	for n := range 40 {
		now = now.Add(100 * time.Millisecond)
		k.Update(now, size(), 200, 3)
		if n == 0 && size() <= first {
			t.Fatal("it does not grow at once")
		}
	}
	if got := size(); got < 100 {
		t.Fatalf("%d servers after 4 s with 3 that are usable", got)
	}
	grown := size()
	for range 290 {
		now = now.Add(100 * time.Millisecond)
		if k.Update(now, size(), 200, size()) {
			t.Fatal("it shrinks before its time")
		}
	}
	for n := range 3000 {
		now = now.Add(100 * time.Millisecond)
		usable := size()
		if n%100 == 0 {
			usable = usable * 8 / 10 // neither bad nor good: the time begins anew
		}
		k.Update(now, size(), 200, usable)
	}
	if size() != grown {
		t.Errorf("it shrinks while it is not good for long: %d of %d", size(), grown)
	}
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		k.Update(now, size(), 200, size())
	}
	if size() != first {
		t.Errorf("%d servers in the end, %d at first", size(), first)
	}
	if k.Update(now.Add(time.Hour), 200, 200, 0) {
		t.Error("it grows beyond all servers")
	}
}

func BenchmarkAddAndChoose(b *testing.B) {
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
