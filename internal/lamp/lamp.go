// Package lamp is how news reaches pilots: numbered changes down held connections, a whole picture first, acknowledged and
// counted. What a pilot holds never goes back: of a node the newer sheet stays, of the configuration the higher version, of
// a zone the higher stamp. What was ordered is gone by on the word of those that had contact with a majority. It is pure.
package lamp

import (
	"maps"
	"slices"
	"time"

	"whinknot/internal/beacon"
	"whinknot/internal/keeper"
	"whinknot/internal/muster"
)

// Hello is the first message of a connection to a lighthouse.
type Hello struct {
	Pilot      string // the node of a pilot
	Lighthouse string // or of another lighthouse, by its address
	Zone       string // of that
	Status     bool   // or one that only asks how things are
}

// Up is what a pilot says.
type Up struct {
	Sheet    *beacon.Sheet    // if it has changed
	Ack      uint64           // the number of the last change it goes by
	Holds    uint64           // the version of the configuration it goes by
	Main     bool             // it is to be told who is there, and configurations are to be sent to it whole, before it asks
	Opinions []muster.Opinion // of lives that it finds unwell, and of those that it is asked about
	Want     bool             // it lacks the configuration that it was told the version of
	Last     bool             // nobody with contact has told it a configuration for long: it asks for the last that is known, by whomever
}

// Down is what a lighthouse says to a pilot. Without a number it only says that it is there.
type Down struct {
	Number  uint64
	Whole   bool // Nodes are all that there are
	Nodes   []beacon.Known
	Gone    []string        // nodes forgotten
	InForce *keeper.InForce // Settled if it is said under a lease; else only to one that asks for the last that is known
	Core    []Machine       // machines of the core
	Outlive uint64          // a life of this pilot that is newer by its number than the one it says: its clock went back
	Asked   *Question       // if another one than before
	Sighted bool            // this lighthouse has contact with a majority of the core: what it calls dark is dark
}

// Question names the lives that some pilot finds unwell: each pilot is to say what it has seen of them.
type Question struct {
	Put   bool // a question of no life is one too
	Lives []string
}

// Across is what lighthouses say to each other.
type Across struct {
	Sheets []beacon.Sheet
	Vouch  []uint64  // marks of pilots that hold a connection to this one (beacon.Mark)
	Core   []Machine // machines of the core that this one knows
	Votes  []muster.Vote
}

// Machine is one of the core.
type Machine struct{ IP, Zone string }

// Chartroom is what one pilot holds of the news of several lighthouses. It is not safe for concurrent use.
type Chartroom struct {
	views    map[string]map[string]beacon.Known // by lighthouse, by node
	sighted  map[string]bool
	behind   map[string]bool   // lighthouses whose last order was of an older epoch
	newest   map[string]uint64 // by lighthouse, the version that it named last under a lease
	nodes    map[string]*entry
	orders   *Orders // gone by
	hearsay  *Orders // told by those without contact
	standing Standing
	alone    time.Time // the last time that a lighthouse with contact was reached, or the start
	bounds   Bounds
}

// Bounds are times that a Chartroom goes by.
type Bounds struct {
	Keep     time.Duration // a node that no lighthouse names any more is kept for so long
	Patience time.Duration // with no word of anybody with contact; then the last that anybody knows is gone by
}

// gather is how long before the patience ends the last that is known is asked for.
const gather = time.Second

// Node is what a pilot knows of another.
type Node struct {
	beacon.Known
	Since time.Time // its newest sheet came then
}

type entry struct {
	Node
	missing time.Time // since when no view has it; zero if one has
}

// NewChartroom makes an empty one. A node that no lighthouse names any more is kept for a time: one that has just started
// does not know all yet.
func NewChartroom(now time.Time, b Bounds) *Chartroom {
	return &Chartroom{
		views: map[string]map[string]beacon.Known{}, sighted: map[string]bool{}, behind: map[string]bool{}, newest: map[string]uint64{},
		nodes: map[string]*entry{}, orders: NewOrders(), hearsay: NewOrders(), alone: now, bounds: b,
	}
}

// Change tells what a piece of news has changed.
type Change struct{ Nodes, Config, Zones bool }

// Hear takes news of a lighthouse.
func (c *Chartroom) Hear(now time.Time, from string, d *Down) (ch Change) {
	c.sighted[from] = d.Sighted
	if d.Whole { // who is there is told by this one from now on: what others told gets old
		clear(c.views)
		c.views[from] = map[string]beacon.Known{}
	}
	view := c.views[from]
	if view == nil && len(d.Nodes) > 0 {
		view = map[string]beacon.Known{}
		c.views[from] = view
	}
	for _, n := range d.Nodes {
		view[n.Node] = n
	}
	for _, node := range d.Gone {
		delete(view, node)
	}
	ch.Nodes = c.Merge(now)
	if d.InForce != nil {
		more := c.Ordered(Lighthouse, d.InForce)
		if d.InForce.Settled {
			if c.behind[from] = d.InForce.Epoch < c.orders.epoch; !c.behind[from] {
				c.newest[from] = d.InForce.Version
			}
		}
		ch.Config, ch.Zones = more.Config, more.Zones
	}
	return ch
}

// Told takes what another pilot holds of who is there, as no lighthouse can be reached. It lasts for as long as it is told.
func (c *Chartroom) Told(now time.Time, nodes []Node) (changed bool) {
	for _, n := range nodes {
		e := c.nodes[n.Node]
		if e == nil || n.Newer(&e.Sheet) {
			c.nodes[n.Node] = &entry{Node: Node{n.Known, now}, missing: now}
			changed = true
		} else if !e.missing.IsZero() {
			e.missing = now
		}
	}
	return changed
}

// Lose forgets what a lighthouse has told, as the connection to it ended; the last one's word stays.
func (c *Chartroom) Lose(now time.Time, from string) bool {
	if len(c.views) > 1 {
		delete(c.views, from)
	}
	delete(c.sighted, from)
	delete(c.behind, from)
	delete(c.newest, from)
	return c.Merge(now)
}

// Sighted tells whether a lighthouse has contact with a majority of the core, as it said last, and not by an older epoch than others.
func (c *Chartroom) Sighted(from string) bool { return c.sighted[from] && !c.behind[from] }

// Merge makes one picture of all views and tells whether it has changed. A node is dark if all that know its newest life and
// see the core say so.
func (c *Chartroom) Merge(now time.Time) (changed bool) {
	best := map[string]beacon.Known{}
	for from, view := range c.views {
		for node, k := range view {
			k.Dark = k.Dark && c.sighted[from]
			old, ok := best[node]
			switch {
			case !ok || k.Newer(&old.Sheet):
				best[node] = k
			case !old.Newer(&k.Sheet) && !k.Dark:
				old.Dark = false
				best[node] = old
			}
		}
	}
	for node, k := range best {
		e := c.nodes[node]
		if e == nil {
			c.nodes[node] = &entry{Node: Node{k, now}}
			changed = true
			continue
		}
		e.missing = time.Time{}
		if k.Newer(&e.Sheet) {
			e.Node, changed = Node{k, now}, true
		} else if k.Dark != e.Dark && !e.Newer(&k.Sheet) {
			e.Dark, changed = k.Dark, true
		}
	}
	for node, e := range c.nodes {
		if _, ok := best[node]; ok {
			continue
		}
		if e.missing.IsZero() {
			e.missing = now
		} else if now.Sub(e.missing) > c.bounds.Keep {
			delete(c.nodes, node)
			changed = true
		}
	}
	return changed
}

// Nodes is the picture, by name.
func (c *Chartroom) Nodes() []Node {
	out := make([]Node, 0, len(c.nodes))
	for _, node := range slices.Sorted(maps.Keys(c.nodes)) {
		out = append(out, c.nodes[node].Node)
	}
	return out
}

// Lacks tells whether a lighthouse that has contact named a higher version than the one held.
func (c *Chartroom) Lacks(from string) bool {
	return c.Sighted(from) && c.newest[from] > c.orders.version
}
