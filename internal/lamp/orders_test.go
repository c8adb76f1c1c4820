package lamp

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"whinknot/internal/keeper"
	"whinknot/internal/muster"
	"whinknot/internal/tide"
)

const patience = 5 * time.Second

// history is what was in force after each agreement: numbers and epochs only rise.
func history(t *rapid.T) []keeper.InForce {
	now := keeper.InForce{Epoch: 1, Version: 1, Config: []byte("1")}
	zones := map[string]keeper.Evacuation{}
	out := []keeper.InForce{now}
	for range rapid.IntRange(1, 12).Draw(t, "agreements") {
		switch rapid.IntRange(0, 3).Draw(t, "agreed on") {
		case 0:
			now.Version += uint64(rapid.IntRange(1, 3).Draw(t, "higher"))
			now.Config = []byte(fmt.Sprint(now.Version))
		case 1:
			zone := fmt.Sprint("z", rapid.IntRange(0, 1).Draw(t, "zone"))
			e := zones[zone]
			zones[zone] = keeper.Evacuation{Zone: zone, Stamp: tide.Stamp{Number: e.Stamp.Number + 1, By: "d"}, On: !e.On}
		case 2:
			now.Removed = tide.Stamp{Number: now.Removed.Number + 1, By: "d"}
			now.Removals = []muster.Removal{{Life: "i", Times: int(now.Removed.Number)}}
		default:
			now.Epoch++
		}
		now.Evacuations = nil
		for _, z := range []string{"z0", "z1"} {
			if e, ok := zones[z]; ok {
				now.Evacuations = append(now.Evacuations, e)
			}
		}
		out = append(out, now)
	}
	return out
}

// told is one word of what was ordered.
type told struct {
	from  string // of a lighthouse; "" for a pilot's
	at    int    // of the history: it is that old
	lease bool
}

func (w told) in(c *Chartroom, now time.Time, all []keeper.InForce) {
	f := all[w.at]
	f.Settled = w.lease
	if w.from == "" {
		c.Ordered(Pilot, &f)
		return
	}
	c.Hear(now, w.from, &Down{InForce: &f, Sighted: w.lease})
}

// newer tells whether a is at least as new as b in all keys.
func newer(a, b *keeper.InForce) bool {
	o := NewOrders()
	o.Raise(b)
	return o.Within(a)
}

// Two pilots hear the same words in any order, and between them those of a lighthouse that is cut off, with and without the belief that
// it has contact: neither ever goes by something older than what it was told under a lease, nor, once it goes by a word of one with
// contact, by one of nobody with contact; and in the end both go by the newest.
func TestPilotsThatHearACutOffLighthouseAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := history(t)
		last := len(all) - 1
		words := []told{{"l0", last, true}}
		for range rapid.IntRange(0, 15).Draw(t, "words") {
			w := told{from: rapid.SampledFrom([]string{"", "l0", "l1", "cut"}).Draw(t, "from"), at: rapid.IntRange(0, last).Draw(t, "old")}
			// One that froze says under a lease what was in force then, and is heard late; one that is cut off says that it has none.
			w.lease = rapid.Bool().Draw(t, "under a lease")
			words = append(words, w)
		}
		var ends []*keeper.InForce
		for n := range 2 {
			c := NewChartroom(start, Bounds{Keep: time.Hour, Patience: patience})
			now := start
			var epoch uint64
			floor := NewOrders() // what it was told under a lease, by nobody of an older epoch
			leased := false
			for _, w := range rapid.Permutation(words).Draw(t, fmt.Sprint("order of ", n)) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				c.Due(now)
				before := c.InForce()
				w.in(c, now, all)
				f := all[w.at]
				if w.lease && (w.from == "" || f.Epoch >= epoch) {
					epoch = max(epoch, f.Epoch)
					floor.Raise(&f)
					leased = true
				} else if c.Standing() == Certain && !newer(before, c.InForce()) {
					t.Fatalf("a word of one without contact, or of an older epoch, changes %+v to %+v", before, c.InForce())
				}
				if held := c.InForce(); !floor.Within(held) || !newer(held, before) {
					t.Fatalf("goes by %+v after it was told %+v under a lease and went by %+v", held, floor.InForce(), before)
				}
				if c.Standing() == Certain && !leased {
					t.Fatal("certain, and nobody with contact told it anything")
				}
			}
			ends = append(ends, c.InForce())
		}
		want := all[last]
		want.Settled = true
		for n, f := range ends {
			if !f.Same(&want) || fmt.Sprint(f.Removals) != fmt.Sprint(want.Removals) {
				t.Fatalf("pilot %d goes by %+v in the end, want %+v", n, f, want)
			}
		}
	})
}

// A new pilot goes by no word of a lighthouse without contact while another has it or a pilot goes by a configuration; if nobody can be
// reached for long, by the newest that anybody told, and says so, until one with contact says what is in force.
func TestANewPilotAndOneWithoutContact(t *testing.T) {
	word := func(version uint64, settled bool) *keeper.InForce {
		return &keeper.InForce{Version: version, Config: []byte(fmt.Sprint(version)), Settled: settled, Epoch: 1}
	}
	c := NewChartroom(start, Bounds{Patience: patience})
	goes := func(when string, version uint64, s Standing) {
		t.Helper()
		if _, held := c.Config(); held != version || c.Standing() != s {
			t.Errorf("%s: it goes by r%d, %v; want r%d, %v", when, held, c.Standing(), version, s)
		}
	}
	c.Hear(start, "cut", &Down{InForce: word(3, false)})
	goes("told by one without contact", 0, Waiting)
	if c.Asks(start.Add(patience - gather - 1)) {
		t.Error("it asks for the last that is known at once")
	}
	c.Hear(start, "good", &Down{Sighted: true})
	late := start.Add(2 * patience)
	c.Due(late)
	goes("while another has contact and has not told it yet", 0, Waiting)
	c.Lose(late, "good")
	c.Ordered(Pilot, word(4, false))
	c.Due(late.Add(patience - 1))
	goes("before its patience ends", 0, Waiting)
	if !c.Asks(late.Add(patience - gather)) {
		t.Error("it does not ask for the last that is known")
	}
	if ch := c.Due(late.Add(patience)); !ch.Config {
		t.Error("nothing changes as its patience ends")
	}
	goes("as its patience ends", 4, Uncertain)
	c.Hear(late, "cut", &Down{InForce: word(5, false)})
	goes("told a newer one", 5, Uncertain)
	if f := c.InForce(); f.Settled {
		t.Error("it tells other pilots that it is certain")
	}
	c.Hear(late, "good", &Down{InForce: word(4, true), Sighted: true})
	goes("told by one with contact of an older one", 5, Uncertain)
	c.Hear(late, "good", &Down{InForce: word(6, true), Sighted: true})
	goes("told by one with contact", 6, Certain)
	c.Hear(late, "cut", &Down{InForce: word(9, false)})
	c.Due(late.Add(time.Hour))
	goes("told by one without contact again", 6, Certain)
	old := word(8, true)
	old.Epoch = 0
	c.Hear(late, "cut", &Down{InForce: old, Sighted: true})
	goes("told of an older epoch", 6, Certain)
	if c.Sighted("cut") || c.Lacks("cut") {
		t.Error("one of an older epoch counts as having contact")
	}
	c = NewChartroom(start, Bounds{Patience: patience})
	c.Ordered(Pilot, word(2, true))
	goes("told by a pilot that is certain", 2, Certain)
}
