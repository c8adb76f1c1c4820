package discovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/registry"
)

var start = time.Unix(1000, 0)

// Whatever several control planes tell in whatever order, old ones among them: what a proxy holds never goes back.
func TestClientStateNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewClientState(start, Limits{KeepMissing: time.Hour, ContactTimeout: time.Hour})
		now := start
		var version uint64
		sheets := map[string]registry.NodeRecord{}
		zone := consensus.Version{}
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			now = now.Add(100 * time.Millisecond)
			from := fmt.Sprint("l", rapid.IntRange(0, 2).Draw(t, "control plane"))
			if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				c.ControlPlaneLost(now, from)
				continue
			}
			d := &ControlMessage{HasContact: rapid.Bool().Draw(t, "sighted"), Complete: rapid.Bool().Draw(t, "whole")}
			s := registry.NodeRecord{Node: fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "node")), Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "life")), Sequence: uint64(rapid.IntRange(1, 4).Draw(t, "number"))}
			d.Nodes = append(d.Nodes, registry.ObservedRecord{NodeRecord: s, Unreachable: rapid.Bool().Draw(t, "dark")})
			v := uint64(rapid.IntRange(1, 9).Draw(t, "version"))
			stamp := consensus.Version{Number: uint64(rapid.IntRange(1, 9).Draw(t, "stamp"))}
			d.Snapshot = &controlstate.Snapshot{Confirmed: true, ConfigVersion: v, Config: []byte(fmt.Sprint(v)), Evacuations: []controlstate.Evacuation{{Zone: "z", Version: stamp, Active: stamp.Number%2 == 1}}}
			c.HandleControlMessage(now, from, d)
			if stamp.Compare(zone) > 0 {
				zone = stamp
			}
			if text, held := c.Config(); held < version || held < v || string(text) != fmt.Sprint(held) {
				t.Fatalf("version %d after %d and %d, text %q", held, version, v, text)
			} else {
				version = held
			}
			if c.IsEvacuated("z") != (zone.Number%2 == 1) {
				t.Fatalf("evacuated %v at stamp %v", c.IsEvacuated("z"), zone)
			}
			for _, n := range c.Nodes() {
				if old, ok := sheets[n.Node]; ok && old.Newer(&n.NodeRecord) {
					t.Fatalf("%s went back from %v to %v", n.Node, old, n.NodeRecord)
				}
				sheets[n.Node] = n.NodeRecord
			}
		}
	})
}

// A node is unreachable only if all that know its newest life and see the core say so; one that is missing is kept for a while.
func TestUnreachableNodes(t *testing.T) {
	node := func(dark bool) []registry.ObservedRecord {
		return []registry.ObservedRecord{{NodeRecord: registry.NodeRecord{Node: "n", Incarnation: 1, Sequence: 1}, Unreachable: dark}}
	}
	c := NewClientState(start, Limits{KeepMissing: time.Second})
	dark := func() bool { return c.Nodes()[0].Unreachable }
	c.HandleControlMessage(start, "a", &ControlMessage{Nodes: node(false), HasContact: true})
	c.HandleControlMessage(start, "b", &ControlMessage{Nodes: node(true), HasContact: true})
	if dark() {
		t.Error("dark although one control plane hears it")
	}
	c.HandleControlMessage(start, "a", &ControlMessage{Nodes: node(true), HasContact: false})
	if dark() {
		t.Error("dark by the word of one that does not see the core")
	}
	c.HandleControlMessage(start, "a", &ControlMessage{HasContact: true})
	if !dark() {
		t.Error("not dark although all say so")
	}
	c.HandleControlMessage(start, "a", &ControlMessage{Complete: true, HasContact: true})
	c.HandleControlMessage(start, "b", &ControlMessage{Complete: true, HasContact: true})
	if len(c.Nodes()) != 1 {
		t.Error("a node is gone as soon as control planes that have just started do not name it")
	}
	c.Merge(start.Add(2 * time.Second))
	if len(c.Nodes()) != 0 {
		t.Error("a node that nobody names stays for ever")
	}
}

// How long an endpoint is cold counts from when its record came, not from when it is looked at.
func TestNodeKeepsTheTimeOfItsRecord(t *testing.T) {
	c := NewClientState(start, Limits{KeepMissing: time.Hour})
	d := &ControlMessage{Nodes: []registry.ObservedRecord{{NodeRecord: registry.NodeRecord{Node: "n", Incarnation: 1, Sequence: 1}}}}
	c.HandleControlMessage(start, "a", d)
	c.HandleControlMessage(start.Add(time.Second), "b", d)
	c.Merge(start.Add(2 * time.Second))
	if got := c.Nodes()[0].Since; !got.Equal(start) {
		t.Fatalf("since %v, want %v", got, start)
	}
}

// Who is there is told by one control plane at a time: as soon as another tells it whole, what the first told is not gone by, and what
// nobody names any more is kept for a while.
func TestPrimaryControlPlaneChanges(t *testing.T) {
	known := func(node string, dark bool) registry.ObservedRecord {
		return registry.ObservedRecord{NodeRecord: registry.NodeRecord{Node: node, Incarnation: 1, Sequence: 1}, Unreachable: dark}
	}
	c := NewClientState(start, Limits{KeepMissing: time.Second})
	c.HandleControlMessage(start, "a", &ControlMessage{Complete: true, HasContact: true, Nodes: []registry.ObservedRecord{known("m", false), known("n", false)}})
	c.HandleControlMessage(start, "b", &ControlMessage{HasContact: true})
	if c.HandleControlMessage(start, "b", &ControlMessage{Complete: true, HasContact: true, Nodes: []registry.ObservedRecord{known("n", true)}}); !c.Nodes()[1].Unreachable {
		t.Error("the word of the one before keeps a dark node alive")
	}
	if len(c.Nodes()) != 2 {
		t.Error("a node is gone as soon as another control plane does not name it")
	}
	if c.Merge(start.Add(2 * time.Second)); len(c.Nodes()) != 1 {
		t.Error("a node that nobody names stays for ever")
	}
	if c.ControlPlaneLost(start, "b"); len(c.Nodes()) != 1 || c.HasContact("b") {
		t.Error("the last word is forgotten with its control plane")
	}
}
