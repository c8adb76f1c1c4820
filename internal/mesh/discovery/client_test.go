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

// Several control planes send updates in any order, old ones among them. The state of a proxy must never go back to an older record or
// version.
func TestClientStateNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewClientState(start, Limits{KeepMissing: time.Hour, ContactTimeout: time.Hour})
		now := start
		var version uint64
		records := map[string]registry.NodeRecord{}
		zone := consensus.Version{}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now = now.Add(100 * time.Millisecond)
			from := fmt.Sprint("l", rapid.IntRange(0, 2).Draw(t, "control plane"))
			if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				c.ControlPlaneLost(now, from)
				continue
			}
			d := &ControlMessage{HasContact: rapid.Bool().Draw(t, "has contact"), Complete: rapid.Bool().Draw(t, "complete")}
			record := registry.NodeRecord{Node: fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "node")), Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Sequence: uint64(rapid.IntRange(1, 4).Draw(t, "sequence"))}
			d.Nodes = append(d.Nodes, registry.ObservedRecord{NodeRecord: record, Unreachable: rapid.Bool().Draw(t, "unreachable")})
			v := uint64(rapid.IntRange(1, 9).Draw(t, "version"))
			evacuationVersion := consensus.Version{Number: uint64(rapid.IntRange(1, 9).Draw(t, "evacuation version"))}
			d.Snapshot = &controlstate.Snapshot{Confirmed: true, ConfigVersion: v, Config: []byte(fmt.Sprint(v)), Evacuations: []controlstate.Evacuation{{Zone: "z", Version: evacuationVersion, Active: evacuationVersion.Number%2 == 1}}}
			c.HandleControlMessage(now, from, d)
			if evacuationVersion.Compare(zone) > 0 {
				zone = evacuationVersion
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
				if old, ok := records[n.Node]; ok && old.Newer(&n.NodeRecord) {
					t.Fatalf("%s went back from %v to %v", n.Node, old, n.NodeRecord)
				}
				records[n.Node] = n.NodeRecord
			}
		}
	})
}

// A node is unreachable only if all control planes that report its newest incarnation have contact and report it as unreachable. A node
// that no control plane reports is kept for KeepMissing.
func TestUnreachableNodes(t *testing.T) {
	node := func(unreachable bool) []registry.ObservedRecord {
		return []registry.ObservedRecord{{NodeRecord: registry.NodeRecord{Node: "n", Incarnation: 1, Sequence: 1}, Unreachable: unreachable}}
	}
	c := NewClientState(start, Limits{KeepMissing: time.Second})
	unreachable := func() bool { return c.Nodes()[0].Unreachable }
	c.HandleControlMessage(start, "a", &ControlMessage{Nodes: node(false), HasContact: true})
	c.HandleControlMessage(start, "b", &ControlMessage{Nodes: node(true), HasContact: true})
	if unreachable() {
		t.Error("unreachable although one control plane reports it as reachable")
	}
	c.HandleControlMessage(start, "a", &ControlMessage{Nodes: node(true), HasContact: false})
	if unreachable() {
		t.Error("unreachable by the report of a control plane without contact")
	}
	c.HandleControlMessage(start, "a", &ControlMessage{HasContact: true})
	if !unreachable() {
		t.Error("reachable although all control planes report it as unreachable")
	}
	c.HandleControlMessage(start, "a", &ControlMessage{Complete: true, HasContact: true})
	c.HandleControlMessage(start, "b", &ControlMessage{Complete: true, HasContact: true})
	if len(c.Nodes()) != 1 {
		t.Error("a node is removed as soon as control planes that have just started do not report it")
	}
	c.Merge(start.Add(2 * time.Second))
	if len(c.Nodes()) != 0 {
		t.Error("a node that no control plane reports is never removed")
	}
}

// The warm-up of an endpoint counts from the time at which its record was received, and not from a later update or merge.
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

// Nodes are reported by one control plane at a time: a complete update of another one replaces the nodes of the first. Nodes that are not
// reported any more are kept for KeepMissing.
func TestPrimaryControlPlaneChanges(t *testing.T) {
	known := func(node string, unreachable bool) registry.ObservedRecord {
		return registry.ObservedRecord{NodeRecord: registry.NodeRecord{Node: node, Incarnation: 1, Sequence: 1}, Unreachable: unreachable}
	}
	c := NewClientState(start, Limits{KeepMissing: time.Second})
	c.HandleControlMessage(start, "a", &ControlMessage{Complete: true, HasContact: true, Nodes: []registry.ObservedRecord{known("m", false), known("n", false)}})
	c.HandleControlMessage(start, "b", &ControlMessage{HasContact: true})
	if c.HandleControlMessage(start, "b", &ControlMessage{Complete: true, HasContact: true, Nodes: []registry.ObservedRecord{known("n", true)}}); !c.Nodes()[1].Unreachable {
		t.Error("the report of the previous control plane keeps an unreachable node reachable")
	}
	if len(c.Nodes()) != 2 {
		t.Error("a node is removed as soon as another control plane does not report it")
	}
	if c.Merge(start.Add(2 * time.Second)); len(c.Nodes()) != 1 {
		t.Error("a node that no control plane reports is never removed")
	}
	if c.ControlPlaneLost(start, "b"); len(c.Nodes()) != 1 || c.HasContact("b") {
		t.Error("the nodes of the last control plane are removed with its connection, or it still has contact")
	}
}
