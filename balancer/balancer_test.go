package balancer

import (
	"math"
	"reflect"
	"testing"
)

func TestUnknownIDsChangeNothing(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(2)...)
	h.request(1, 0)
	for _, ev := range []Event{
		{Kind: EvAttemptEnded, Request: 99, Outcome: OK},
		{Kind: EvAttemptEnded, Request: 1, Attempt: 7, Outcome: Error},
		{Kind: EvRequestAbandoned, Request: 99},
		{Kind: EvFirstByte, Request: 1, Attempt: 9},
		{Kind: EvRequest, Request: 5, Class: 44, Deadline: 5000},
		{Kind: EvRequest, Request: 1, Deadline: 5000},
		{Kind: EvTimer, Token: 12345},
		{Kind: EvProbeResult, Server: 4},
		{Kind: 200},
	} {
		if acts := h.do(ev); len(acts) != 0 {
			t.Errorf("event %+v: actions %+v, want none", ev, acts)
		}
	}
	if h.b.inFlight != 1 {
		t.Errorf("%d requests in flight, want 1", h.b.inFlight)
	}
}

// TestEarlyTimerIsSetAgain: a timer that fires a little early, as its time is rounded, is set again.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	var timers []Action
	for _, a := range h.b.Handle(h.now, &Event{Kind: EvRequest, Request: 1, Class: 2, Deadline: h.now + 100}, nil) {
		if a.Kind == ActTimer {
			timers = append(timers, a)
		}
	}
	for range 40 {
		if len(timers) != 1 {
			t.Fatalf("%v: timers %+v while a request waits", h.now, timers)
		}
		h.now += timers[0].Delay - 0.0004
		token := timers[0].Token
		timers = timers[:0]
		for _, a := range h.b.Handle(h.now, &Event{Kind: EvTimer, Token: token}, nil) {
			switch a.Kind {
			case ActTimer:
				timers = append(timers, a)
			case ActReject:
				return
			}
		}
	}
	t.Error("the request was never rejected")
}

// TestSteadyPathDoesNotAllocate: a request and its outcome allocate nothing once the module has run for a
// while.
func TestSteadyPathDoesNotAllocate(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(200)...)
	acts := make([]Action, 0, 16)
	id := uint32(0)
	cycle := func() {
		id++
		h.now += 5
		acts = h.b.Handle(h.now, &Event{Kind: EvRequest, Request: id, Deadline: h.now + 1000}, acts[:0])
		for _, a := range acts {
			if a.Kind == ActSend {
				h.now += 2
				acts = h.b.Handle(h.now, &Event{Kind: EvAttemptEnded, Request: id, Server: a.Server, Elapsed: 2, RequestEnded: true}, acts[:0])
				break
			}
		}
	}
	for range 3000 {
		cycle()
	}
	if got := testing.AllocsPerRun(2000, cycle); got != 0 {
		t.Errorf("%v allocations for a request and its outcome", got)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a, b := newSimulation(t, 5, 3), newSimulation(t, 5, 3)
	other := newSimulation(t, 6, 3)
	for range 2000 {
		a.step()
		other.step() // another instance must not affect it
		b.step()
	}
	if !reflect.DeepEqual(a.trace, b.trace) || len(a.trace) < 500 {
		t.Errorf("traces of %d and %d actions differ", len(a.trace), len(b.trace))
	}
}

// TestInvalidNumbersAreIgnored: an invalid number in an event does not get into averages, and does not keep a
// request forever.
func TestInvalidNumbersAreIgnored(t *testing.T) {
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		h := newHarness(t, testSettings(), serverEntries(2)...)
		h.b.Handle(bad, &Event{Kind: EvTimer}, nil)
		if h.b.now != h.now {
			t.Fatalf("time %v: the clock changed to %v", bad, h.b.now)
		}
		if acts := h.do(Event{Kind: EvRequest, Request: 1, Deadline: bad}); len(acts) != 1 || acts[0].Kind != ActReject {
			t.Errorf("deadline %v: actions %+v, want a reject", bad, acts)
		}
		acts := h.do(Event{Kind: EvRequest, Request: 2, Deadline: h.now + 1000, WorkHint: bad})
		if len(acts) != 1 || acts[0].Kind != ActSend {
			t.Fatalf("work hint %v: actions %+v, want a send", bad, acts)
		}
		h.do(Event{Kind: EvAttemptEnded, Request: 2, Server: acts[0].Server, Outcome: OK, Elapsed: bad, RequestEnded: true})
		if b := h.b; len(b.requests) != 0 || !(b.meanRatio >= 0) || !(b.classes[0].meanLatency >= 0) || math.IsInf(b.meanRatio, 0) {
			t.Errorf("elapsed %v: %d requests held, mean ratio %v", bad, len(b.requests), b.meanRatio)
		}
	}
}
