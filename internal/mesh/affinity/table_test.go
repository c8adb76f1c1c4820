package affinity

import (
	"fmt"
	"math"
	"net/http"
	"testing"

	"pgregory.net/rapid"
)

func drawNodes(t *rapid.T) []Node {
	out := make([]Node, rapid.IntRange(2, 12).Draw(t, "nodes"))
	for i := range out {
		out[i] = Node{fmt.Sprint("n", i), rapid.SampledFrom([]int{1, 2, 9}).Draw(t, "weight")}
	}
	return out
}

// When a node leaves, only its keys move, each to the second node of its ranking. The reverse holds when a node joins.
func TestNodeChangeMovesOnlyItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawNodes(t)
		leaving := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		remaining := append(append([]Node{}, all[:leaving]...), all[leaving+1:]...)
		for i := range 300 {
			key := fmt.Sprint("somebody", i)
			before, after := NewTable(all).Rank(key, 2), NewTable(remaining).Rank(key, 1)
			want := before[0]
			if want == all[leaving].Name {
				want = before[1]
			}
			if after[0] != want {
				t.Fatalf("%s moves from %v to %s as %s leaves", key, before, after[0], all[leaving].Name)
			}
		}
	})
}

// When the weight of a node grows, keys move only to that node: none leaves it and none moves between other nodes.
func TestWeightChangeMovesOnlyTheDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawNodes(t)
		growing := rapid.IntRange(0, len(all)-1).Draw(t, "grows")
		grown := append([]Node{}, all...)
		grown[growing].Weight++
		for i := range 300 {
			key := fmt.Sprint("somebody", i)
			before, after := NewTable(all).Rank(key, 1)[0], NewTable(grown).Rank(key, 1)[0]
			if before != after && after != all[growing].Name {
				t.Fatalf("%s moves from %s to %s as %s grows", key, before, after, all[growing].Name)
			}
		}
	})
}

// Each node is first for the share of keys that its weight gives it, within five standard deviations.
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

// While nodes join and leave one after the other, no key moves unless it has to: its node left, or the joined node ranks first for it.
func TestRankMovesNoOtherKeys(t *testing.T) {
	current := []Node{{"a", 9}, {"b", 9}, {"c", 4}, {"d", 2}}
	const keys = 5000
	at := make([]string, keys)
	for i := range at {
		at[i] = NewTable(current).Rank(fmt.Sprint("counter ", i), 1)[0]
	}
	moves, necessary := 0, 0
	for _, step := range []struct {
		joins  Node
		leaves string
	}{{Node{"e", 9}, ""}, {Node{}, "b"}, {Node{"f", 2}, "c"}, {Node{"b2", 9}, ""}, {Node{}, "a"}, {Node{"g", 4}, "d"}} {
		var next []Node
		for _, n := range current {
			if n.Name != step.leaves {
				next = append(next, n)
			}
		}
		if step.joins.Name != "" {
			next = append(next, step.joins)
		}
		for i := range at {
			now := NewTable(next).Rank(fmt.Sprint("counter ", i), 1)[0]
			if now != at[i] {
				moves++
				if at[i] == step.leaves || now == step.joins.Name {
					necessary++
				}
				at[i] = now
			}
		}
		current = next
	}
	if moves != necessary || moves == 0 {
		t.Fatalf("%d moves, %d of them necessary", moves, necessary)
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
		if key, ok := k.Extract(h, "/a/b/c", "10.0.0.1"); key != want || ok != (want != "") {
			t.Errorf("%q: %q %v", text, key, ok)
		}
	}
	for _, text := range []string{"header", "path:0", "path:x", "name:x", "address:1"} {
		if _, err := ParseKeySource(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

func BenchmarkRank(b *testing.B) {
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
