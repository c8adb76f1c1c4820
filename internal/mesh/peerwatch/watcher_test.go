package peerwatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func fleet(n int) []Node {
	var out []Node
	for i := range n {
		out = append(out, Node{fmt.Sprint("p", i), fmt.Sprint("z", i%4)})
	}
	return out
}

// One that goes changes only the places that it had, and nobody is watched by nobody in a fleet of some size.
func TestSelectPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(2, 40).Draw(t, "size"))
		gone := all[rapid.IntRange(0, len(all)-1).Draw(t, "gone")]
		left := slices.DeleteFunc(slices.Clone(all), func(n Node) bool { return n == gone })
		for _, me := range left {
			before, after := SelectPeers(me, all, 3), SelectPeers(me, left, 3)
			if slices.Contains(before, me.Name) || len(before) != min(3, len(all)-1) {
				t.Fatalf("%s watches %v", me.Name, before)
			}
			if !slices.Contains(before, gone.Name) && !slices.Equal(before, after) {
				t.Fatalf("%s watched %v and now %v, though only %s went", me.Name, before, after, gone.Name)
			}
		}
	})
	all := fleet(40)
	by := map[string]int{}
	for _, me := range all {
		far := false
		for _, name := range SelectPeers(me, all, 3) {
			by[name]++
			far = far || all[slices.IndexFunc(all, func(n Node) bool { return n.Name == name })].Zone != me.Zone
		}
		if !far {
			t.Errorf("%s watches nobody in another zone", me.Name)
		}
	}
	if len(by) < 34 { // 40 * (1 - e^-3) is 38
		t.Errorf("only %d of 40 are watched", len(by))
	}
}

func TestNewlySilentOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWatcher(time.Second)
	if come, gone := w.SetPeers(now, []string{"a", "b"}); len(come) != 2 || len(gone) != 0 {
		t.Fatal(come, gone)
	}
	now = now.Add(900 * time.Millisecond)
	w.HeardFrom(now, "a")
	now = now.Add(200 * time.Millisecond)
	if got := w.NewlySilent(now); !slices.Equal(got, []string{"b"}) || !w.IsHealthy("a") || w.IsHealthy("b") {
		t.Fatalf("quiet: %v", got)
	}
	if got := w.NewlySilent(now); len(got) > 0 {
		t.Fatalf("quiet again: %v", got)
	}
	w.HeardFrom(now, "b")
	if !w.IsHealthy("b") {
		t.Fatal("one that answers again is not fresh")
	}
	if come, gone := w.SetPeers(now, []string{"b", "c"}); !slices.Equal(come, []string{"c"}) || !slices.Equal(gone, []string{"a"}) {
		t.Fatal(come, gone)
	}
}
