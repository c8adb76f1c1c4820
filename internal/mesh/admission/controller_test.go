package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const testInstance = "life"

// newTestController returns a controller of a warm, serving instance of capacity 9.
func newTestController(limits Limits) *Controller {
	c := New(limits)
	c.SetEvacuation(0, false)
	c.SetState(start, testInstance, Serving)
	c.Report(start, 9, 0)
	return c
}

// admitOnce returns the decision on a request that ends at once.
func admitOnce(c *Controller, at time.Time) Decision {
	t, v := c.Admit(at, Request{InstanceID: testInstance, Deadline: at})
	if v == Admit {
		c.Release(t)
	}
	return v
}

// No request is admitted later than the drain time after the acknowledgment of a departure, whatever states are reported late, and an
// instance that has ended never serves again.
func TestNoAdmissionAfterDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Limits{Drain: 2 * time.Second}
		c := newTestController(b)
		now, drained := start, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				c.SetState(now, testInstance, Draining)
				if drained.IsZero() {
					drained = now
				}
			case 1:
				c.SetState(now, testInstance, Serving) // a late heartbeat
			case 2:
				c.SetState(now, testInstance, Down)
			default:
				if v := admitOnce(c, now); v == Admit && !drained.IsZero() && now.Sub(drained) >= b.Drain {
					t.Fatalf("a request was admitted %v after the acknowledgment", now.Sub(drained))
				}
			}
		}
		c.SetState(now, testInstance, Gone)
		c.SetState(now, testInstance, Serving)
		if v := admitOnce(c, now); v == Admit {
			t.Fatal("an instance that has ended serves again")
		}
	})
}

// checkWarmupRate fails the test if more requests reached an endpoint that is warming up in the last second than the limits allow.
func checkWarmupRate(t *rapid.T, b Limits, reached []time.Time, now time.Time) {
	n := 0
	for _, at := range reached {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if float64(n) > b.WarmupRate*b.WarmupExcess+b.WarmupSlack {
		t.Fatalf("%d requests within a second, the limit is %v", n, b.WarmupRate*b.WarmupExcess+b.WarmupSlack)
	}
}

// In no second does an endpoint that is warming up get more requests than the limits allow, whenever requests arrive and the proxy restarts.
func TestWarmupShareInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Limits{WarmupRate: rapid.Float64Range(1, 30).Draw(t, "rate"), WarmupExcess: 1.5, WarmupSlack: 5}
		c := newTestController(b)
		c.Report(start, 1000, time.Hour)
		now, begun := start, start
		var admitted []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				if now.Sub(begun) <= time.Second {
					continue // a process is not started twice within a second
				}
				c, begun = newTestController(b), now
				c.Report(now, 1000, time.Hour)
			}
			if admitOnce(c, now) == Admit {
				admitted = append(admitted, now)
			}
			checkWarmupRate(t, b, admitted, now)
		}
	})
}

func TestRejections(t *testing.T) {
	at := start.Add(time.Second)
	for want, setUp := range map[Decision]func(*Controller){
		Admit:         func(c *Controller) {},
		NoInstance:    func(c *Controller) { c.SetState(at, testInstance, Down) },
		OtherInstance: func(c *Controller) { c.SetState(at, "another", Serving) },
		ShuttingDown:  func(c *Controller) { c.Shutdown(at) },
		Evacuated:     func(c *Controller) { c.SetEvacuation(1, true) },
		Full: func(c *Controller) {
			for range 9 {
				c.Admit(at, Request{InstanceID: testInstance, Deadline: at})
			}
		},
	} {
		c := newTestController(Limits{Drain: time.Second})
		setUp(c)
		if got := admitOnce(c, at); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	c := New(Limits{})
	if v := admitOnce(c, at); v != NoInstance {
		t.Errorf("without an endpoint: %v", v)
	}
}

// A new controller admits no request before it has received the evacuation order, and none to an endpoint that is first seen draining:
// an earlier process may have acknowledged its departure long ago.
func TestNewControllerRejects(t *testing.T) {
	c := New(Limits{Drain: 2 * time.Second})
	c.SetState(start, testInstance, Serving)
	c.Report(start, 9, 0)
	if v := admitOnce(c, start); v != NoInstance {
		t.Errorf("before the first evacuation order: %v", v)
	}
	c.SetEvacuation(1, true)
	if v := admitOnce(c, start); v != Evacuated {
		t.Errorf("in an evacuated zone: %v", v)
	}
	c = New(Limits{Drain: 2 * time.Second})
	c.SetEvacuation(0, false)
	c.SetState(start, testInstance, Draining)
	if v := admitOnce(c, start); v != ShuttingDown {
		t.Errorf("to a draining endpoint: %v", v)
	}
}

// After an evacuation the endpoint is treated as warming up until its next report.
func TestWarmupAfterEvacuation(t *testing.T) {
	c := newTestController(Limits{WarmupRate: 2, WarmupExcess: 1, WarmupSlack: 2})
	c.SetEvacuation(1, true)
	c.SetEvacuation(2, false)
	at := start.Add(time.Minute)
	if got := fmt.Sprint(admitOnce(c, at), admitOnce(c, at), admitOnce(c, at)); got != "pass pass cold" {
		t.Fatal(got)
	}
	c.Report(at, 9, 0)
	if v := admitOnce(c, at); v != Admit {
		t.Fatalf("after its report: %v", v)
	}
}

// At most as many requests as the capacity are in flight. Queued requests are admitted by priority, then in the order of arrival.
func TestCapacityAndQueueOrder(t *testing.T) {
	c := newTestController(Limits{MaxConns: 2})
	later := start.Add(time.Second)
	first, _ := c.Admit(start, Request{InstanceID: testInstance, Deadline: later})
	c.Admit(start, Request{InstanceID: testInstance, Deadline: later})
	low, v1 := c.Admit(start, Request{InstanceID: testInstance, Priority: 2, Deadline: later})
	high, v2 := c.Admit(start, Request{InstanceID: testInstance, Priority: 1, Deadline: later})
	_, v3 := c.Admit(start, Request{InstanceID: testInstance, Priority: 2, Deadline: later}) // no more urgent than any queued one
	if v1 != Queue || v2 != Queue || v3 != Full || c.InFlight() != 2 {
		t.Fatalf("%v %v %v, %d in flight", v1, v2, v3, c.InFlight())
	}
	c.Release(first)
	out, at := c.ProcessQueue(start)
	if len(out) != 1 || out[0].Ticket != high || out[0].Decision != Admit || !at.Equal(later) {
		t.Fatalf("next %v at %v", out, at)
	}
	if out, _ = c.ProcessQueue(later); len(out) != 1 || out[0].Ticket != low || out[0].Decision != Full {
		t.Fatalf("after the deadline of a queued request: %v", out)
	}
}

// Until an endpoint reports its capacity, the capacity that other proxies report is used, or else the default. A new instance has reported
// none.
func TestGuessedCapacity(t *testing.T) {
	admitUntilRejected := func(c *Controller, instanceID string) (n int) {
		for ; ; n++ {
			if _, v := c.Admit(start, Request{InstanceID: instanceID, Deadline: start}); v != Admit {
				return n
			}
		}
	}
	c := New(Limits{})
	c.SetEvacuation(0, false)
	c.SetState(start, testInstance, Serving)
	if n := admitUntilRejected(c, testInstance); n != defaultCapacity {
		t.Errorf("%d requests admitted without any report", n)
	}
	if c.GuessCapacity(9); admitUntilRejected(c, testInstance)+defaultCapacity != 9 {
		t.Errorf("%d in flight, other proxies report 9", c.InFlight())
	}
	if c.Report(start, 11, 0); admitUntilRejected(c, testInstance) != 2 {
		t.Errorf("%d in flight, it reports 11", c.InFlight())
	}
	if c.SetState(start, "next", Serving); c.Capacity() != 0 {
		t.Error("a new instance has the capacity that the one before reported")
	}
}

// The retries of all proxies together stay within the limit, however the requests are spread over the proxies.
func TestRetryBudgetOfAllProxies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 20.0, 10 * time.Second
		n := rapid.IntRange(1, 12).Draw(t, "proxies")
		budgets := make([]*RetryBudget, n)
		for i := range budgets {
			budgets[i] = &RetryBudget{Window: window, Ratio: ratio}
		}
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			r := budgets[rapid.IntRange(0, n-1).Draw(t, "proxy")]
			if rapid.Bool().Draw(t, "repeat") {
				if r.TakeRetry(now, slack/float64(n)) {
					retries = append(retries, now)
				}
			} else {
				r.CountRequest(now)
				requests = append(requests, now)
			}
			countInWindow := func(times []time.Time) (n int) {
				for _, at := range times {
					if !at.Before(now.Add(-window)) {
						n++
					}
				}
				return n
			}
			sent, retried := countInWindow(requests), countInWindow(retries)
			if float64(retried) > ratio*float64(sent)+slack {
				t.Fatalf("%d retries for %d requests", retried, sent)
			}
		}
	})
}

// A request that is admitted before its body is decided on again once the body has arrived, and counts against the warm-up rate at that
// time.
func TestRecheck(t *testing.T) {
	later := start.Add(10 * time.Second)
	admit := func(c *Controller) *Ticket {
		ticket, v := c.Admit(start, Request{InstanceID: testInstance, Deadline: start})
		if v != Admit {
			t.Fatal(v)
		}
		return ticket
	}
	c := newTestController(Limits{Drain: 2 * time.Second})
	ticket := admit(c)
	c.SetState(start.Add(time.Second), testInstance, Draining)
	if v := c.Recheck(later, ticket); v != ShuttingDown || c.InFlight() != 0 {
		t.Errorf("after a drain: %v, %d in flight", v, c.InFlight())
	}
	c = newTestController(Limits{WarmupRate: 2, WarmupExcess: 1, WarmupSlack: 2})
	c.Report(start, 9, time.Hour)
	ticket = admit(c)
	if got := fmt.Sprint(admitOnce(c, later), admitOnce(c, later), admitOnce(c, later)); got != "pass pass cold" {
		t.Fatal(got)
	}
	if v := c.Recheck(later, ticket); v != WarmingUp {
		t.Errorf("after two other requests in the same second: %v", v)
	}
}

// A request waits at an endpoint that is warming up if no warm one is known. There a non-repeatable request goes before others of its
// priority.
func TestQueueOrderDuringWarmup(t *testing.T) {
	c := newTestController(Limits{WarmupRate: 1, WarmupExcess: 1, WarmupSlack: 1})
	c.Report(start, 9, time.Hour)
	later := start.Add(5 * time.Second)
	c.Admit(start, Request{InstanceID: testInstance, Deadline: later})
	if _, v := c.Admit(start, Request{InstanceID: testInstance, Deadline: later}); v != WarmingUp {
		t.Fatalf("a request that can go to a warm endpoint: %v", v)
	}
	c.Admit(start, Request{InstanceID: testInstance, Priority: 1, WaitDuringWarmup: true, Deadline: later})
	nonRepeatable, v := c.Admit(start, Request{InstanceID: testInstance, Priority: 1, NonRepeatable: true, WaitDuringWarmup: true, Deadline: later})
	if v != Queue {
		t.Fatal(v)
	}
	_, at := c.ProcessQueue(start)
	if out, _ := c.ProcessQueue(at); len(out) != 1 || out[0].Ticket != nonRepeatable || out[0].Decision != Admit || at.Sub(start) <= time.Second {
		t.Fatalf("next %v after %v", out, at.Sub(start))
	}
}

// The limit of TestWarmupShareInAnySecond also holds with queued requests, and with bodies that arrive after the admission.
func TestWarmupShareOfQueuedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Limits{WarmupRate: rapid.Float64Range(1, 30).Draw(t, "rate"), WarmupExcess: 1.5, WarmupSlack: 5}
		c := newTestController(b)
		c.Report(start, 1000, time.Hour)
		now := start
		var reached []time.Time
		var awaitingBody []*Ticket
		record := func(ticket *Ticket, later bool) {
			if later {
				awaitingBody = append(awaitingBody, ticket)
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
				if ticket, v := c.Admit(now, Request{InstanceID: testInstance, WaitDuringWarmup: true, NonRepeatable: later, Deadline: now.Add(wait)}); v == Admit {
					record(ticket, later)
				}
			case 1:
				out, _ := c.ProcessQueue(now)
				for _, d := range out {
					if d.Decision == Admit {
						record(d.Ticket, later)
					}
				}
			case 2:
				if len(awaitingBody) > 0 {
					if c.Recheck(now, awaitingBody[0]) == Admit {
						reached = append(reached, now)
					}
					awaitingBody = awaitingBody[1:]
				}
			}
			checkWarmupRate(t, b, reached, now)
		}
	})
}

// An evacuation order that arrives late, with a lower number than the applied one, neither starts nor ends an evacuation.
func TestOlderEvacuationChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestController(Limits{})
		var newest uint64
		evacuated := func() bool { return newest%2 == 1 } // odd numbers evacuate the zone
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			n := rapid.Uint64Range(0, 9).Draw(t, "number")
			newest = max(newest, n)
			c.SetEvacuation(n, n%2 == 1)
			want := Admit
			if evacuated() {
				want = Evacuated
			}
			if v := c.rejection(start, testInstance); v != want || c.IsEvacuated() != evacuated() {
				t.Fatalf("after order %d, the newest being %d: %v, want %v", n, newest, v, want)
			}
		}
	})
}
