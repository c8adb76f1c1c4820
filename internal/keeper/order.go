package keeper

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"strings"
	"time"

	"whinknot/internal/chart"
	"whinknot/internal/muster"
	"whinknot/internal/signal"
	"whinknot/internal/tide"
)

// serveBoat serves a lighthouse: its orders, and what is in force.
func (k *Keeper) serveBoat(conn *signal.Conn) {
	b := signal.NewOutbox(conn, boatQueue)
	k.running.Go(b.Run)
	k.loop.Post(func() {
		k.boats[b] = true
		b.Say(&Word{InForce: k.inForce(), Core: k.core()})
	})
	defer k.loop.Post(func() { delete(k.boats, b) })
	for {
		var o Order
		if conn.Receive(&o) != nil {
			return
		}
		if o.Kind == Beat {
			id := o.ID
			k.loop.Post(func() { b.Say(&Word{Beat: id, Lease: k.lease(time.Now())}) })
			continue
		}
		k.loop.Post(func() {
			k.carryOut(&o, func(r *Result) { r.ID = o.ID; b.Say(&Word{Result: r, InForce: k.inForce()}) })
		})
	}
}

// boatQueue is how many words a lighthouse may be behind.
const boatQueue = 64

// inForce is what a majority is known to hold. For a while after its start a keeper tells all of that or nothing: who heard of a
// configuration without the evacuations that go with it would send into a zone that is to get nothing.
func (k *Keeper) inForce() *InForce {
	f := &InForce{Settled: k.lease(time.Now()) > 0, Epoch: k.set.Number}
	for _, e := range k.copy.All() {
		s, ok := k.settled[e.Key]
		if !ok || s.Compare(e.Stamp) != 0 {
			if time.Since(k.begun) < wholeWait {
				return &InForce{}
			}
			continue
		}
		if e.Key == configKey {
			f.Config, f.Version = e.Body, e.Stamp.Number
		} else if e.Key == removalsKey {
			f.Removals, f.Removed = k.removals(&e), e.Stamp
		} else if zone, ok := strings.CutPrefix(e.Key, evacPrefix); ok {
			f.Evacuations = append(f.Evacuations, Evacuation{zone, e.Stamp, string(e.Body) == evacuated})
		}
	}
	return f
}

const (
	evacuated = "on"
	restored  = "off"
)

// inSight tells whether a majority of the disks that count answers.
func (k *Keeper) inSight() bool {
	seen := map[string]bool{k.me.Disk: true}
	for _, p := range k.peers {
		if p.alive() {
			seen[p.member.Disk] = true
		}
	}
	return k.set.Reached(seen)
}

// lease is how much longer what this keeper told is in force.
func (k *Keeper) lease(now time.Time) time.Duration {
	if !k.inSight() {
		return 0
	}
	return silence
}

// core are the keepers known, this one among them.
func (k *Keeper) core() []tide.Member {
	out := []tide.Member{k.me}
	for _, p := range k.peers {
		if p.alive() {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b tide.Member) int { return strings.Compare(a.Addr, b.Addr) })
	return out
}

// tell tells lighthouses what is in force, if that is other than what they were told last.
func (k *Keeper) tell() {
	now := k.inForce()
	if k.lastTold.Same(now) {
		return
	}
	k.lastTold = now
	for b := range k.boats {
		b.Say(&Word{InForce: now, Core: k.core()})
	}
}

// carryOut begins an order; then gets its result, once.
func (k *Keeper) carryOut(o *Order, then func(*Result)) {
	by := time.Now().Add(orderTime)
	switch o.Kind {
	case PutConfig:
		c, err := chart.Parse(o.Body)
		if err != nil {
			then(&Result{Status: Refused, Why: err.Error()})
			return
		}
		k.put(tide.Entry{Key: configKey, Stamp: tide.Stamp{Number: c.Version}, Body: o.Body}, by, then)
	case ReadConfig:
		k.collect(configKey, by, func(e *tide.Entry, ok bool) {
			switch {
			case !ok:
				then(&Result{Status: Unclear, Why: "no majority of the disks could be asked"})
			case e == nil:
				then(&Result{Status: Absent, Why: "there is no configuration yet"})
			default:
				k.put(*e, by, func(r *Result) {
					if r.Status == Done {
						held, _ := k.copy.Get(configKey)
						r.Body = held.Body
					}
					then(r)
				})
			}
		})
	case BeginEvacuation, FinishEvacuation:
		k.evacuate(o, by, then)
	case SetRemovals:
		k.remove(o, by, then)
	default:
		then(&Result{Status: Refused, Why: fmt.Sprintf("order %d is unknown", o.Kind)})
	}
}

// removals reads the removals of an entry.
func (k *Keeper) removals(e *tide.Entry) (out []muster.Removal) {
	if err := gob.NewDecoder(bytes.NewReader(e.Body)).Decode(&out); err != nil {
		k.log.Error().Err(err).Msg("removals cannot be read")
	}
	return out
}

// remove puts other removals in the place of those that they were decided on.
func (k *Keeper) remove(o *Order, by time.Time, then func(*Result)) {
	var text bytes.Buffer
	if err := gob.NewEncoder(&text).Encode(o.Removals); err != nil || text.Len() > mostRemovals {
		then(&Result{Status: Refused, Why: "the removals cannot be written"})
		return
	}
	k.collect(removalsKey, by, func(e *tide.Entry, ok bool) {
		switch {
		case !ok:
			then(&Result{Status: Unclear, Why: "no majority of the disks could be asked"})
		case e != nil && e.Stamp != o.Base:
			k.mend([]tide.Entry{*e})
			then(&Result{Status: Conflict, Why: "they were decided on otherwise meanwhile"})
		default:
			k.put(tide.Entry{Key: removalsKey, Stamp: tide.Stamp{Number: o.Base.Number + 1, By: k.me.Disk}, Body: text.Bytes()}, by, then)
		}
	})
}

// evacuate draws a number above all that a majority knows of a zone. What is ordered again is known again.
func (k *Keeper) evacuate(o *Order, by time.Time, then func(*Result)) {
	want := evacuated
	if o.Kind == FinishEvacuation {
		want = restored
	}
	key := evacPrefix + o.Zone
	k.collect(key, by, func(e *tide.Entry, ok bool) {
		if !ok {
			then(&Result{Status: Unclear, Why: "no majority of the disks could be asked"})
			return
		}
		next := tide.Entry{Key: key, Stamp: tide.Stamp{Number: 1, By: k.me.Disk}, Body: []byte(want)}
		if e != nil && string(e.Body) == want {
			next = *e
		} else if e != nil {
			next.Stamp.Number = e.Stamp.Number + 1
		}
		k.put(next, by, then)
	})
}

// collect asks a majority for a key, and gives the newest of what it holds.
func (k *Keeper) collect(key string, by time.Time, then func(e *tide.Entry, ok bool)) {
	k.round(Ask{Collect: []string{key}}, by, func(tells []*Tell, ok bool) {
		if !ok {
			then(nil, false)
			return
		}
		var best *tide.Entry
		if e, ok := k.copy.Get(key); ok {
			best = &e
		}
		for _, t := range tells {
			for i := range t.Entries {
				if e := &t.Entries[i]; e.Key == key && (best == nil || e.Stamp.Compare(best.Stamp) > 0) {
					best = e
				}
			}
		}
		then(best, true)
	}, func(*Tell) bool { return true })
}

// put has a majority hold an entry, or a newer one, and then says that it is done.
func (k *Keeper) put(e tide.Entry, by time.Time, then func(*Result)) {
	if held, ok := k.copy.Get(e.Key); ok {
		switch c := held.Stamp.Compare(e.Stamp); {
		case c == 0 && !held.Same(&e):
			then(&Result{Status: Conflict, Why: "another content has this number"})
			return
		case c > 0:
			e = held // what is held instead must last before it is said to be
		}
	}
	if err := k.mend([]tide.Entry{e}); err != nil {
		then(&Result{Status: Unclear, Why: "the disk did not take it"})
		return
	}
	stored := func(t *Tell) bool { return t.Stored }
	k.round(Ask{Offer: []tide.Entry{e}}, by, func(tells []*Tell, ok bool) {
		newer := false
		for _, t := range tells {
			for i := range t.Entries {
				if h := &t.Entries[i]; h.Key == e.Key && h.Stamp.Compare(e.Stamp) > 0 {
					newer = true
					k.mend(t.Entries[i : i+1])
				}
			}
		}
		switch {
		case ok:
			k.settle(e)
			k.spread()
			then(&Result{Status: Done})
		case newer && time.Now().Before(by):
			k.put(e, by, then)
		default:
			then(&Result{Status: Unclear, Why: "no majority of the disks holds it yet"})
		}
	}, stored)
}

// spread tells every peer at once what a majority holds.
func (k *Keeper) spread() {
	for _, p := range k.peers {
		k.ask(p, Ask{}, func(*Tell) {})
	}
}

// round polls again and again until it is too late, or one that is asked holds something newer.
func (k *Keeper) round(a Ask, by time.Time, then func(tells []*Tell, ok bool), yes func(*Tell) bool) {
	k.poll(a, yes, func(tells []*Tell, ok bool) {
		newer := slices.ContainsFunc(tells, func(t *Tell) bool { return len(t.Entries) > 0 && !yes(t) })
		if ok || newer || time.Now().Add(roundPause).After(by) {
			then(tells, ok)
			return
		}
		time.AfterFunc(roundPause, func() { k.loop.Post(func() { k.round(a, by, then, yes) }) })
	})
}

// poll asks every peer once, and ends as soon as a majority of the disks that count says yes, or all have answered. An answer
// from one that goes by a newer set counts for nothing.
func (k *Keeper) poll(a Ask, yes func(*Tell) bool, then func(tells []*Tell, ok bool)) {
	begun := k.set.Number
	votes := map[string]bool{k.me.Disk: true}
	var tells []*Tell
	ended, waiting := false, len(k.peers)
	end := func(ok bool) {
		if !ended {
			ended = true
			then(tells, ok)
		}
	}
	if k.set.Reached(votes) {
		end(true)
		return
	}
	for _, p := range k.peers {
		k.ask(p, a, func(t *Tell) {
			waiting--
			if t != nil && !t.Behind {
				tells = append(tells, t)
				if yes(t) {
					votes[t.From.Disk] = true
				}
			}
			switch {
			case k.set.Number != begun:
				end(false)
			case k.set.Reached(votes):
				end(true)
			case waiting == 0:
				end(false)
			}
		})
	}
	if waiting == 0 {
		end(false)
	}
}
