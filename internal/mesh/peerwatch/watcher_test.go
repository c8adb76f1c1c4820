package peerwatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// nodes returns n nodes in four zones.
func nodes(n int) []Node {
	var out []Node
	for i := range n {
		out = append(out, Node{fmt.Sprint("p", i), fmt.Sprint("z", i%4)})
	}
	return out
}

// A node that leaves changes only the sets that contained it. In a large mesh, almost every node is watched, and every node watches one in
// another zone.
func TestSelectPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nodes(rapid.IntRange(2, 40).Draw(t, "size"))
		removed := all[rapid.IntRange(0, len(all)-1).Draw(t, "removed")]
		remaining := slices.DeleteFunc(slices.Clone(all), func(n Node) bool { return n == removed })
		for _, self := range remaining {
			before, after := SelectPeers(self, all, 3), SelectPeers(self, remaining, 3)
			if slices.Contains(before, self.Name) || len(before) != min(3, len(all)-1) {
				t.Fatalf("%s watches %v", self.Name, before)
			}
			if !slices.Contains(before, removed.Name) && !slices.Equal(before, after) {
				t.Fatalf("%s watched %v and now %v, but only %s left", self.Name, before, after, removed.Name)
			}
		}
	})
	all := nodes(40)
	watchers := map[string]int{} // by watched node
	for _, self := range all {
		otherZone := false
		for _, name := range SelectPeers(self, all, 3) {
			watchers[name]++
			otherZone = otherZone || all[slices.IndexFunc(all, func(n Node) bool { return n.Name == name })].Zone != self.Zone
		}
		if !otherZone {
			t.Errorf("%s watches no node in another zone", self.Name)
		}
	}
	if len(watchers) < 34 { // 40 * (1 - e^-3) is 38
		t.Errorf("only %d of 40 nodes are watched", len(watchers))
	}
}

func TestNewlySilentOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWatcher(time.Second)
	if added, removed := w.SetPeers(now, []string{"a", "b"}); len(added) != 2 || len(removed) != 0 {
		t.Fatal(added, removed)
	}
	now = now.Add(900 * time.Millisecond)
	w.RecordResponse(now, "a")
	now = now.Add(200 * time.Millisecond)
	if got := w.NewlySilent(now); !slices.Equal(got, []string{"b"}) || !w.IsHealthy("a") || w.IsHealthy("b") {
		t.Fatalf("newly silent peers %v, want b", got)
	}
	if got := w.NewlySilent(now); len(got) > 0 {
		t.Fatalf("newly silent a second time: %v", got)
	}
	w.RecordResponse(now, "b")
	if !w.IsHealthy("b") {
		t.Fatal("a peer that responds again is not healthy")
	}
	if added, removed := w.SetPeers(now, []string{"b", "c"}); !slices.Equal(added, []string{"c"}) || !slices.Equal(removed, []string{"a"}) {
		t.Fatal(added, removed)
	}
}
