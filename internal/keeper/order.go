package keeper

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"strings"
	"time"

	"whinknot/internal/chart"
	"whinknot/internal/signal"
	"whinknot/internal/tide"
)

const (
	configKey    = "config"
	evacPrefix   = "evacuation/"
	removalsKey  = "removals"
	mostRemovals = 1 << 20 // bytes
	boatQueue    = 64      // how many words a lighthouse may be behind
	evacuated    = "on"
	restored     = "off"
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

// lease is how much longer what this keeper told is in force, by a quorum's word.
func (k *Keeper) lease(now time.Time) time.Duration {
	if k.mute {
		return 0
	}
	return k.replica.Lease(now)
}

// inForce is what is known to be chosen. Before the first lease a keeper tells nothing: it may hold a part, or what is long overtaken.
func (k *Keeper) inForce() *InForce {
	settled := k.lease(time.Now()) > 0
	if k.known = k.known || settled; !k.known {
		return &InForce{Epoch: k.replica.Set().Epoch}
	}
	f, err := Tell(settled, k.replica.Set().Epoch, k.replica.Chosen())
	if err != nil {
		k.log.Error().Err(err).Msg("removals cannot be read")
	}
	return f
}

// Tell is what is in force by what is known to be chosen, settled if that is so under a lease; with an error, without the removals.
func Tell(settled bool, epoch uint64, chosen []tide.Register) (f *InForce, err error) {
	f = &InForce{Settled: settled, Epoch: epoch}
	for _, r := range chosen {
		if r.Key == configKey {
			f.Config, f.Version = r.Value.Body, r.Value.Stamp.Number
		} else if r.Key == removalsKey {
			f.Removed = r.Value.Stamp
			err = gob.NewDecoder(bytes.NewReader(r.Value.Body)).Decode(&f.Removals)
		} else if zone, ok := strings.CutPrefix(r.Key, evacPrefix); ok {
			f.Evacuations = append(f.Evacuations, Evacuation{zone, r.Value.Stamp, string(r.Value.Body) == evacuated})
		}
	}
	return f, err
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
	c := tide.Change{By: k.replica.Me().Disk, Within: o.Within}
	switch o.Kind {
	case PutConfig:
		parsed, err := chart.Parse(o.Body)
		if err != nil {
			then(&Result{Status: Refused, Why: err.Error()})
			return
		}
		c.Kind, c.Key, c.Stamp, c.Body = tide.Replace, configKey, tide.Stamp{Number: parsed.Version}, o.Body
	case ReadConfig:
		c.Kind, c.Key = tide.Read, configKey
	case BeginEvacuation:
		c.Kind, c.Key, c.Body = tide.Assign, evacPrefix+o.Zone, []byte(evacuated)
	case FinishEvacuation:
		c.Kind, c.Key, c.Body = tide.Assign, evacPrefix+o.Zone, []byte(restored)
	case SetRemovals:
		var text bytes.Buffer
		if err := gob.NewEncoder(&text).Encode(o.Removals); err != nil || text.Len() > mostRemovals {
			then(&Result{Status: Refused, Why: "the removals cannot be written"})
			return
		}
		c.Kind, c.Key, c.Stamp, c.Body = tide.Swap, removalsKey, o.Base, text.Bytes()
	default:
		then(&Result{Status: Refused, Why: fmt.Sprintf("order %d is unknown", o.Kind)})
		return
	}
	if k.mute {
		then(&Result{Status: Unclear, Why: "the disk takes no writes"})
		return
	}
	if k.stood.Just(time.Now()) {
		then(&Result{Status: Unclear, Why: "this keeper stood still, and the order may be old"})
		return
	}
	k.lastID++
	k.orders[k.lastID] = func(r tide.Result) { then(k.resultOf(&c, &r)) }
	k.act(k.replica.Order(time.Now(), k.lastID, c))
}

// resultOf is what a lighthouse is told of an order.
func (k *Keeper) resultOf(c *tide.Change, r *tide.Result) *Result {
	switch {
	case r.Outcome == tide.Conflict && c.Kind == tide.Swap:
		return &Result{Status: Conflict, Why: "they were decided on otherwise meanwhile"}
	case r.Outcome == tide.Conflict:
		return &Result{Status: Conflict, Why: "another content has this number"}
	case r.Outcome != tide.Done:
		return &Result{Status: Unclear, Why: "no majority of the disks could be asked, or it is not clear yet"}
	case c.Kind == tide.Read && r.Value == nil:
		return &Result{Status: Absent, Why: "there is no configuration yet"}
	case c.Kind == tide.Read:
		return &Result{Status: Done, Body: r.Value.Body}
	case c.Kind == tide.Replace && r.Value != nil && c.Stamp.Number < r.Value.Stamp.Number:
		k.log.Info().Uint64("version", c.Stamp.Number).Uint64("newer", r.Value.Stamp.Number).Str("before", before(r.Value.Past, c)).Msg("an older configuration alters nothing")
	}
	return &Result{Status: Done}
}

// before says what is remembered of an older version.
func before(past []tide.Past, c *tide.Change) string {
	i := slices.IndexFunc(past, func(p tide.Past) bool { return p.Number == c.Stamp.Number })
	switch {
	case i < 0:
		return "not remembered"
	case past[i].Sum == tide.Sum(c.Body):
		return "in force once"
	}
	return "another content had its number"
}
