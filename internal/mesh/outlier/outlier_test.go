package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func never(string) time.Duration { return 0 }

// fleet is n hosts of one service in three zones, and a proxy beside each that finds the first host well.
func fleet(n int) (hosts []Instance, proxies []Vote) {
	for i := range n {
		zone := fmt.Sprint("z", i%3)
		hosts = append(hosts, Instance{ID: fmt.Sprint("h", i), Service: "s", Zone: zone, Serving: true})
		proxies = append(proxies, Vote{Node: fmt.Sprint("p", i), Zone: zone, ReceivedAt: start, Opinions: well()})
	}
	return hosts, proxies
}

func well() []Opinion { return []Opinion{{InstanceID: "h0", Service: "s", Calls: 10}} }

// say has proxies say of an instance that so many of ten calls were bad.
func say(proxies []Vote, instance string, bad func(proxy int) int) {
	for i := range proxies {
		if n := bad(i); n >= 0 {
			proxies[i].Opinions = append(proxies[i].Opinions, Opinion{InstanceID: instance, Service: "s", Calls: 10, Failures: n})
		}
	}
}

func TestLeave(t *testing.T) {
	for name, c := range map[string]struct {
		bad  func(proxy int) int
		want bool
	}{
		"failing for all":               {func(int) int { return 4 }, true},
		"failing for a majority":        {func(p int) int { return 4 * ((p + 1) % 2) }, false}, // six against six
		"failing for more than half":    {func(p int) int { return map[bool]int{true: 4}[p < 7] }, true},
		"for one proxy":                 {func(p int) int { return map[bool]int{true: 10}[p == 3] }, false},
		"for one zone's link":           {func(p int) int { return map[bool]int{true: 10}[p%3 == 1] }, false},
		"for one zone, the rest silent": {func(p int) int { return map[bool]int{true: 10, false: -1}[p%3 == 1] }, false},
		"two that know it":              {func(p int) int { return map[bool]int{true: 10, false: -1}[p < 2] }, false},
		"garbles now and then":          {func(int) int { return 1 }, false},
	} {
		hosts, proxies := fleet(12)
		say(proxies, "h5", c.bad)
		next, changed := Decide(DefaultLimits(), start, hosts, proxies, nil, never)
		if got := changed && len(next) == 1 && next[0].InstanceID == "h5"; got != c.want || changed != c.want {
			t.Errorf("%s: removals %v, want one: %v", name, next, c.want)
		}
	}
}

// A host whose proxy has just started anew stays, though all found it unhealthy: their calls failed as the proxy before was gone. Once that is
// as old as a window, it leaves by what they say then.
func TestInstanceWithRestartedProxyIsNotEjected(t *testing.T) {
	hosts, proxies := fleet(12)
	say(proxies, "h5", func(int) int { return 6 })
	hosts[5].ProxyRestarted = true
	if next, changed := Decide(DefaultLimits(), start, hosts, proxies, nil, never); changed {
		t.Errorf("removed: %v", next)
	}
	hosts[5].ProxyRestarted = false
	if next, changed := Decide(DefaultLimits(), start, hosts, proxies, nil, never); !changed || next[0].InstanceID != "h5" {
		t.Errorf("stays: %v", next)
	}
}

// A host with few callers leaves by the word of its gate and of another; by admission control's alone, or against it, it stays.
func TestOpinionOfTheEndpointProxy(t *testing.T) {
	for name, c := range map[string]struct {
		gate, caller int
		want         bool
	}{"both": {5, 5, true}, "the gate alone": {5, 0, false}, "its caller alone": {0, 5, false}, "a gate without callers": {5, -1, false}} {
		hosts, proxies := fleet(6)
		proxies[1].Opinions = []Opinion{{InstanceID: "h0", Service: "s", Calls: 10}, {InstanceID: "h1", Service: "s", Calls: 10, Failures: c.gate, FromEndpointProxy: true}}
		say(proxies, "h1", func(p int) int { return map[bool]int{true: c.caller, false: -1}[p == 4] })
		if _, changed := Decide(DefaultLimits(), start, hosts, proxies, nil, never); changed != c.want {
			t.Errorf("%s: removed %v", name, changed)
		}
	}
}

// A liar that votes against every host, and one that praises all, remove and keep nobody by themselves; old votes count for
// nothing, and neither do votes on another life.
func TestVotesThatAreIgnored(t *testing.T) {
	hosts, proxies := fleet(12)
	for _, h := range hosts {
		say(proxies, h.ID, func(p int) int { return map[bool]int{true: 10}[p == 0] })
	}
	if next, changed := Decide(DefaultLimits(), start, hosts, proxies, nil, never); changed {
		t.Errorf("one liar removes %v", next)
	}
	hosts, proxies = fleet(12)
	say(proxies, "h1", func(p int) int { return map[bool]int{true: 0, false: 5}[p == 0] })
	say(proxies, "an earlier life", func(int) int { return 10 })
	if next, _ := Decide(DefaultLimits(), start, hosts, proxies, nil, never); len(next) != 1 || next[0].InstanceID != "h1" {
		t.Errorf("one that praises it keeps a failing host: %v", next)
	}
	if next, changed := Decide(DefaultLimits(), start.Add(time.Minute), hosts, proxies, nil, never); changed {
		t.Errorf("old votes remove %v", next)
	}
}

// A host that fails as often as the others of its service stays, and so does one while nobody speaks of any other: what fails is
// behind them, or there is more work than all can do.
func TestCommonFailureEjectsNobody(t *testing.T) {
	for name, c := range map[string]struct {
		others int // bad calls of ten at the others; -1 for no word of them
		want   bool
	}{"others are well": {0, true}, "others fail a little": {1, true}, "others fail too, if less": {2, false}, "no word of others": {-1, false}} {
		hosts, proxies := fleet(12)
		for i := range proxies {
			proxies[i].Opinions = nil
		}
		say(proxies, "h1", func(int) int { return 5 })
		say(proxies, "h2", func(int) int { return c.others })
		if _, changed := Decide(DefaultLimits(), start, hosts, proxies, nil, never); changed != c.want {
			t.Errorf("%s: removed %v", name, changed)
		}
	}
	hosts, proxies := fleet(12)
	say(proxies, "h5", func(int) int { return 5 })
	asked := InstancesToPoll(DefaultLimits(), hosts, TallyVotes(DefaultLimits(), start, hosts, proxies))
	if len(asked) != 1+DefaultLimits().ComparedInstances || !slices.Contains(asked, "h5") {
		t.Errorf("asked about %v", asked)
	}
}

// Whatever is said: no more than the stated share of a service is out by ejections, and where more looks unhealthy none goes.
func TestEjectionIsBoundedByShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := DefaultLimits()
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		hosts, proxies := fleet(n)
		var in []Ejection
		now := start
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			now = now.Add(time.Second)
			for i := range proxies {
				proxies[i].ReceivedAt, proxies[i].Opinions = now, nil
			}
			for _, h := range hosts {
				bad := rapid.IntRange(0, 10).Draw(t, "bad")
				say(proxies, h.ID, func(int) int { return bad })
			}
			away := time.Duration(rapid.IntRange(0, 20).Draw(t, "out")) * time.Second
			in, _ = Decide(b, now, hosts, proxies, in, func(string) time.Duration { return away })
			gone := 0
			for _, r := range in {
				if !r.Returned {
					gone++
				}
			}
			if float64(gone) > b.MaxEjectedShare*float64(n) {
				t.Fatalf("%d of %d are out", gone, n)
			}
		}
	})
}

// A removed life comes back after a time, each time later, and its ejection is forgotten with the life.
func TestEjectedInstanceReturns(t *testing.T) {
	b := DefaultLimits()
	hosts, proxies := fleet(12)
	for times, want := range map[int]time.Duration{1: 8 * time.Second, 2: 16 * time.Second, 3: 32 * time.Second, 4: time.Minute, 9: time.Minute} {
		in := []Ejection{{InstanceID: "h1", Service: "s", Count: times}}
		if _, changed := Decide(b, start, hosts, proxies, in, func(string) time.Duration { return want - 1 }); changed {
			t.Errorf("back before %v", want)
		}
		next, changed := Decide(b, start, hosts, proxies, in, func(string) time.Duration { return want })
		if !changed || !next[0].Returned {
			t.Errorf("not back after %v", want)
		}
	}
	if next, changed := Decide(b, start, hosts[2:], proxies, []Ejection{{InstanceID: "h1", Service: "s", Count: 3}}, never); !changed || len(next) != 0 {
		t.Errorf("a life that is over stays removed: %v", next)
	}
}

// A proxy that finds most of what it calls silent says nothing of anybody; one that sees one host fail says so.
func TestObserverWithBrokenLinkHasNoOpinions(t *testing.T) {
	see := func(kind func(instance int) CallResult) []Opinion {
		w := NewObserver(DefaultLimits())
		for i := range 10 {
			for instance := range 4 {
				w.Record(start.Add(time.Duration(i)*100*time.Millisecond), "s", fmt.Sprint("h", instance), kind(instance))
			}
		}
		return w.Opinions(start.Add(time.Second))
	}
	if got := see(func(int) CallResult { return TimedOut }); len(got) > 0 {
		t.Errorf("cut off, it says %v", got)
	}
	got := see(func(instance int) CallResult { return map[bool]CallResult{true: TimedOut}[instance == 2] })
	b := DefaultLimits()
	for i := range got {
		if b.IsUnhealthy(&got[i]) != (got[i].InstanceID == "h2") {
			t.Errorf("of %s it says %+v", got[i].InstanceID, got[i])
		}
	}
	if len(got) != 4 {
		t.Errorf("%d opinions", len(got))
	}
	w := NewObserver(b)
	w.Record(start, "s", "h", Failed)
	if got := w.Opinions(start.Add(time.Minute)); len(got) > 0 {
		t.Errorf("old calls tell %v", got)
	}
}
