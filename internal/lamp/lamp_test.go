package lamp

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"whinknot/internal/beacon"
	"whinknot/internal/keeper"
	"whinknot/internal/tide"
)

var start = time.Unix(1000, 0)

// Whatever several lighthouses tell in whatever order, old ones among them: what a pilot holds never goes back.
func TestWhatAPilotHoldsNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewChartroom(start, Bounds{Keep: time.Hour, Patience: time.Hour})
		now := start
		var version uint64
		sheets := map[string]beacon.Sheet{}
		zone := tide.Stamp{}
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			now = now.Add(100 * time.Millisecond)
			from := fmt.Sprint("l", rapid.IntRange(0, 2).Draw(t, "lighthouse"))
			if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				c.Lose(now, from)
				continue
			}
			d := &Down{Sighted: rapid.Bool().Draw(t, "sighted"), Whole: rapid.Bool().Draw(t, "whole")}
			s := beacon.Sheet{Node: fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "node")), Life: uint64(rapid.IntRange(1, 3).Draw(t, "life")), Number: uint64(rapid.IntRange(1, 4).Draw(t, "number"))}
			d.Nodes = append(d.Nodes, beacon.Known{Sheet: s, Dark: rapid.Bool().Draw(t, "dark")})
			v := uint64(rapid.IntRange(1, 9).Draw(t, "version"))
			stamp := tide.Stamp{Number: uint64(rapid.IntRange(1, 9).Draw(t, "stamp"))}
			d.InForce = &keeper.InForce{Settled: true, Version: v, Config: []byte(fmt.Sprint(v)), Evacuations: []keeper.Evacuation{{Zone: "z", Stamp: stamp, On: stamp.Number%2 == 1}}}
			c.Hear(now, from, d)
			if stamp.Compare(zone) > 0 {
				zone = stamp
			}
			if text, held := c.Config(); held < version || held < v || string(text) != fmt.Sprint(held) {
				t.Fatalf("version %d after %d and %d, text %q", held, version, v, text)
			} else {
				version = held
			}
			if c.Evacuated("z") != (zone.Number%2 == 1) {
				t.Fatalf("evacuated %v at stamp %v", c.Evacuated("z"), zone)
			}
			for _, n := range c.Nodes() {
				if old, ok := sheets[n.Node]; ok && old.Newer(&n.Sheet) {
					t.Fatalf("%s went back from %v to %v", n.Node, old, n.Sheet)
				}
				sheets[n.Node] = n.Sheet
			}
		}
	})
}

// A node is dark only if all that know its newest life and see the core say so; one that is missing is kept for a while.
func TestWhoIsDark(t *testing.T) {
	node := func(dark bool) []beacon.Known {
		return []beacon.Known{{Sheet: beacon.Sheet{Node: "n", Life: 1, Number: 1}, Dark: dark}}
	}
	c := NewChartroom(start, Bounds{Keep: time.Second})
	dark := func() bool { return c.Nodes()[0].Dark }
	c.Hear(start, "a", &Down{Nodes: node(false), Sighted: true})
	c.Hear(start, "b", &Down{Nodes: node(true), Sighted: true})
	if dark() {
		t.Error("dark although one lighthouse hears it")
	}
	c.Hear(start, "a", &Down{Nodes: node(true), Sighted: false})
	if dark() {
		t.Error("dark by the word of one that does not see the core")
	}
	c.Hear(start, "a", &Down{Sighted: true})
	if !dark() {
		t.Error("not dark although all say so")
	}
	c.Hear(start, "a", &Down{Whole: true, Sighted: true})
	c.Hear(start, "b", &Down{Whole: true, Sighted: true})
	if len(c.Nodes()) != 1 {
		t.Error("a node is gone as soon as lighthouses that have just started do not name it")
	}
	c.Merge(start.Add(2 * time.Second))
	if len(c.Nodes()) != 0 {
		t.Error("a node that nobody names stays for ever")
	}
}

// How long an endpoint is cold counts from when its sheet came, not from when it is looked at.
func TestASheetKeepsItsTime(t *testing.T) {
	c := NewChartroom(start, Bounds{Keep: time.Hour})
	d := &Down{Nodes: []beacon.Known{{Sheet: beacon.Sheet{Node: "n", Life: 1, Number: 1}}}}
	c.Hear(start, "a", d)
	c.Hear(start.Add(time.Second), "b", d)
	c.Merge(start.Add(2 * time.Second))
	if got := c.Nodes()[0].Since; !got.Equal(start) {
		t.Fatalf("since %v, want %v", got, start)
	}
}

// Who is there is told by one lighthouse at a time: as soon as another tells it whole, what the first told is not gone by, and what
// nobody names any more is kept for a while.
func TestAnotherLighthouseTellsWhoIsThere(t *testing.T) {
	known := func(node string, dark bool) beacon.Known {
		return beacon.Known{Sheet: beacon.Sheet{Node: node, Life: 1, Number: 1}, Dark: dark}
	}
	c := NewChartroom(start, Bounds{Keep: time.Second})
	c.Hear(start, "a", &Down{Whole: true, Sighted: true, Nodes: []beacon.Known{known("m", false), known("n", false)}})
	c.Hear(start, "b", &Down{Sighted: true})
	if c.Hear(start, "b", &Down{Whole: true, Sighted: true, Nodes: []beacon.Known{known("n", true)}}); !c.Nodes()[1].Dark {
		t.Error("the word of the one before keeps a dark node alive")
	}
	if len(c.Nodes()) != 2 {
		t.Error("a node is gone as soon as another lighthouse does not name it")
	}
	if c.Merge(start.Add(2 * time.Second)); len(c.Nodes()) != 1 {
		t.Error("a node that nobody names stays for ever")
	}
	if c.Lose(start, "b"); len(c.Nodes()) != 1 || c.Sighted("b") {
		t.Error("the last word is forgotten with its lighthouse")
	}
}
