package pier

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func gate(b Bounds) *Gate {
	g := New(b)
	g.Evacuate(0, false)
	g.Enter(start, "life", Serving)
	g.Said(start, 9, 0)
	return g
}

func ask(g *Gate, at time.Time) Verdict {
	t, v := g.Ask(at, Ask{Life: "life", Until: at})
	if v == Pass {
		g.Leaves(t)
	}
	return v
}

// Whatever comes when: no request passes later than the drain's time after the notice, and a life never goes back.
func TestNothingPassesAfterADrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Drain: 2 * time.Second}
		g := gate(b)
		now, drained := start, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				g.Enter(now, "life", Draining)
				if drained.IsZero() {
					drained = now
				}
			case 1:
				g.Enter(now, "life", Serving) // a beat that comes late
			case 2:
				g.Enter(now, "life", Down)
			default:
				if v := ask(g, now); v == Pass && !drained.IsZero() && now.Sub(drained) >= b.Drain {
					t.Fatalf("a request passed %v after the notice", now.Sub(drained))
				}
			}
		}
		g.Enter(now, "life", Gone)
		g.Enter(now, "life", Serving)
		if v := ask(g, now); v == Pass {
			t.Fatal("a life that has ended serves again")
		}
	})
}

// withinTheRule fails if more reached a cold endpoint in the last second than the rule allows.
func withinTheRule(t *rapid.T, b Bounds, reached []time.Time, now time.Time) {
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

// Whenever requests come and whenever the pilot is started anew: a cold endpoint gets no more within any second than the rule
// allows.
func TestAColdEndpointGetsItsShareOfAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{WarmupRate: rapid.Float64Range(1, 30).Draw(t, "rate"), WarmupExcess: 1.5, WarmupSlack: 5}
		g := gate(b)
		g.Said(start, 1000, time.Hour)
		now, begun := start, start
		var passed []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				if now.Sub(begun) <= time.Second {
					continue // a process is not started twice within a second
				}
				g, begun = gate(b), now
				g.Said(now, 1000, time.Hour)
			}
			if ask(g, now) == Pass {
				passed = append(passed, now)
			}
			withinTheRule(t, b, passed, now)
		}
	})
}

func TestWhyARequestIsTurnedAway(t *testing.T) {
	at := start.Add(time.Second)
	for want, make := range map[Verdict]func(*Gate){
		Pass:      func(g *Gate) {},
		NoLife:    func(g *Gate) { g.Enter(at, "life", Down) },
		OtherLife: func(g *Gate) { g.Enter(at, "another", Serving) },
		Leaving:   func(g *Gate) { g.Leave(at) },
		Evacuated: func(g *Gate) { g.Evacuate(1, true) },
		Full: func(g *Gate) {
			for range 9 {
				g.Ask(at, Ask{Life: "life", Until: at})
			}
		},
	} {
		g := gate(Bounds{Drain: time.Second})
		make(g)
		if got := ask(g, at); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	g := New(Bounds{})
	if v := ask(g, at); v != NoLife {
		t.Errorf("a gate that knows no endpoint says %v", v)
	}
}

// A gate that has just started lets nothing in before it knows what was ordered, and nothing to an endpoint that it first hears of
// as draining: an earlier process may have acknowledged that long ago.
func TestAGateThatHasJustStarted(t *testing.T) {
	g := New(Bounds{Drain: 2 * time.Second})
	g.Enter(start, "life", Serving)
	g.Said(start, 9, 0)
	if v := ask(g, start); v != NoLife {
		t.Errorf("before it knows whether its zone is evacuated: %v", v)
	}
	g.Evacuate(1, true)
	if v := ask(g, start); v != Evacuated {
		t.Errorf("in a zone that is: %v", v)
	}
	g = New(Bounds{Drain: 2 * time.Second})
	g.Evacuate(0, false)
	g.Enter(start, "life", Draining)
	if v := ask(g, start); v != Leaving {
		t.Errorf("to an endpoint that drains: %v", v)
	}
}

// Between an evacuation and the next word of the endpoint it may be cold, and is taken for it.
func TestAfterAnEvacuationAnEndpointMayBeCold(t *testing.T) {
	g := gate(Bounds{WarmupRate: 2, WarmupExcess: 1, WarmupSlack: 2})
	g.Evacuate(1, true)
	g.Evacuate(2, false)
	at := start.Add(time.Minute)
	if got := fmt.Sprint(ask(g, at), ask(g, at), ask(g, at)); got != "pass pass cold" {
		t.Fatal(got)
	}
	g.Said(at, 9, 0)
	if v := ask(g, at); v != Pass {
		t.Fatalf("after its word: %v", v)
	}
}

// At most as many as there are slots are inside; those that wait go in by rank, then in the order in which they came.
func TestSlotsAndTheOrderOfThoseThatWait(t *testing.T) {
	g := gate(Bounds{MaxConns: 2})
	later := start.Add(time.Second)
	in, _ := g.Ask(start, Ask{Life: "life", Until: later})
	g.Ask(start, Ask{Life: "life", Until: later})
	low, v1 := g.Ask(start, Ask{Life: "life", Priority: 2, Until: later})
	high, v2 := g.Ask(start, Ask{Life: "life", Priority: 1, Until: later})
	_, v3 := g.Ask(start, Ask{Life: "life", Until: later})
	if v1 != Wait || v2 != Wait || v3 != Full || g.Inside() != 2 {
		t.Fatalf("%v %v %v, %d inside", v1, v2, v3, g.Inside())
	}
	g.Leaves(in)
	out, at := g.Next(start)
	if len(out) != 1 || out[0].Ticket != high || out[0].Verdict != Pass || !at.Equal(later) {
		t.Fatalf("next %v at %v", out, at)
	}
	if out, _ = g.Next(later); len(out) != 1 || out[0].Ticket != low || out[0].Verdict != Full {
		t.Fatalf("one that has waited too long: %v", out)
	}
}

// Until an endpoint says how many slots it has, what others know of it counts, and then a few; a new life has said nothing yet.
func TestSlotsOfAnEndpointThatHasNotSaid(t *testing.T) {
	inside := func(g *Gate, life string) (n int) {
		for ; ; n++ {
			if _, v := g.Ask(start, Ask{Life: life, Until: start}); v != Pass {
				return n
			}
		}
	}
	g := New(Bounds{})
	g.Evacuate(0, false)
	g.Enter(start, "life", Serving)
	if n := inside(g, "life"); n != fewSlots {
		t.Errorf("%d without a word of anybody", n)
	}
	if g.Guess(9); inside(g, "life")+fewSlots != 9 {
		t.Errorf("%d inside, others say 9", g.Inside())
	}
	if g.Said(start, 11, 0); inside(g, "life") != 2 {
		t.Errorf("%d inside, it says 11", g.Inside())
	}
	if g.Enter(start, "next", Serving); g.Capacity() != 0 {
		t.Error("a new life is taken to have said what the one before did")
	}
}

// Whatever each of several pilots sees, their repeats together stay within the bound of the rule.
func TestRepeatsOfAllPilotsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 20.0, 10 * time.Second
		n := rapid.IntRange(1, 12).Draw(t, "pilots")
		rations := make([]*Ration, n)
		for i := range rations {
			rations[i] = &Ration{Window: window, Ratio: ratio}
		}
		var requests, repeats []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r := rations[rapid.IntRange(0, n-1).Draw(t, "pilot")]
			if rapid.Bool().Draw(t, "repeat") {
				if r.Repeat(now, slack/float64(n)) {
					repeats = append(repeats, now)
				}
			} else {
				r.Request(now)
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
func TestWhatHoldsWhenTheBodyHasCome(t *testing.T) {
	later := start.Add(10 * time.Second)
	let := func(g *Gate) *Ticket {
		ticket, v := g.Ask(start, Ask{Life: "life", Until: start})
		if v != Pass {
			t.Fatal(v)
		}
		return ticket
	}
	g := gate(Bounds{Drain: 2 * time.Second})
	ticket := let(g)
	g.Enter(start.Add(time.Second), "life", Draining)
	if v := g.Goes(later, ticket); v != Leaving || g.Inside() != 0 {
		t.Errorf("after a drain: %v, %d inside", v, g.Inside())
	}
	g = gate(Bounds{WarmupRate: 2, WarmupExcess: 1, WarmupSlack: 2})
	g.Said(start, 9, time.Hour)
	ticket = let(g)
	if got := fmt.Sprint(ask(g, later), ask(g, later), ask(g, later)); got != "pass pass cold" {
		t.Fatal(got)
	}
	if v := g.Goes(later, ticket); v != Cold {
		t.Errorf("behind two others of the second: %v", v)
	}
}

// At a cold endpoint that nobody knows a warm one beside, a request waits; what may run once goes before others of its rank.
func TestWhoGoesNextAtAColdEndpoint(t *testing.T) {
	g := gate(Bounds{WarmupRate: 1, WarmupExcess: 1, WarmupSlack: 1})
	g.Said(start, 9, time.Hour)
	later := start.Add(5 * time.Second)
	g.Ask(start, Ask{Life: "life", Until: later})
	if _, v := g.Ask(start, Ask{Life: "life", Until: later}); v != Cold {
		t.Fatalf("one that could go elsewhere: %v", v)
	}
	g.Ask(start, Ask{Life: "life", Priority: 1, Stays: true, Until: later})
	once, v := g.Ask(start, Ask{Life: "life", Priority: 1, Once: true, Stays: true, Until: later})
	if v != Wait {
		t.Fatal(v)
	}
	_, at := g.Next(start)
	if out, _ := g.Next(at); len(out) != 1 || out[0].Ticket != once || out[0].Verdict != Pass || at.Sub(start) <= time.Second {
		t.Fatalf("next %v after %v", out, at.Sub(start))
	}
}

// The same holds for those that wait at a cold endpoint, and for those whose body comes later than they were let in.
func TestAColdEndpointGetsItsShareOfThoseThatWaitToo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{WarmupRate: rapid.Float64Range(1, 30).Draw(t, "rate"), WarmupExcess: 1.5, WarmupSlack: 5}
		g := gate(b)
		g.Said(start, 1000, time.Hour)
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
				if ticket, v := g.Ask(now, Ask{Life: "life", Stays: true, Once: later, Until: now.Add(wait)}); v == Pass {
					in(ticket, later)
				}
			case 1:
				out, _ := g.Next(now)
				for _, d := range out {
					if d.Verdict == Pass {
						in(d.Ticket, later)
					}
				}
			case 2:
				if len(bodies) > 0 {
					if g.Goes(now, bodies[0]) == Pass {
						reached = append(reached, now)
					}
					bodies = bodies[1:]
				}
			}
			withinTheRule(t, b, reached, now)
		}
	})
}

// What was ordered of a zone has a number: an order with a lower one than the gate goes by, heard late, neither opens nor closes it.
func TestAnOlderEvacuationChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gate(Bounds{})
		var newest uint64
		evacuated := func() bool { return newest%2 == 1 } // odd ones empty the zone
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			n := rapid.Uint64Range(0, 9).Draw(t, "number")
			newest = max(newest, n)
			g.Evacuate(n, n%2 == 1)
			want := Pass
			if evacuated() {
				want = Evacuated
			}
			if v := g.closed(start, "life"); v != want || g.Evacuated() != evacuated() {
				t.Fatalf("after order %d, the newest being %d: %v, want %v", n, newest, v, want)
			}
		}
	})
}
