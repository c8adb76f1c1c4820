package lighthouse

import (
	"slices"
	"time"

	"whinknot/internal/beacon"
	"whinknot/internal/keeper"
	"whinknot/internal/lamp"
	"whinknot/internal/muster"
)

// turnTime is how long a lighthouse lets those before it order what was agreed on.
const turnTime = 400 * time.Millisecond

// council is what pilots say of endpoints that are unwell, and the removals that they agree on (package muster).
type council struct {
	l      *Lighthouse
	bounds muster.Bounds
	votes  map[string]muster.Vote // by pilot
	fresh  map[string]bool        // votes that other lighthouses have not been told
	since  map[string]time.Time   // by life, when it was first seen to be out
	asked  []string
	due    time.Time // a decision stands since then; zero for none
	under  bool      // an order is under way
}

func newCouncil(l *Lighthouse) *council {
	return &council{l: l, bounds: muster.Usual(), votes: map[string]muster.Vote{}, fresh: map[string]bool{}, since: map[string]time.Time{}}
}

// heard takes the opinions of a pilot that is connected.
func (c *council) heard(k *link, opinions []muster.Opinion) {
	now := time.Now()
	if len(opinions) == 0 || c.l.stood.Just(now) { // these may be old
		return
	}
	zone := ""
	if known, ok := c.l.registry.Get(k.node); ok {
		zone = known.Zone
	}
	c.votes[k.node] = muster.Vote{Pilot: k.node, Zone: zone, Heard: now, Opinions: opinions}
	c.fresh[k.node] = true
}

// news are the votes that other lighthouses are to be told.
func (c *council) news() []muster.Vote {
	var out []muster.Vote
	for node := range c.fresh {
		out = append(out, c.votes[node])
	}
	clear(c.fresh)
	return out
}

// hosts are the endpoints that are known.
func (c *council) hosts(now time.Time) []muster.Host {
	var out []muster.Host
	for _, k := range c.l.registry.All() {
		if e := k.Endpoint; e != nil && e.State != beacon.Gone {
			out = append(out, muster.Host{
				Life: e.ID, Service: e.Target, Zone: k.Zone, Serving: k.Takes(), Anew: now.Sub(c.l.registry.Began(k.Node)) <= c.bounds.Window,
			})
		}
	}
	return out
}

// tick asks about lives that are found unwell, and orders what was agreed on, if it is this lighthouse's turn.
func (c *council) tick(now time.Time) {
	for node, v := range c.votes {
		if now.Sub(v.Heard) > c.bounds.Window {
			delete(c.votes, node)
		}
	}
	var in []muster.Removal
	f := c.l.contact.InForce()
	if f != nil {
		in = f.Removals
	}
	if len(c.votes) == 0 && len(in) == 0 {
		c.ask(nil)
		return
	}
	hosts := c.hosts(now)
	votes := make([]muster.Vote, 0, len(c.votes))
	for _, v := range c.votes {
		votes = append(votes, v)
	}
	c.ask(muster.Asked(c.bounds, hosts, muster.Cases(c.bounds, now, hosts, votes)))
	if !c.l.sighted() || c.l.stood.Just(now) || c.under {
		return
	}
	c.remember(now, in)
	next, changed := muster.Decide(c.bounds, now, hosts, votes, in, func(life string) time.Duration { return now.Sub(c.since[life]) })
	if !changed {
		c.due = time.Time{}
		return
	}
	if c.due.IsZero() {
		c.due = now
	}
	if now.Sub(c.due) < c.l.pace(time.Duration(c.place())*turnTime) {
		return
	}
	c.order(next, f)
}

// remember notes since when lives are out.
func (c *council) remember(now time.Time, in []muster.Removal) {
	out := map[string]time.Time{}
	for _, r := range in {
		if r.Back {
			continue
		}
		if out[r.Life] = c.since[r.Life]; out[r.Life].IsZero() {
			out[r.Life] = now
		}
	}
	c.since = out
}

// place is how many lighthouses come before this one.
func (c *council) place() int {
	return max(slices.IndexFunc(c.l.machines(), func(m lamp.Machine) bool { return m.IP == c.l.s.IP }), 0)
}

// ask has pilots asked about lives, if these are others than before.
func (c *council) ask(lives []string) {
	if slices.Equal(lives, c.asked) {
		return
	}
	c.asked = lives
	for k := range c.l.pilots {
		c.l.tell(k, lamp.Down{Asked: &lamp.Question{Put: true, Lives: lives}, Sighted: k.sight})
	}
}

// order has the keepers hold the removals that were agreed on.
func (c *council) order(next []muster.Removal, f *keeper.InForce) {
	c.under = true
	c.l.store.order(&keeper.Order{Kind: keeper.SetRemovals, Removals: next, Base: f.Removed}, time.Now(), func(r *keeper.Result) {
		c.under, c.due = false, time.Time{}
		log := c.l.log.Info()
		for _, out := range next {
			if !out.Back {
				log = log.Str("out", out.Life)
			}
		}
		log.Int("removals", len(next)).Int("status", int(r.Status)).Str("why", r.Why).Msg("removals ordered")
	})
}
