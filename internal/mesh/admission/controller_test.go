package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func gate(b Limits) *Controller {
	g := New(b)
	g.SetEvacuation(0, false)
	g.SetState(start, "life", Serving)
	g.Report(start, 9, 0)
	return g
}

func ask(g *Controller, at time.Time) Decision {
	t, v := g.Admit(at, Request{InstanceID: "life", Deadline: at})
	if v == Admit {
		g.Release(t)
	}
	return v
}

// Whatever comes when: no request passes later than the drain's time after the notice, and an instance never goes back.
func TestNoAdmissionAfterDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Limits{Drain: 2 * time.Second}
		g := gate(b)
		now, drained := start, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				g.SetState(now, "life", Draining)
				if drained.IsZero() {
					drained = now
				}
			case 1:
				g.SetState(now, "life", Serving) // a beat that comes late
			case 2:
				g.SetState(now, "life", Down)
			default:
				if v := ask(g, now); v == Admit && !drained.IsZero() && now.Sub(drained) >= b.Drain {
					t.Fatalf("a request passed %v after the notice", now.Sub(drained))
				}
			}
		}
		g.SetState(now, "life", Gone)
		g.SetState(now, "life", Serving)
		if v := ask(g, now); v == Admit {
			t.Fatal("a life that has ended serves again")
		}
	})
}

// withinTheRule fails if more reached a cold endpoint in the last second than the rule allows.
func withinTheRule(t *rapid.T, b Limits, reached []time.Time, now time.Time) {
	n := 0
	for _, at := range reached {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if float64(n) > b.WarmupRate*b.WarmupExcess+b.WarmupSlack {
		t.Fatalf("%d within a second, the bound is %v", n, b.WarmupRate*b.WarmupExcess+b.WarmupSlack)
	}
}

// Whenever requests come and whenever the proxy is started anew: a cold endpoint gets no more within any second than the rule
// allows.
func TestWarmupShareInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Limits{WarmupRate: rapid.Float64Range(1, 30).Draw(t, "rate"), WarmupExcess: 1.5, WarmupSlack: 5}
		g := gate(b)
		g.Report(start, 1000, time.Hour)
		now, begun := start, start
		var passed []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				if now.Sub(begun) <= time.Second {
					continue // a process is not started twice within a second
				}
				g, begun = gate(b), now
				g.Report(now, 1000, time.Hour)
			}
			if ask(g, now) == Admit {
				passed = append(passed, now)
			}
			withinTheRule(t, b, passed, now)
		}
	})
}

func TestRejections(t *testing.T) {
	at := start.Add(time.Second)
	for want, make := range map[Decision]func(*Controller){
		Admit:         func(g *Controller) {},
		NoInstance:    func(g *Controller) { g.SetState(at, "life", Down) },
		OtherInstance: func(g *Controller) { g.SetState(at, "another", Serving) },
		ShuttingDown:  func(g *Controller) { g.Shutdown(at) },
		Evacuated:     func(g *Controller) { g.SetEvacuation(1, true) },
		Full: func(g *Controller) {
			for range 9 {
				g.Admit(at, Request{InstanceID: "life", Deadline: at})
			}
		},
	} {
		g := gate(Limits{Drain: time.Second})
		make(g)
		if got := ask(g, at); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	g := New(Limits{})
	if v := ask(g, at); v != NoInstance {
		t.Errorf("a gate that knows no endpoint says %v", v)
	}
}

// A gate that has just started lets nothing in before it knows what was ordered, and nothing to an endpoint that it first hears of
// as draining: an earlier process may have acknowledged that long ago.
func TestControllerThatHasJustStarted(t *testing.T) {
	g := New(Limits{Drain: 2 * time.Second})
	g.SetState(start, "life", Serving)
	g.Report(start, 9, 0)
	if v := ask(g, start); v != NoInstance {
		t.Errorf("before it knows whether its zone is evacuated: %v", v)
	}
	g.SetEvacuation(1, true)
	if v := ask(g, start); v != Evacuated {
		t.Errorf("in a zone that is: %v", v)
	}
	g = New(Limits{Drain: 2 * time.Second})
	g.SetEvacuation(0, false)
	g.SetState(start, "life", Draining)
	if v := ask(g, start); v != ShuttingDown {
		t.Errorf("to an endpoint that drains: %v", v)
	}
}

// Between an evacuation and the next word of the endpoint it may be cold, and is taken for it.
func TestWarmupAfterEvacuation(t *testing.T) {
	g := gate(Limits{WarmupRate: 2, WarmupExcess: 1, WarmupSlack: 2})
	g.SetEvacuation(1, true)
	g.SetEvacuation(2, false)
	at := start.Add(time.Minute)
	if got := fmt.Sprint(ask(g, at), ask(g, at), ask(g, at)); got != "pass pass cold" {
		t.Fatal(got)
	}
	g.Report(at, 9, 0)
	if v := ask(g, at); v != Admit {
		t.Fatalf("after its word: %v", v)
	}
}

// At most as many as there are slots are inside; those that wait go in by rank, then in the order in which they came.
func TestCapacityAndQueueOrder(t *testing.T) {
	g := gate(Limits{MaxConns: 2})
	later := start.Add(time.Second)
	in, _ := g.Admit(start, Request{InstanceID: "life", Deadline: later})
	g.Admit(start, Request{InstanceID: "life", Deadline: later})
	low, v1 := g.Admit(start, Request{InstanceID: "life", Priority: 2, Deadline: later})
	high, v2 := g.Admit(start, Request{InstanceID: "life", Priority: 1, Deadline: later})
	_, v3 := g.Admit(start, Request{InstanceID: "life", Deadline: later})
	if v1 != Queue || v2 != Queue || v3 != Full || g.InFlight() != 2 {
		t.Fatalf("%v %v %v, %d inside", v1, v2, v3, g.InFlight())
	}
	g.Release(in)
	out, at := g.ProcessQueue(start)
	if len(out) != 1 || out[0].Ticket != high || out[0].Decision != Admit || !at.Equal(later) {
		t.Fatalf("next %v at %v", out, at)
	}
	if out, _ = g.ProcessQueue(later); len(out) != 1 || out[0].Ticket != low || out[0].Decision != Full {
		t.Fatalf("one that has waited too long: %v", out)
	}
}

// Until an endpoint says how many slots it has, what others know of it counts, and then a few; a new life has said nothing yet.
func TestGuessedCapacity(t *testing.T) {
	inside := func(g *Controller, life string) (n int) {
		for ; ; n++ {
			if _, v := g.Admit(start, Request{InstanceID: life, Deadline: start}); v != Admit {
				return n
			}
		}
	}
	g := New(Limits{})
	g.SetEvacuation(0, false)
	g.SetState(start, "life", Serving)
	if n := inside(g, "life"); n != defaultCapacity {
		t.Errorf("%d without a word of anybody", n)
	}
	if g.GuessCapacity(9); inside(g, "life")+defaultCapacity != 9 {
		t.Errorf("%d inside, others say 9", g.InFlight())
	}
	if g.Report(start, 11, 0); inside(g, "life") != 2 {
		t.Errorf("%d inside, it says 11", g.InFlight())
	}
	if g.SetState(start, "next", Serving); g.Capacity() != 0 {
		t.Error("a new life is taken to have said what the one before did")
	}
}

// Whatever each of several proxies sees, their repeats together stay within the bound of the rule.
func TestRetryBudgetOfAllProxies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 20.0, 10 * time.Second
		n := rapid.IntRange(1, 12).Draw(t, "proxies")
		rations := make([]*RetryBudget, n)
		for i := range rations {
			rations[i] = &RetryBudget{Window: window, Ratio: ratio}
		}
		var requests, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r := rations[rapid.IntRange(0, n-1).Draw(t, "proxy")]
			if rapid.Bool().Draw(t, "repeat") {
				if r.TakeRetry(now, slack/float64(n)) {
					repeats = append(repeats, now)
				}
			} else {
				r.CountRequest(now)
				requests = append(requests, now)
			}
			within := func(times []time.Time) (n int) {
				for _, at := range times {
					if !at.Before(now.Add(-window)) {
						n++
					}
				}
				return n
			}
			asked, again := within(requests), within(repeats)
			if float64(again) > ratio*float64(asked)+slack {
				t.Fatalf("%d repeats for %d requests", again, asked)
			}
		}
	})
}

// A request whose body had to come is judged by what holds when that has come, and counts at a cold endpoint for that time.
func TestRecheck(t *testing.T) {
	later := start.Add(10 * time.Second)
	let := func(g *Controller) *Ticket {
		ticket, v := g.Admit(start, Request{InstanceID: "life", Deadline: start})
		if v != Admit {
			t.Fatal(v)
		}
		return ticket
	}
	g := gate(Limits{Drain: 2 * time.Second})
	ticket := let(g)
	g.SetState(start.Add(time.Second), "life", Draining)
	if v := g.Recheck(later, ticket); v != ShuttingDown || g.InFlight() != 0 {
		t.Errorf("after a drain: %v, %d inside", v, g.InFlight())
	}
	g = gate(Limits{WarmupRate: 2, WarmupExcess: 1, WarmupSlack: 2})
	g.Report(start, 9, time.Hour)
	ticket = let(g)
	if got := fmt.Sprint(ask(g, later), ask(g, later), ask(g, later)); got != "pass pass cold" {
		t.Fatal(got)
	}
	if v := g.Recheck(later, ticket); v != WarmingUp {
		t.Errorf("behind two others of the second: %v", v)
	}
}

// At a cold endpoint that nobody knows a warm one beside, a request waits; what may run once goes before others of its rank.
func TestQueueOrderDuringWarmup(t *testing.T) {
	g := gate(Limits{WarmupRate: 1, WarmupExcess: 1, WarmupSlack: 1})
	g.Report(start, 9, time.Hour)
	later := start.Add(5 * time.Second)
	g.Admit(start, Request{InstanceID: "life", Deadline: later})
	if _, v := g.Admit(start, Request{InstanceID: "life", Deadline: later}); v != WarmingUp {
		t.Fatalf("one that could go elsewhere: %v", v)
	}
	g.Admit(start, Request{InstanceID: "life", Priority: 1, WaitDuringWarmup: true, Deadline: later})
	once, v := g.Admit(start, Request{InstanceID: "life", Priority: 1, NonRepeatable: true, WaitDuringWarmup: true, Deadline: later})
	if v != Queue {
		t.Fatal(v)
	}
	_, at := g.ProcessQueue(start)
	if out, _ := g.ProcessQueue(at); len(out) != 1 || out[0].Ticket != once || out[0].Decision != Admit || at.Sub(start) <= time.Second {
		t.Fatalf("next %v after %v", out, at.Sub(start))
	}
}

// The same holds for those that wait at a cold endpoint, and for those whose body comes later than they were let in.
func TestWarmupShareOfQueuedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Limits{WarmupRate: rapid.Float64Range(1, 30).Draw(t, "rate"), WarmupExcess: 1.5, WarmupSlack: 5}
		g := gate(b)
		g.Report(start, 1000, time.Hour)
		now := start
		var reached []time.Time
		var bodies []*Ticket
		in := func(ticket *Ticket, later bool) {
			if later {
				bodies = append(bodies, ticket)
				return
			}
			reached = append(reached, now)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
			later := rapid.Bool().Draw(t, "body later")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				wait := time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond
				if ticket, v := g.Admit(now, Request{InstanceID: "life", WaitDuringWarmup: true, NonRepeatable: later, Deadline: now.Add(wait)}); v == Admit {
					in(ticket, later)
				}
			case 1:
				out, _ := g.ProcessQueue(now)
				for _, d := range out {
					if d.Decision == Admit {
						in(d.Ticket, later)
					}
				}
			case 2:
				if len(bodies) > 0 {
					if g.Recheck(now, bodies[0]) == Admit {
						reached = append(reached, now)
					}
					bodies = bodies[1:]
				}
			}
			withinTheRule(t, b, reached, now)
		}
	})
}

// What was ordered of a zone has a number: an order with a lower one than admission control goes by, heard late, neither opens nor closes it.
func TestOlderEvacuationChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gate(Limits{})
		var newest uint64
		evacuated := func() bool { return newest%2 == 1 } // odd ones empty the zone
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			n := rapid.Uint64Range(0, 9).Draw(t, "number")
			newest = max(newest, n)
			g.SetEvacuation(n, n%2 == 1)
			want := Admit
			if evacuated() {
				want = Evacuated
			}
			if v := g.rejection(start, "life"); v != want || g.IsEvacuated() != evacuated() {
				t.Fatalf("after order %d, the newest being %d: %v, want %v", n, newest, v, want)
			}
		}
	})
}
