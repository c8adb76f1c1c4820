// Package lamp is how news reaches pilots: numbered changes down held connections, a whole picture first, acknowledged and
// counted. What a pilot holds never goes back: of a node the newer sheet stays, of the configuration the higher version, of
// a zone the higher stamp. It is pure.
package lamp

import (
	"maps"
	"slices"
	"time"

	"whinknot/internal/beacon"
	"whinknot/internal/keeper"
	"whinknot/internal/muster"
	"whinknot/internal/tide"
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
}

// Down is what a lighthouse says to a pilot. Without a number it only says that it is there.
type Down struct {
	Number  uint64
	Whole   bool // Nodes are all that there are
	Nodes   []beacon.Known
	Gone    []string // nodes forgotten
	InForce *keeper.InForce
	Core    []Machine // machines of the core
	Outlive uint64    // a life of this pilot that is newer by its number than the one it says: its clock went back
	Asked   *Question // if another one than before
	Sighted bool      // this lighthouse sees most of the core: what it calls dark is dark
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
	newest   map[string]uint64 // by lighthouse, the version that it named last
	nodes    map[string]*entry
	config   []byte
	version  uint64
	zones    map[string]keeper.Evacuation
	removals []muster.Removal
	removed  tide.Stamp
	keep     time.Duration
}

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
func NewChartroom(keep time.Duration) *Chartroom {
	return &Chartroom{
		views: map[string]map[string]beacon.Known{}, sighted: map[string]bool{}, newest: map[string]uint64{}, nodes: map[string]*entry{},
		zones: map[string]keeper.Evacuation{}, keep: keep,
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
		c.newest[from] = d.InForce.Version
		more := c.Ordered(d.InForce)
		ch.Config, ch.Zones = more.Config, more.Zones
	}
	return ch
}

// Ordered takes what is in force, as far as it is newer.
func (c *Chartroom) Ordered(f *keeper.InForce) (ch Change) {
	if len(f.Config) > 0 && f.Version > c.version {
		c.config, c.version, ch.Config = f.Config, f.Version, true
	}
	for _, e := range f.Evacuations {
		if old, ok := c.zones[e.Zone]; !ok || e.Stamp.Compare(old.Stamp) > 0 {
			c.zones[e.Zone] = e
			ch.Zones = ch.Zones || e.On != old.On
		}
	}
	if f.Removed.Compare(c.removed) > 0 {
		c.removals, c.removed, ch.Zones = f.Removals, f.Removed, true
	}
	return ch
}

// Removal is the order about a life; ok is false for none.
func (c *Chartroom) Removal(life string) (r muster.Removal, ok bool) {
	for _, r := range c.removals {
		if r.Life == life {
			return r, true
		}
	}
	return r, false
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
	return c.Merge(now)
}

// Sighted tells whether a lighthouse sees most of the core, as it said last.
func (c *Chartroom) Sighted(from string) bool { return c.sighted[from] }

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
		} else if now.Sub(e.missing) > c.keep {
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

// Config is the configuration held, and its version; 0 for none.
func (c *Chartroom) Config() ([]byte, uint64) { return c.config, c.version }

// Lacks tells whether a lighthouse named a higher version than the one held.
func (c *Chartroom) Lacks(from string) bool { return c.newest[from] > c.version }

// Evacuated tells whether a zone is to get nothing.
func (c *Chartroom) Evacuated(zone string) bool { return c.zones[zone].On }

// InForce is what was ordered, as held.
func (c *Chartroom) InForce() *keeper.InForce {
	f := &keeper.InForce{Config: c.config, Version: c.version, Removals: c.removals, Removed: c.removed}
	for _, zone := range slices.Sorted(maps.Keys(c.zones)) {
		f.Evacuations = append(f.Evacuations, c.zones[zone])
	}
	return f
}
