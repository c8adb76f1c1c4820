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

// newVoters returns n instances of one service in three zones, and a vote of the proxy beside each that finds the first instance healthy.
func newVoters(n int) (instances []Instance, votes []Vote) {
	for i := range n {
		zone := fmt.Sprint("z", i%3)
		instances = append(instances, Instance{ID: fmt.Sprint("h", i), Service: "s", Zone: zone, Serving: true})
		votes = append(votes, Vote{Node: fmt.Sprint("p", i), Zone: zone, ReceivedAt: start, Opinions: healthyOpinions()})
	}
	return instances, votes
}

func healthyOpinions() []Opinion { return []Opinion{{InstanceID: "h0", Service: "s", Calls: 10}} }

// addOpinions adds an opinion of an instance to each vote: the failures of ten calls, or no opinion if failures is below 0.
func addOpinions(votes []Vote, instance string, failures func(proxy int) int) {
	for i := range votes {
		if n := failures(i); n >= 0 {
			votes[i].Opinions = append(votes[i].Opinions, Opinion{InstanceID: instance, Service: "s", Calls: 10, Failures: n})
		}
	}
}

func TestQuorumIsNeededForEjection(t *testing.T) {
	for name, c := range map[string]struct {
		failures func(proxy int) int
		want     bool
	}{
		"failing for all":                         {func(int) int { return 4 }, true},
		"failing for half of them":                {func(p int) int { return 4 * ((p + 1) % 2) }, false}, // six against six
		"failing for more than half":              {func(p int) int { return map[bool]int{true: 4}[p < 7] }, true},
		"failing for one proxy":                   {func(p int) int { return map[bool]int{true: 10}[p == 3] }, false},
		"failing for one zone":                    {func(p int) int { return map[bool]int{true: 10}[p%3 == 1] }, false},
		"failing for one zone, no other opinions": {func(p int) int { return map[bool]int{true: 10, false: -1}[p%3 == 1] }, false},
		"failing for two, no other opinions":      {func(p int) int { return map[bool]int{true: 10, false: -1}[p < 2] }, false},
		"failing rarely for all":                  {func(int) int { return 1 }, false},
	} {
		instances, votes := newVoters(12)
		addOpinions(votes, "h5", c.failures)
		next, changed := Decide(DefaultLimits(), start, instances, votes, nil, never)
		if got := changed && len(next) == 1 && next[0].InstanceID == "h5"; got != c.want || changed != c.want {
			t.Errorf("%s: ejections %v, want one: %v", name, next, c.want)
		}
	}
}

// An instance whose proxy has restarted within the window is not ejected even if all proxies find it unhealthy, as the restart may have caused
// the failures. Once the restart is before the window, the same votes eject it.
func TestInstanceWithRestartedProxyIsNotEjected(t *testing.T) {
	instances, votes := newVoters(12)
	addOpinions(votes, "h5", func(int) int { return 6 })
	instances[5].ProxyRestarted = true
	if next, changed := Decide(DefaultLimits(), start, instances, votes, nil, never); changed {
		t.Errorf("ejected: %v", next)
	}
	instances[5].ProxyRestarted = false
	if next, changed := Decide(DefaultLimits(), start, instances, votes, nil, never); !changed || next[0].InstanceID != "h5" {
		t.Errorf("not ejected: %v", next)
	}
}

// An instance with few callers is ejected if the proxy beside it and another proxy find it unhealthy, but not by either of them alone.
func TestOpinionOfTheEndpointProxy(t *testing.T) {
	for name, c := range map[string]struct {
		endpointProxy, caller int // failures of ten calls; -1 for no opinion
		want                  bool
	}{
		"both": {5, 5, true}, "the endpoint proxy alone": {5, 0, false}, "the caller alone": {0, 5, false}, "the endpoint proxy without callers": {5, -1, false},
	} {
		instances, votes := newVoters(6)
		votes[1].Opinions = []Opinion{{InstanceID: "h0", Service: "s", Calls: 10}, {InstanceID: "h1", Service: "s", Calls: 10, Failures: c.endpointProxy, FromEndpointProxy: true}}
		addOpinions(votes, "h1", func(p int) int { return map[bool]int{true: c.caller, false: -1}[p == 4] })
		if _, changed := Decide(DefaultLimits(), start, instances, votes, nil, never); changed != c.want {
			t.Errorf("%s: ejected: %v", name, changed)
		}
	}
}

// A faulty proxy that finds every instance unhealthy, or every instance healthy, decides nothing alone. Votes before the window and votes on
// an instance that has ended are ignored.
func TestVotesThatAreIgnored(t *testing.T) {
	instances, votes := newVoters(12)
	for _, instance := range instances {
		addOpinions(votes, instance.ID, func(p int) int { return map[bool]int{true: 10}[p == 0] })
	}
	if next, changed := Decide(DefaultLimits(), start, instances, votes, nil, never); changed {
		t.Errorf("one faulty proxy ejects %v", next)
	}
	instances, votes = newVoters(12)
	addOpinions(votes, "h1", func(p int) int { return map[bool]int{true: 0, false: 5}[p == 0] })
	addOpinions(votes, "an earlier instance", func(int) int { return 10 })
	if next, _ := Decide(DefaultLimits(), start, instances, votes, nil, never); len(next) != 1 || next[0].InstanceID != "h1" {
		t.Errorf("one faulty proxy keeps a failing instance: %v", next)
	}
	if next, changed := Decide(DefaultLimits(), start.Add(time.Minute), instances, votes, nil, never); changed {
		t.Errorf("old votes eject %v", next)
	}
}

// An instance that fails as often as the others of its service is not ejected, as the cause is a shared dependency or an overload. Neither is
// one without opinions on the other instances to compare it with.
func TestCommonFailureEjectsNoInstance(t *testing.T) {
	for name, c := range map[string]struct {
		others int // failures of ten calls to another instance; -1 for no opinion on it
		want   bool
	}{"others are healthy": {0, true}, "others fail rarely": {1, true}, "others fail less often": {2, false}, "no opinions on others": {-1, false}} {
		instances, votes := newVoters(12)
		for i := range votes {
			votes[i].Opinions = nil
		}
		addOpinions(votes, "h1", func(int) int { return 5 })
		addOpinions(votes, "h2", func(int) int { return c.others })
		if _, changed := Decide(DefaultLimits(), start, instances, votes, nil, never); changed != c.want {
			t.Errorf("%s: ejected: %v", name, changed)
		}
	}
	instances, votes := newVoters(12)
	addOpinions(votes, "h5", func(int) int { return 5 })
	polled := InstancesToPoll(DefaultLimits(), instances, TallyVotes(DefaultLimits(), start, instances, votes))
	if len(polled) != 1+DefaultLimits().ComparedInstances || !slices.Contains(polled, "h5") {
		t.Errorf("polled about %v", polled)
	}
}

// With any votes, at most MaxEjectedShare of the instances of a service are ejected at a time.
func TestEjectionIsBoundedByShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		instances, votes := newVoters(n)
		var ejections []Ejection
		now := start
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			now = now.Add(time.Second)
			for i := range votes {
				votes[i].ReceivedAt, votes[i].Opinions = now, nil
			}
			for _, instance := range instances {
				failures := rapid.IntRange(0, 10).Draw(t, "failures")
				addOpinions(votes, instance.ID, func(int) int { return failures })
			}
			ejectedFor := time.Duration(rapid.IntRange(0, 20).Draw(t, "ejected for")) * time.Second
			ejections, _ = Decide(limits, now, instances, votes, ejections, func(string) time.Duration { return ejectedFor })
			ejected := 0
			for _, r := range ejections {
				if !r.Returned {
					ejected++
				}
			}
			if float64(ejected) > limits.MaxEjectedShare*float64(n) {
				t.Fatalf("%d of %d are ejected", ejected, n)
			}
		}
	})
}

// An ejected instance returns after the ejection time, which doubles with each ejection up to a bound. The ejection of an instance that has
// ended is removed.
func TestEjectedInstanceReturns(t *testing.T) {
	limits := DefaultLimits()
	instances, votes := newVoters(12)
	for count, want := range map[int]time.Duration{1: 8 * time.Second, 2: 16 * time.Second, 3: 32 * time.Second, 4: time.Minute, 9: time.Minute} {
		ejections := []Ejection{{InstanceID: "h1", Service: "s", Count: count}}
		if _, changed := Decide(limits, start, instances, votes, ejections, func(string) time.Duration { return want - 1 }); changed {
			t.Errorf("returned before %v", want)
		}
		next, changed := Decide(limits, start, instances, votes, ejections, func(string) time.Duration { return want })
		if !changed || !next[0].Returned {
			t.Errorf("not returned after %v", want)
		}
	}
	if next, changed := Decide(limits, start, instances[2:], votes, []Ejection{{InstanceID: "h1", Service: "s", Count: 3}}, never); !changed || len(next) != 0 {
		t.Errorf("the ejection of an instance that has ended is kept: %v", next)
	}
}

// A proxy whose calls to most instances time out has no opinions, as its own link may be broken. One whose calls to a single instance fail
// finds that instance unhealthy.
func TestObserverWithBrokenLinkHasNoOpinions(t *testing.T) {
	observe := func(kind func(instance int) CallResult) []Opinion {
		observer := NewObserver(DefaultLimits())
		for i := range 10 {
			for instance := range 4 {
				observer.Record(start.Add(time.Duration(i)*100*time.Millisecond), "s", fmt.Sprint("h", instance), kind(instance))
			}
		}
		return observer.Opinions(start.Add(time.Second))
	}
	if got := observe(func(int) CallResult { return TimedOut }); len(got) > 0 {
		t.Errorf("with all calls timed out, the opinions are %v", got)
	}
	got := observe(func(instance int) CallResult { return map[bool]CallResult{true: TimedOut}[instance == 2] })
	limits := DefaultLimits()
	for i := range got {
		if limits.IsUnhealthy(&got[i]) != (got[i].InstanceID == "h2") {
			t.Errorf("the opinion of %s is %+v", got[i].InstanceID, got[i])
		}
	}
	if len(got) != 4 {
		t.Errorf("%d opinions, want 4", len(got))
	}
	observer := NewObserver(limits)
	observer.Record(start, "s", "h", Failed)
	if got := observer.Opinions(start.Add(time.Minute)); len(got) > 0 {
		t.Errorf("opinions from old calls: %v", got)
	}
}
