package muster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func never(string) time.Duration { return 0 }

// fleet is n hosts of one service in three zones, and a pilot beside each that finds the first host well.
func fleet(n int) (hosts []Host, pilots []Vote) {
	for i := range n {
		zone := fmt.Sprint("z", i%3)
		hosts = append(hosts, Host{Life: fmt.Sprint("h", i), Service: "s", Zone: zone, Serving: true})
		pilots = append(pilots, Vote{Pilot: fmt.Sprint("p", i), Zone: zone, Heard: start, Opinions: well()})
	}
	return hosts, pilots
}

func well() []Opinion { return []Opinion{{Life: "h0", Service: "s", Calls: 10}} }

// say has pilots say of a life that so many of ten calls were bad.
func say(pilots []Vote, life string, bad func(pilot int) int) {
	for i := range pilots {
		if n := bad(i); n >= 0 {
			pilots[i].Opinions = append(pilots[i].Opinions, Opinion{Life: life, Service: "s", Calls: 10, Bad: n})
		}
	}
}

func TestWhoLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		bad  func(pilot int) int
		want bool
	}{
		"failing for all":               {func(int) int { return 4 }, true},
		"failing for a majority":        {func(p int) int { return 4 * ((p + 1) % 2) }, false}, // six against six
		"failing for more than half":    {func(p int) int { return map[bool]int{true: 4}[p < 7] }, true},
		"for one pilot":                 {func(p int) int { return map[bool]int{true: 10}[p == 3] }, false},
		"for one zone's link":           {func(p int) int { return map[bool]int{true: 10}[p%3 == 1] }, false},
		"for one zone, the rest silent": {func(p int) int { return map[bool]int{true: 10, false: -1}[p%3 == 1] }, false},
		"two that know it":              {func(p int) int { return map[bool]int{true: 10, false: -1}[p < 2] }, false},
		"garbles now and then":          {func(int) int { return 1 }, false},
	} {
		hosts, pilots := fleet(12)
		say(pilots, "h5", c.bad)
		next, changed := Decide(Usual(), start, hosts, pilots, nil, never)
		if got := changed && len(next) == 1 && next[0].Life == "h5"; got != c.want || changed != c.want {
			t.Errorf("%s: removals %v, want one: %v", name, next, c.want)
		}
	}
}

// A host whose pilot has just started anew stays, though all found it unwell: their calls failed as the pilot before was gone. Once that is
// as old as a window, it leaves by what they say then.
func TestAHostWhosePilotStartedAnewStays(t *testing.T) {
	hosts, pilots := fleet(12)
	say(pilots, "h5", func(int) int { return 6 })
	hosts[5].Anew = true
	if next, changed := Decide(Usual(), start, hosts, pilots, nil, never); changed {
		t.Errorf("removed: %v", next)
	}
	hosts[5].Anew = false
	if next, changed := Decide(Usual(), start, hosts, pilots, nil, never); !changed || next[0].Life != "h5" {
		t.Errorf("stays: %v", next)
	}
}

// A host with few callers leaves by the word of its gate and of another; by the gate's alone, or against it, it stays.
func TestTheGateBesideAHost(t *testing.T) {
	for name, c := range map[string]struct {
		gate, caller int
		want         bool
	}{"both": {5, 5, true}, "the gate alone": {5, 0, false}, "its caller alone": {0, 5, false}, "a gate without callers": {5, -1, false}} {
		hosts, pilots := fleet(6)
		pilots[1].Opinions = []Opinion{{Life: "h0", Service: "s", Calls: 10}, {Life: "h1", Service: "s", Calls: 10, Bad: c.gate, Gate: true}}
		say(pilots, "h1", func(p int) int { return map[bool]int{true: c.caller, false: -1}[p == 4] })
		if _, changed := Decide(Usual(), start, hosts, pilots, nil, never); changed != c.want {
			t.Errorf("%s: removed %v", name, changed)
		}
	}
}

// A liar that votes against every host, and one that praises all, remove and keep nobody by themselves; old votes count for
// nothing, and neither do votes on another life.
func TestVotesThatCountForNothing(t *testing.T) {
	hosts, pilots := fleet(12)
	for _, h := range hosts {
		say(pilots, h.Life, func(p int) int { return map[bool]int{true: 10}[p == 0] })
	}
	if next, changed := Decide(Usual(), start, hosts, pilots, nil, never); changed {
		t.Errorf("one liar removes %v", next)
	}
	hosts, pilots = fleet(12)
	say(pilots, "h1", func(p int) int { return map[bool]int{true: 0, false: 5}[p == 0] })
	say(pilots, "an earlier life", func(int) int { return 10 })
	if next, _ := Decide(Usual(), start, hosts, pilots, nil, never); len(next) != 1 || next[0].Life != "h1" {
		t.Errorf("one that praises it keeps a failing host: %v", next)
	}
	if next, changed := Decide(Usual(), start.Add(time.Minute), hosts, pilots, nil, never); changed {
		t.Errorf("old votes remove %v", next)
	}
}

// A host that fails as often as the others of its service stays, and so does one while nobody speaks of any other: what fails is
// behind them, or there is more work than all can do.
func TestWhatFailsForAllIsNoHostsDoing(t *testing.T) {
	for name, c := range map[string]struct {
		others int // bad calls of ten at the others; -1 for no word of them
		want   bool
	}{"others are well": {0, true}, "others fail a little": {1, true}, "others fail too, if less": {2, false}, "no word of others": {-1, false}} {
		hosts, pilots := fleet(12)
		for i := range pilots {
			pilots[i].Opinions = nil
		}
		say(pilots, "h1", func(int) int { return 5 })
		say(pilots, "h2", func(int) int { return c.others })
		if _, changed := Decide(Usual(), start, hosts, pilots, nil, never); changed != c.want {
			t.Errorf("%s: removed %v", name, changed)
		}
	}
	hosts, pilots := fleet(12)
	say(pilots, "h5", func(int) int { return 5 })
	asked := Asked(Usual(), hosts, Cases(Usual(), start, hosts, pilots))
	if len(asked) != 1+Usual().Peers || !slices.Contains(asked, "h5") {
		t.Errorf("asked about %v", asked)
	}
}

// Whatever is said: no more than the stated share of a service is out by removals, and where more looks unwell none goes.
func TestAServiceIsNeverEmptied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Usual()
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		hosts, pilots := fleet(n)
		var in []Removal
		now := start
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			now = now.Add(time.Second)
			for i := range pilots {
				pilots[i].Heard, pilots[i].Opinions = now, nil
			}
			for _, h := range hosts {
				bad := rapid.IntRange(0, 10).Draw(t, "bad")
				say(pilots, h.Life, func(int) int { return bad })
			}
			away := time.Duration(rapid.IntRange(0, 20).Draw(t, "out")) * time.Second
			in, _ = Decide(b, now, hosts, pilots, in, func(string) time.Duration { return away })
			gone := 0
			for _, r := range in {
				if !r.Back {
					gone++
				}
			}
			if float64(gone) > b.Share*float64(n) {
				t.Fatalf("%d of %d are out", gone, n)
			}
		}
	})
}

// A removed life comes back after a time, each time later, and its removal is forgotten with the life.
func TestComingBack(t *testing.T) {
	b := Usual()
	hosts, pilots := fleet(12)
	for times, want := range map[int]time.Duration{1: 8 * time.Second, 2: 16 * time.Second, 3: 32 * time.Second, 4: time.Minute, 9: time.Minute} {
		in := []Removal{{Life: "h1", Service: "s", Times: times}}
		if _, changed := Decide(b, start, hosts, pilots, in, func(string) time.Duration { return want - 1 }); changed {
			t.Errorf("back before %v", want)
		}
		next, changed := Decide(b, start, hosts, pilots, in, func(string) time.Duration { return want })
		if !changed || !next[0].Back {
			t.Errorf("not back after %v", want)
		}
	}
	if next, changed := Decide(b, start, hosts[2:], pilots, []Removal{{Life: "h1", Service: "s", Times: 3}}, never); !changed || len(next) != 0 {
		t.Errorf("a life that is over stays removed: %v", next)
	}
}

// A pilot that finds most of what it calls silent says nothing of anybody; one that sees one host fail says so.
func TestAWitnessKnowsWhenItIsTheOneThatIsUnwell(t *testing.T) {
	see := func(kind func(life int) Kind) []Opinion {
		w := NewWitness(Usual())
		for i := range 10 {
			for life := range 4 {
				w.Saw(start.Add(time.Duration(i)*100*time.Millisecond), "s", fmt.Sprint("h", life), kind(life))
			}
		}
		return w.Opinions(start.Add(time.Second))
	}
	if got := see(func(int) Kind { return Silent }); len(got) > 0 {
		t.Errorf("cut off, it says %v", got)
	}
	got := see(func(life int) Kind { return map[bool]Kind{true: Silent}[life == 2] })
	b := Usual()
	for i := range got {
		if b.Unwell(&got[i]) != (got[i].Life == "h2") {
			t.Errorf("of %s it says %+v", got[i].Life, got[i])
		}
	}
	if len(got) != 4 {
		t.Errorf("%d opinions", len(got))
	}
	w := NewWitness(b)
	w.Saw(start, "s", "h", Failed)
	if got := w.Opinions(start.Add(time.Minute)); len(got) > 0 {
		t.Errorf("old calls tell %v", got)
	}
}
