package discovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletmast/internal/mesh/consensus"
	"milletmast/internal/mesh/controlstate"
	"milletmast/internal/mesh/outlier"
)

const patience = 5 * time.Second

// history is what was in force after each agreement: numbers and epochs only rise.
func history(t *rapid.T) []controlstate.Snapshot {
	now := controlstate.Snapshot{Epoch: 1, ConfigVersion: 1, Config: []byte("1")}
	zones := map[string]controlstate.Evacuation{}
	out := []controlstate.Snapshot{now}
	for range rapid.IntRange(1, 12).Draw(t, "agreements") {
		switch rapid.IntRange(0, 3).Draw(t, "agreed on") {
		case 0:
			now.ConfigVersion += uint64(rapid.IntRange(1, 3).Draw(t, "higher"))
			now.Config = []byte(fmt.Sprint(now.ConfigVersion))
		case 1:
			zone := fmt.Sprint("z", rapid.IntRange(0, 1).Draw(t, "zone"))
			e := zones[zone]
			zones[zone] = controlstate.Evacuation{Zone: zone, Version: consensus.Version{Number: e.Version.Number + 1, Proposer: "d"}, Active: !e.Active}
		case 2:
			now.EjectionsVersion = consensus.Version{Number: now.EjectionsVersion.Number + 1, Proposer: "d"}
			now.Ejections = []outlier.Ejection{{InstanceID: "i", Count: int(now.EjectionsVersion.Number)}}
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
	from  string // of a control plane; "" for a proxy's
	at    int    // of the history: it is that old
	lease bool
}

func (w told) in(c *ClientState, now time.Time, all []controlstate.Snapshot) {
	f := all[w.at]
	f.Confirmed = w.lease
	if w.from == "" {
		c.HandleSnapshot(FromProxy, &f)
		return
	}
	c.HandleControlMessage(now, w.from, &ControlMessage{Snapshot: &f, HasContact: w.lease})
}

// newer tells whether a is at least as new as b in all keys.
func newer(a, b *controlstate.Snapshot) bool {
	o := NewMergedState()
	o.Merge(b)
	return o.IsContainedIn(a)
}

// Two proxies hear the same words in any order, and between them those of a control plane that is cut off, with and without the belief that
// it has contact: neither ever goes by something older than what it was told under a lease, nor, once it goes by a word of one with
// contact, by one of nobody with contact; and in the end both go by the newest.
func TestProxiesOfAnIsolatedControlPlaneConverge(t *testing.T) {
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
		var ends []*controlstate.Snapshot
		for n := range 2 {
			c := NewClientState(start, Limits{KeepMissing: time.Hour, ContactTimeout: patience})
			now := start
			var epoch uint64
			floor := NewMergedState() // what it was told under a lease, by nobody of an older epoch
			leased := false
			for _, w := range rapid.Permutation(words).Draw(t, fmt.Sprint("order of ", n)) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				c.CheckContactTimeout(now)
				before := c.Snapshot()
				w.in(c, now, all)
				f := all[w.at]
				if w.lease && (w.from == "" || f.Epoch >= epoch) {
					epoch = max(epoch, f.Epoch)
					floor.Merge(&f)
					leased = true
				} else if c.Trust() == Certain && !newer(before, c.Snapshot()) {
					t.Fatalf("a word of one without contact, or of an older epoch, changes %+v to %+v", before, c.Snapshot())
				}
				if held := c.Snapshot(); !floor.IsContainedIn(held) || !newer(held, before) {
					t.Fatalf("goes by %+v after it was told %+v under a lease and went by %+v", held, floor.Snapshot(), before)
				}
				if c.Trust() == Certain && !leased {
					t.Fatal("certain, and nobody with contact told it anything")
				}
			}
			ends = append(ends, c.Snapshot())
		}
		want := all[last]
		want.Confirmed = true
		for n, f := range ends {
			if !f.Equal(&want) || fmt.Sprint(f.Ejections) != fmt.Sprint(want.Ejections) {
				t.Fatalf("proxy %d goes by %+v in the end, want %+v", n, f, want)
			}
		}
	})
}

// A new proxy goes by no word of a control plane without contact while another has it or a proxy goes by a configuration; if nobody can be
// reached for long, by the newest that anybody told, and says so, until one with contact says what is in force.
func TestNewProxyAndControlPlaneWithoutContact(t *testing.T) {
	word := func(version uint64, settled bool) *controlstate.Snapshot {
		return &controlstate.Snapshot{ConfigVersion: version, Config: []byte(fmt.Sprint(version)), Confirmed: settled, Epoch: 1}
	}
	c := NewClientState(start, Limits{ContactTimeout: patience})
	goes := func(when string, version uint64, s TrustLevel) {
		t.Helper()
		if _, held := c.Config(); held != version || c.Trust() != s {
			t.Errorf("%s: it goes by r%d, %v; want r%d, %v", when, held, c.Trust(), version, s)
		}
	}
	c.HandleControlMessage(start, "cut", &ControlMessage{Snapshot: word(3, false)})
	goes("told by one without contact", 0, Waiting)
	if c.WantsLastKnown(start.Add(patience - askBefore - 1)) {
		t.Error("it asks for the last that is known at once")
	}
	c.HandleControlMessage(start, "good", &ControlMessage{HasContact: true})
	late := start.Add(2 * patience)
	c.CheckContactTimeout(late)
	goes("while another has contact and has not told it yet", 0, Waiting)
	c.ControlPlaneLost(late, "good")
	c.HandleSnapshot(FromProxy, word(4, false))
	c.CheckContactTimeout(late.Add(patience - 1))
	goes("before its patience ends", 0, Waiting)
	if !c.WantsLastKnown(late.Add(patience - askBefore)) {
		t.Error("it does not ask for the last that is known")
	}
	if ch := c.CheckContactTimeout(late.Add(patience)); !ch.Config {
		t.Error("nothing changes as its patience ends")
	}
	goes("as its patience ends", 4, Uncertain)
	c.HandleControlMessage(late, "cut", &ControlMessage{Snapshot: word(5, false)})
	goes("told a newer one", 5, Uncertain)
	if f := c.Snapshot(); f.Confirmed {
		t.Error("it tells other proxies that it is certain")
	}
	c.HandleControlMessage(late, "good", &ControlMessage{Snapshot: word(4, true), HasContact: true})
	goes("told by one with contact of an older one", 5, Uncertain)
	c.HandleControlMessage(late, "good", &ControlMessage{Snapshot: word(6, true), HasContact: true})
	goes("told by one with contact", 6, Certain)
	c.HandleControlMessage(late, "cut", &ControlMessage{Snapshot: word(9, false)})
	c.CheckContactTimeout(late.Add(time.Hour))
	goes("told by one without contact again", 6, Certain)
	old := word(8, true)
	old.Epoch = 0
	c.HandleControlMessage(late, "cut", &ControlMessage{Snapshot: old, HasContact: true})
	goes("told of an older epoch", 6, Certain)
	if c.HasContact("cut") || c.LacksConfig("cut") {
		t.Error("one of an older epoch counts as having contact")
	}
	c = NewClientState(start, Limits{ContactTimeout: patience})
	c.HandleSnapshot(FromProxy, word(2, true))
	goes("told by a proxy that is certain", 2, Certain)
}
