package affinity

import (
	"fmt"
	"math"
	"net/http"
	"testing"

	"pgregory.net/rapid"
)

func nodes(t *rapid.T) []Node {
	out := make([]Node, rapid.IntRange(2, 12).Draw(t, "nodes"))
	for i := range out {
		out[i] = Node{fmt.Sprint("n", i), rapid.SampledFrom([]int{1, 2, 9}).Draw(t, "weight")}
	}
	return out
}

// One that leaves gives up only its own, and they go where their own order says; one that joins takes only what is to be its.
func TestNodeChangeMovesOnlyItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nodes(t)
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		left := append(append([]Node{}, all[:gone]...), all[gone+1:]...)
		for i := range 300 {
			who := fmt.Sprint("somebody", i)
			before, after := NewTable(all).Rank(who, 2), NewTable(left).Rank(who, 1)
			want := before[0]
			if want == all[gone].Name {
				want = before[1]
			}
			if after[0] != want {
				t.Fatalf("%s moves from %v to %s as %s leaves", who, before, after[0], all[gone].Name)
			}
		}
	})
}

// A node that grows takes more and gives nothing up; nobody else's keys move between others.
func TestWeightChangeMovesOnlyTheDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nodes(t)
		grows := rapid.IntRange(0, len(all)-1).Draw(t, "grows")
		more := append([]Node{}, all...)
		more[grows].Weight++
		for i := range 300 {
			who := fmt.Sprint("somebody", i)
			before, after := NewTable(all).Rank(who, 1)[0], NewTable(more).Rank(who, 1)[0]
			if before != after && after != all[grows].Name {
				t.Fatalf("%s moves from %s to %s as %s grows", who, before, after, all[grows].Name)
			}
		}
	})
}

// Each node is first for its part, by size: within five standard deviations.
func TestSharesFollowWeights(t *testing.T) {
	all := []Node{{"a", 1}, {"b", 2}, {"c", 9}}
	const n = 200000
	table := NewTable(all)
	got := map[string]float64{}
	for i := range n {
		got[table.Rank(fmt.Sprint("key ", i), 1)[0]]++
	}
	for _, node := range all {
		share := float64(node.Weight) / 12
		if off := math.Abs(got[node.Name] - share*n); off > 5*math.Sqrt(n*share*(1-share)) {
			t.Errorf("%s is first for %.4f, want %.4f", node.Name, got[node.Name]/n, share)
		}
	}
}

// Through a busy morning of nodes that come and go, keys move as often as they must and no more.
func TestRankUnderLoad(t *testing.T) {
	view := []Node{{"a", 9}, {"b", 9}, {"c", 4}, {"d", 2}}
	const keys = 5000
	at := make([]string, keys)
	for i := range at {
		at[i] = NewTable(view).Rank(fmt.Sprint("counter ", i), 1)[0]
	}
	moves, must := 0, 0
	for _, step := range []struct {
		come Node
		gone string
	}{{Node{"e", 9}, ""}, {Node{}, "b"}, {Node{"f", 2}, "c"}, {Node{"b2", 9}, ""}, {Node{}, "a"}, {Node{"g", 4}, "d"}} {
		var next []Node
		for _, n := range view {
			if n.Name != step.gone {
				next = append(next, n)
			}
		}
		if step.come.Name != "" {
			next = append(next, step.come)
		}
		for i := range at {
			now := NewTable(next).Rank(fmt.Sprint("counter ", i), 1)[0]
			if now != at[i] {
				moves++
				if at[i] == step.gone || now == step.come.Name {
					must++
				}
				at[i] = now
			}
		}
		view = next
	}
	if moves != must || moves == 0 {
		t.Fatalf("%d moves, %d of them had to be", moves, must)
	}
}

func TestKeySource(t *testing.T) {
	h := http.Header{"X-Counter": {"7"}, "Cookie": {"who=me; other=1"}}
	for text, want := range map[string]string{
		"header:X-Counter": "7", "cookie:who": "me", "path:2": "b", "address": "10.0.0.1", "": "", "header:X-None": "", "path:9": "", "cookie:none": "",
	} {
		k, err := ParseKeySource(text)
		if err != nil {
			t.Fatal(err)
		}
		if who, ok := k.Extract(h, "/a/b/c", "10.0.0.1"); who != want || ok != (want != "") {
			t.Errorf("%q: %q %v", text, who, ok)
		}
	}
	for _, text := range []string{"header", "path:0", "path:x", "name:x", "address:1"} {
		if _, err := ParseKeySource(text); err == nil {
			t.Errorf("%q passes", text)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{4, 40, 400} {
		var all []Node
		for i := range n {
			all = append(all, Node{fmt.Sprint("endpoint-", i), 1 + i%9})
		}
		table := NewTable(all)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				table.Rank("somebody", 3)
			}
		})
	}
}
