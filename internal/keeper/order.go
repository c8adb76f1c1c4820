package keeper

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net"
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
	b := &boat{conn: conn, out: make(chan *Word, 64)}
	end := make(chan struct{})
	k.running.Go(func() {
		for {
			select {
			case w := <-b.out:
				if conn.Send(w) != nil {
					conn.Close()
					return
				}
			case <-end:
				return
			}
		}
	})
	k.post(func() {
		k.boats[b] = true
		b.say(&Word{InForce: k.inForce(), Core: k.core()})
	})
	defer func() {
		close(end)
		k.post(func() { delete(k.boats, b) })
	}()
	for {
		var o Order
		if conn.Receive(&o) != nil {
			return
		}
		if o.Kind == Beat {
			k.post(func() { b.say(&Word{}) })
			continue
		}
		k.post(func() {
			k.carryOut(&o, func(r *Result) { r.ID = o.ID; b.say(&Word{Result: r, InForce: k.inForce()}) })
		})
	}
}

// say tells a lighthouse; one that does not take it is cut off, and comes again.
func (b *boat) say(w *Word) {
	select {
	case b.out <- w:
	default:
		b.conn.Close()
	}
}

// inForce is what a majority is known to hold.
func (k *Keeper) inForce() *InForce {
	f := &InForce{Settled: k.inSight()}
	for _, e := range k.copy.All() {
		s, ok := k.settled[e.Key]
		if !ok || s.Compare(e.Stamp) != 0 {
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
		b.say(&Word{InForce: now, Core: k.core()})
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
			k.settle(e.Key, e.Stamp)
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

// round asks every peer until those that say yes are, with this one, a majority of the disks that count, or it is too late.
// An answer from one that goes by a newer set counts for nothing: it is asked again by that set.
func (k *Keeper) round(a Ask, by time.Time, then func(tells []*Tell, ok bool), yes func(*Tell) bool) {
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
	again := func() {
		if ended {
			return
		}
		if time.Now().Add(roundPause).After(by) {
			end(false)
			return
		}
		newer := false
		for _, t := range tells {
			newer = newer || len(t.Entries) > 0 && !yes(t)
		}
		if newer {
			end(false)
			return
		}
		ended = true
		time.AfterFunc(roundPause, func() { k.post(func() { k.round(a, by, then, yes) }) })
	}
	if k.set.Reached(votes) {
		end(true)
		return
	}
	for _, p := range k.peers {
		k.ask(p, a, func(t *Tell) {
			waiting--
			if t != nil && !t.Behind && !ended {
				tells = append(tells, t)
				if yes(t) {
					votes[t.From.Disk] = true
				}
			}
			if !ended && k.set.Number == begun && k.set.Reached(votes) {
				end(true)
			}
			if waiting == 0 {
				again()
			}
		})
	}
	if waiting == 0 {
		again()
	}
}

// hostOf is the address of a machine.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
