package lamp

import (
	"maps"
	"slices"
	"time"

	"whinknot/internal/keeper"
	"whinknot/internal/muster"
	"whinknot/internal/tide"
)

// Orders is what was ordered, as one process was told it: of each key what has the highest number. Numbers rise by agreement of a
// majority of the disks, so who takes the higher never goes back. It is not safe for concurrent use.
type Orders struct {
	config   []byte
	version  uint64 // 0 for no configuration
	zones    map[string]keeper.Evacuation
	removals []muster.Removal
	removed  tide.Stamp
	epoch    uint64 // the highest that was heard under a lease
}

// NewOrders makes an empty one.
func NewOrders() *Orders { return &Orders{zones: map[string]keeper.Evacuation{}} }

// Raise takes what has higher numbers, and leaves the rest alone.
func (o *Orders) Raise(f *keeper.InForce) (ch Change) {
	if len(f.Config) > 0 && f.Version > o.version {
		o.config, o.version, ch.Config = f.Config, f.Version, true
	}
	for _, e := range f.Evacuations {
		if old, ok := o.zones[e.Zone]; !ok || e.Stamp.Compare(old.Stamp) > 0 {
			o.zones[e.Zone] = e
			ch.Zones = ch.Zones || e.On != old.On
		}
	}
	if f.Removed.Compare(o.removed) > 0 {
		o.removals, o.removed, ch.Zones = f.Removals, f.Removed, true
	}
	return ch
}

// Learn takes a word of the keeper, and gives all that is known: settled if the word was said under a lease, and not of an older epoch
// than another that was.
func (o *Orders) Learn(f *keeper.InForce) *keeper.InForce {
	o.Raise(f)
	settled := f.Settled && f.Epoch >= o.epoch
	if settled {
		o.epoch = f.Epoch
	}
	known := o.InForce()
	known.Settled = settled
	return known
}

// Within tells whether all of it is in a word, or something newer.
func (o *Orders) Within(f *keeper.InForce) bool {
	told := map[string]tide.Stamp{}
	for _, e := range f.Evacuations {
		told[e.Zone] = e.Stamp
	}
	for zone, e := range o.zones {
		if s, ok := told[zone]; !ok || s.Compare(e.Stamp) < 0 {
			return false
		}
	}
	return f.Version >= o.version && f.Removed.Compare(o.removed) >= 0
}

// InForce is all of it, as a word of nobody with contact.
func (o *Orders) InForce() *keeper.InForce {
	f := &keeper.InForce{Config: o.config, Version: o.version, Removals: o.removals, Removed: o.removed, Epoch: o.epoch}
	for _, zone := range slices.Sorted(maps.Keys(o.zones)) {
		f.Evacuations = append(f.Evacuations, o.zones[zone])
	}
	return f
}

// Standing is by whose word a pilot goes by what was ordered.
type Standing uint8

// The standings. Chartroom.turn is the one function that changes them.
const (
	Waiting   Standing = iota // by nobody's: it has no configuration
	Uncertain                 // by the newest that anybody knew, as nobody with contact could be reached for long
	Certain                   // by that of a lighthouse with contact, or of a pilot that went by such a one
)

func (s Standing) String() string { return [...]string{"waiting", "uncertain", "certain"}[s] }

// Teller is who tells what was ordered.
type Teller uint8

// The tellers.
const (
	Lighthouse Teller = iota
	Pilot
)

// ruling is what becomes of a word of what was ordered.
type ruling uint8

const (
	refused ruling = iota // it counts for nothing
	aside                 // it is kept in case that nobody with contact can be reached
	taken                 // what is newer in it is gone by
)

// judge is the one place that decides whether a word of what was ordered counts. What a lighthouse says under a lease does, unless that
// is of an older epoch than was heard under a lease; what a pilot says that is certain does.
func (c *Chartroom) judge(by Teller, f *keeper.InForce) ruling {
	switch {
	case f.Settled && by == Lighthouse && f.Epoch < c.orders.epoch:
		return refused
	case f.Settled:
		return taken
	case c.standing == Certain:
		return refused
	}
	return aside
}

// Ordered takes a word of what was ordered.
func (c *Chartroom) Ordered(by Teller, f *keeper.InForce) (ch Change) {
	switch c.judge(by, f) {
	case taken:
		c.orders.epoch = max(c.orders.epoch, f.Epoch)
		ch = c.orders.Raise(f)
		if c.orders.version > 0 && c.orders.Within(f) {
			c.turn(Certain)
		}
	case aside:
		c.hearsay.Raise(f)
		if c.standing == Uncertain {
			ch = c.orders.Raise(f)
		}
	}
	return ch
}

// turn is the one function that changes the standing. It never goes back from Certain, nor to Waiting.
func (c *Chartroom) turn(to Standing) {
	if to <= c.standing {
		return
	}
	c.standing = to
	if to == Certain {
		c.hearsay = NewOrders()
	}
}

// Due does what is due by age: one that waits goes by the newest that anybody has told, once no lighthouse with contact has been reached
// for as long as its patience.
func (c *Chartroom) Due(now time.Time) (ch Change) {
	if c.standing == Certain {
		return ch
	}
	for from := range c.sighted {
		if c.Sighted(from) {
			c.alone = now
			return ch
		}
	}
	if c.standing == Waiting && now.Sub(c.alone) >= c.bounds.Patience && c.hearsay.version > 0 {
		c.turn(Uncertain)
		ch = c.orders.Raise(c.hearsay.InForce())
	}
	return ch
}

// Asks tells whether the last that is known is to be asked for, of lighthouses without contact too.
func (c *Chartroom) Asks(now time.Time) bool {
	return c.standing != Certain && now.Sub(c.alone) >= c.bounds.Patience-gather
}

// Standing is by whose word it goes by what was ordered.
func (c *Chartroom) Standing() Standing { return c.standing }

// Removal is the order about a life; ok is false for none.
func (c *Chartroom) Removal(life string) (r muster.Removal, ok bool) {
	for _, r := range c.orders.removals {
		if r.Life == life {
			return r, true
		}
	}
	return r, false
}

// Config is the configuration held, and its version; 0 for none.
func (c *Chartroom) Config() ([]byte, uint64) { return c.orders.config, c.orders.version }

// Evacuation is the newest order about a zone; the zero one for none.
func (c *Chartroom) Evacuation(zone string) keeper.Evacuation { return c.orders.zones[zone] }

// Evacuated tells whether a zone is to get nothing.
func (c *Chartroom) Evacuated(zone string) bool { return c.orders.zones[zone].On }

// InForce is what was ordered, as it is gone by; settled if that is certain.
func (c *Chartroom) InForce() *keeper.InForce {
	f := c.orders.InForce()
	f.Settled = c.standing == Certain
	return f
}
