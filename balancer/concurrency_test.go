package balancer

import (
	"cmp"
	"math"
	"testing"
)

// TestConcurrencyLimitFollowsTheList: when servers leave the list, their requests in flight no longer count,
// and those left get no more than before. Those that come bring their share, one that warms up by its
// capacity.
func TestConcurrencyLimitFollowsTheList(t *testing.T) {
	h := start(t, plain(), ids(4)...)
	for id := uint32(1); id <= 8; id++ {
		h.request(id, 0)
	}
	h.b.concurrencyLimit = 40
	left := h.b.usable[3]
	if h.b.inFlight != 8 || left.inFlight == 0 {
		t.Fatalf("%d requests in flight, %d at the server that leaves", h.b.inFlight, left.inFlight)
	}
	gone := left.ServerEntry
	gone.State = Draining
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{gone}})
	if h.b.concurrencyLimit != 30 || h.b.inFlight != 8-left.inFlight {
		t.Errorf("concurrency limit %v and %d requests in flight, want 30 and %d", h.b.concurrencyLimit, h.b.inFlight, 8-left.inFlight)
	}
	for id, req := range h.b.requests { // a response from there changes nothing any more
		if req.attempts[0].server == left {
			out := h.b.inFlight
			h.do(Event{Kind: EvAttemptEnded, Request: id, Server: left.ID, Outcome: OK, Elapsed: 5, RequestEnded: true})
			if h.b.inFlight != out {
				t.Errorf("%d requests in flight, want %d", h.b.inFlight, out)
			}
		}
	}
	come := []ServerEntry{{ID: 90, State: Ready}, {ID: 91, State: Draining}}
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: come})
	if h.b.concurrencyLimit != 40 {
		t.Errorf("concurrency limit %v with the fourth server back, want 40", h.b.concurrencyLimit)
	}
	h.b.settings.Safety.SlowStartTime, h.b.settings.Safety.SlowStartShare = 1000, 0.4
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{{ID: 92, State: Ready, StartedAt: h.now}}})
	if h.b.concurrencyLimit != 44 {
		t.Errorf("concurrency limit %v with a fifth server that warms up, want 44", h.b.concurrencyLimit)
	}
	for range 3 {
		h.b.recordOutcome(h.b.usable[0], 0, Error, 1)
	}
	if !h.b.usable[0].ejected || math.Round(h.b.concurrencyLimit) != 34 {
		t.Errorf("concurrency limit %v with one server ejected, want 34", h.b.concurrencyLimit)
	}
	for range trialSuccesses {
		h.b.recordOutcome(h.b.usable[0], 0, OK, 1)
	}
	if h.b.usable[0].ejected || math.Round(h.b.concurrencyLimit) != 44 {
		t.Errorf("concurrency limit %v with that one back, want 44", h.b.concurrencyLimit)
	}
}

// TestConcurrencyLimitRisesOnlyWithoutQueueing: the limit does not rise while latencies grow, even if they
// are not high yet, as what is in flight makes them higher still. Before there is a base latency, slow
// responses alone stop it.
func TestConcurrencyLimitRisesOnlyWithoutQueueing(t *testing.T) {
	for _, c := range []struct {
		typical, calm, took float64
		rises               bool
	}{
		{0.3, 0.3, 200, true}, {0.5, 0.3, 350, false},
		{0.3, math.Inf(1), 200, true}, {1.3, math.Inf(1), 910, false},
	} {
		h := start(t, plain(), ids(4)...)
		for range minWindowSamples {
			h.b.recordOutcome(h.b.usable[0], 0, OK, c.took)
		}
		h.b.meanRatio, h.b.baseRatio, h.b.concurrencyLimit, h.b.inFlight = c.typical, c.calm, 40, 40
		if h.b.updateConcurrencyLimit(); h.b.concurrencyLimit > 40 != c.rises {
			t.Errorf("%+v: concurrency limit %v after 40", c, h.b.concurrencyLimit)
		}
	}
}

// TestFastResponsesRaiseTheLimitOfABusyReplica: the base latency is the minimum of something that varies. A
// replica with many responses, all fast for the latency target, does not take chance for queueing. One with
// few has no percentile to go by, and slow responses stop it.
func TestFastResponsesRaiseTheLimitOfABusyReplica(t *testing.T) {
	for _, c := range []struct {
		answers int
		took    float64
		rises   bool
	}{
		{minWindowSamples + 1, 200, true}, {minWindowSamples, 200, false}, {minWindowSamples + 1, 500, false}, {minWindowSamples + 1, 1200, false},
	} {
		h := start(t, plain(), ids(4)...)
		for range c.answers {
			h.b.recordOutcome(h.b.usable[0], 0, OK, c.took)
		}
		h.b.meanRatio, h.b.baseRatio, h.b.concurrencyLimit, h.b.inFlight = 0.3, 0.2, 40, 40
		if h.b.updateConcurrencyLimit(); h.b.concurrencyLimit > 40 != c.rises {
			t.Errorf("%+v: concurrency limit %v after 40", c, h.b.concurrencyLimit)
		}
	}
}

// TestIdleReplicaKeepsAMinimumLimit: with one request at a time a replica would never have the samples of a
// percentile.
func TestIdleReplicaKeepsAMinimumLimit(t *testing.T) {
	set := plain()
	set.Replicas = 700
	h := start(t, set, ids(100)...)
	for id := uint32(1); id <= 2; id++ {
		if acts := h.request(id, 0); len(acts) != 1 || acts[0].Kind != ActSend {
			t.Errorf("request %d: %+v", id, acts)
		}
	}
}

// TestOnlyQueueingSheds: the first tier sheds for queueing, not for a tail that the work itself has, nor for
// some silent servers.
func TestOnlyQueueingSheds(t *testing.T) {
	for _, c := range []struct {
		name string
		sick Outcome
		took float64 // of one request in ten
		slow float64 // by which all others slow down halfway
		shed bool
	}{
		{"a heavy tail", OK, 900, 1, false},
		{"silent servers", Timeout, 900, 1, false},
		{"all wait", OK, 900, 6, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := start(t, plain(), ids(4)...)
			before := 0.0
			for i := range 6000 {
				h.now += 10
				h.b.now = h.now
				s, out, took := h.b.usable[i%4], OK, 80.0
				if i > 3000 {
					took *= c.slow
				}
				if i%10 == 0 {
					out, took = c.sick, c.took
				}
				h.b.recordOutcome(s, 0, out, took)
				s.ejected, s.failureRun = false, 0
				h.b.sendRate.Add(h.now, 1, rateTimeConstant)
				h.b.inFlight = 40
				if h.now >= h.b.limitUpdateAt {
					h.b.updateConcurrencyLimit()
				}
				if i == 3000 {
					before = h.b.concurrencyLimit
				}
			}
			if shed := h.b.concurrencyLimit < before; shed != c.shed || before < 40 {
				t.Errorf("concurrency limit went from %.1f to %.1f", before, h.b.concurrencyLimit)
			}
		})
	}
}

// TestOverloadSoonAfterStart: an overload that begins soon after the start finds a base latency from before
// it. Otherwise the limit would grow with the queues of the servers, against a base from amid the overload.
func TestOverloadSoonAfterStart(t *testing.T) {
	set := plain()
	for i := range set.Classes {
		set.Classes[i].LatencyTarget, set.Classes[i].Timeout = 4000, 8000
	}
	h := start(t, set, ids(4)...)
	began, before := h.now, 0.0
	for h.now < began+4*h.b.silenceTimeout {
		h.now += 10
		h.b.now = h.now
		took := 0.1 * h.b.silenceTimeout
		if h.now > began+1.2*h.b.silenceTimeout {
			before = cmp.Or(before, h.b.concurrencyLimit)
			took = 0.7 * h.b.silenceTimeout // in time, yet seven times the least
		}
		h.b.recordOutcome(h.b.usable[0], 0, OK, took)
		h.b.sendRate.Add(h.now, 1, rateTimeConstant)
		if h.b.inFlight = int(h.b.concurrencyLimit); h.now >= h.b.limitUpdateAt {
			h.b.updateConcurrencyLimit()
		}
	}
	if h.b.concurrencyLimit > 1.5*before {
		t.Errorf("concurrency limit %.1f, %.1f before answers became slow", h.b.concurrencyLimit, before)
	}
}

// TestFewSamplesMoveTheLimitByTheMean: a replica with too few samples for a percentile moves its limit by the
// mean latency.
func TestFewSamplesMoveTheLimitByTheMean(t *testing.T) {
	for _, slow := range []float64{1, 8} {
		h := start(t, plain(), ids(4)...)
		s := h.b.usable[0]
		for i := range 60 {
			h.now += 1000
			h.b.now = h.now
			took := 80.0
			if i >= 30 {
				took *= slow
			}
			h.b.recordOutcome(s, 0, OK, took)
			s.ejected, s.failureRun = false, 0
			h.b.inFlight = 25
			h.b.updateConcurrencyLimit()
		}
		if rose := h.b.concurrencyLimit > h.b.initialLimit; rose != (slow == 1) {
			t.Errorf("answers %v times slower: concurrency limit %.1f of %.1f at first", slow, h.b.concurrencyLimit, h.b.initialLimit)
		}
	}
}

// TestFirstResponsesMoveTheLimit: a replica with few requests has no twenty responses for seconds. While the
// first are fast its limit rises beside idle servers; while they are slow it does not.
func TestFirstResponsesMoveTheLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  float64
		count int
		rises bool
	}{
		{"quick", 50, minFirstSamples, true},
		{"slow", 900, minFirstSamples, false},
		{"too few", 50, minFirstSamples - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := plain()
			set.Replicas = 10
			h := start(t, set, ids(8)...)
			first := h.b.initialLimit
			for id := uint32(1); id <= uint32(c.count); id++ {
				acts := h.request(id, 0)
				h.do(Event{Kind: EvAttemptEnded, Request: id, Server: acts[0].Server, Outcome: OK, Elapsed: c.took, RequestEnded: true})
			}
			for id := uint32(101); id <= 103; id++ { // it rises only as far as it is used
				h.request(id, 0)
			}
			h.now += statsWindow
			h.request(104, 0)
			if rose := h.b.concurrencyLimit > first; rose != c.rises {
				t.Errorf("concurrency limit %v after %d answers, %v at first", h.b.concurrencyLimit, c.count, first)
			}
		})
	}
}

// TestMinConcurrencyPerServer: a replica sends the minimum for each serving server, however small its limit
// became; without a minimum it keeps to the limit.
func TestMinConcurrencyPerServer(t *testing.T) {
	sent := func(least float64) int {
		b, err := New(Settings{
			Classes: []Class{{Name: "c", PriorityWeight: 1, LatencyTarget: 1000, Timeout: 5000}},
			Limits:  Limits{MinConcurrencyPerServer: least, StreamsPerConn: 100},
		}, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		var acts []Action
		now, id := 0.0, uint32(0)
		list := func(n int) {
			ev := Event{Kind: EvServerList, List: ListFull}
			for s := range n {
				ev.Servers = append(ev.Servers, ServerEntry{ID: uint32(s + 1)})
			}
			acts = b.Handle(now, &ev, acts[:0])
		}
		list(1)
		for range 60 { // overloaded: each answer is late
			now += 100
			id++
			acts = b.Handle(now, &Event{Kind: EvRequest, Request: id, Deadline: now + 5000}, acts[:0])
			for _, a := range acts {
				if a.Kind == ActSend {
					acts = b.Handle(now+2000, &Event{Kind: EvAttemptEnded, Request: a.Request, Server: a.Server, Outcome: OK, Elapsed: 2000}, nil)
					break
				}
			}
		}
		now += 2000
		list(4)
		n := 0
		for range 40 {
			id++
			acts = b.Handle(now, &Event{Kind: EvRequest, Request: id, Deadline: now + 5000}, acts[:0])
			for _, a := range acts {
				if a.Kind == ActSend {
					n++
				}
			}
		}
		return n
	}
	if with, without := sent(9), sent(0); with < 27 || without > 21 { // the overloaded server is ejected, and has none
		t.Fatalf("%d requests go out with a least concurrency limit of 9 for each of 3 servers, %d without", with, without)
	}
}
