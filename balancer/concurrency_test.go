package balancer

import (
	"cmp"
	"math"
	"testing"
)

// TestConcurrencyLimitFollowsTheList: when servers leave the list, their requests in flight no longer count,
// and those left get no more than before. An added server raises the limit by an equal share,
// or by its reduced capacity while it warms up.
func TestConcurrencyLimitFollowsTheList(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(4)...)
	for id := uint32(1); id <= 8; id++ {
		h.request(id, 0)
	}
	h.b.concurrencyLimit = 40
	leaving := h.b.usable[3]
	if h.b.inFlight != 8 || leaving.inFlight == 0 {
		t.Fatalf("%d requests in flight, %d at the server that leaves", h.b.inFlight, leaving.inFlight)
	}
	entry := leaving.ServerEntry
	entry.State = Draining
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: []ServerEntry{entry}})
	if h.b.concurrencyLimit != 30 || h.b.inFlight != 8-leaving.inFlight {
		t.Errorf("concurrency limit %v and %d requests in flight, want 30 and %d", h.b.concurrencyLimit, h.b.inFlight, 8-leaving.inFlight)
	}
	for id, req := range h.b.requests { // a response from the draining server must not change the count
		if req.attempts[0].server == leaving {
			before := h.b.inFlight
			h.do(Event{Kind: EvAttemptEnded, Request: id, Server: leaving.ID, Outcome: OK, Elapsed: 5, RequestEnded: true})
			if h.b.inFlight != before {
				t.Errorf("%d requests in flight after a response from the draining server, want %d", h.b.inFlight, before)
			}
		}
	}
	added := []ServerEntry{{ID: 90, State: Ready}, {ID: 91, State: Draining}}
	h.do(Event{Kind: EvServerList, List: ListDelta, Servers: added})
	if h.b.concurrencyLimit != 40 {
		t.Errorf("concurrency limit %v with a fourth server added, want 40", h.b.concurrencyLimit)
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
		t.Errorf("concurrency limit %v with that server no longer ejected, want 44", h.b.concurrencyLimit)
	}
}

// TestConcurrencyLimitRisesOnlyWithoutQueueing: the limit does not rise while latencies grow, even if they
// are not high yet, as the requests in flight will raise them further. While there is no base latency, slow
// responses alone stop the rise.
func TestConcurrencyLimitRisesOnlyWithoutQueueing(t *testing.T) {
	for _, c := range []struct {
		meanRatio, baseRatio, elapsed float64
		rises                         bool
	}{
		{0.3, 0.3, 200, true}, {0.5, 0.3, 350, false},
		{0.3, math.Inf(1), 200, true}, {1.3, math.Inf(1), 910, false},
	} {
		h := newHarness(t, testSettings(), serverEntries(4)...)
		for range minWindowSamples {
			h.b.recordOutcome(h.b.usable[0], 0, OK, c.elapsed)
		}
		h.b.meanRatio, h.b.baseRatio, h.b.concurrencyLimit, h.b.inFlight = c.meanRatio, c.baseRatio, 40, 40
		if h.b.updateConcurrencyLimit(); h.b.concurrencyLimit > 40 != c.rises {
			t.Errorf("%+v: concurrency limit %v after 40", c, h.b.concurrencyLimit)
		}
	}
}

// TestFastResponsesRaiseTheLimitOfABusyReplica: the base latency is a minimum, and latencies vary. A replica
// with many responses, all fast for the latency target, must not mistake that variation for queueing. The limit
// of one with too few responses for a percentile, or with slow ones, does not rise.
func TestFastResponsesRaiseTheLimitOfABusyReplica(t *testing.T) {
	for _, c := range []struct {
		responses int
		elapsed   float64
		rises     bool
	}{
		{minWindowSamples + 1, 200, true}, {minWindowSamples, 200, false}, {minWindowSamples + 1, 500, false}, {minWindowSamples + 1, 1200, false},
	} {
		h := newHarness(t, testSettings(), serverEntries(4)...)
		for range c.responses {
			h.b.recordOutcome(h.b.usable[0], 0, OK, c.elapsed)
		}
		h.b.meanRatio, h.b.baseRatio, h.b.concurrencyLimit, h.b.inFlight = 0.3, 0.2, 40, 40
		if h.b.updateConcurrencyLimit(); h.b.concurrencyLimit > 40 != c.rises {
			t.Errorf("%+v: concurrency limit %v after 40", c, h.b.concurrencyLimit)
		}
	}
}

// TestIdleReplicaKeepsAMinimumLimit: with one request at a time a replica would never have enough samples
// for a percentile.
func TestIdleReplicaKeepsAMinimumLimit(t *testing.T) {
	set := testSettings()
	set.Replicas = 700
	h := newHarness(t, set, serverEntries(100)...)
	for id := uint32(1); id <= 2; id++ {
		if acts := h.request(id, 0); len(acts) != 1 || acts[0].Kind != ActSend {
			t.Errorf("request %d: actions %+v, want a send", id, acts)
		}
	}
}

// TestOnlyQueueingSheds: the first tier sheds when requests queue, but not for a latency tail of the work
// itself, nor for timeouts of some servers.
func TestOnlyQueueingSheds(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  Outcome // of one request in ten
		elapsed  float64 // of one request in ten
		slowdown float64 // factor by which all others become slower halfway
		shed     bool
	}{
		{"a heavy tail", OK, 900, 1, false},
		{"silent servers", Timeout, 900, 1, false},
		{"all queue", OK, 900, 6, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), serverEntries(4)...)
			before := 0.0
			for i := range 6000 {
				h.now += 10
				h.b.now = h.now
				s, outcome, elapsed := h.b.usable[i%4], OK, 80.0
				if i > 3000 {
					elapsed *= c.slowdown
				}
				if i%10 == 0 {
					outcome, elapsed = c.outcome, c.elapsed
				}
				h.b.recordOutcome(s, 0, outcome, elapsed)
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
				t.Errorf("concurrency limit changed from %.1f to %.1f, want a decrease: %v", before, h.b.concurrencyLimit, c.shed)
			}
		})
	}
}

// TestOverloadSoonAfterStart: an overload may begin soon after the start. The base latency must be from before
// it: against a base measured during the overload, the limit would grow with the queues of the servers.
func TestOverloadSoonAfterStart(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].LatencyTarget, set.Classes[i].Timeout = 4000, 8000
	}
	h := newHarness(t, set, serverEntries(4)...)
	began, before := h.now, 0.0
	for h.now < began+4*h.b.silenceTimeout {
		h.now += 10
		h.b.now = h.now
		elapsed := 0.1 * h.b.silenceTimeout
		if h.now > began+1.2*h.b.silenceTimeout {
			before = cmp.Or(before, h.b.concurrencyLimit)
			elapsed = 0.7 * h.b.silenceTimeout // in time, but seven times the base
		}
		h.b.recordOutcome(h.b.usable[0], 0, OK, elapsed)
		h.b.sendRate.Add(h.now, 1, rateTimeConstant)
		if h.b.inFlight = int(h.b.concurrencyLimit); h.now >= h.b.limitUpdateAt {
			h.b.updateConcurrencyLimit()
		}
	}
	if h.b.concurrencyLimit > 1.5*before {
		t.Errorf("concurrency limit %.1f, %.1f before responses became slow", h.b.concurrencyLimit, before)
	}
}

// TestFewSamplesAdjustTheLimitByTheMean: a replica with too few samples for a percentile adjusts its limit by
// the mean latency.
func TestFewSamplesAdjustTheLimitByTheMean(t *testing.T) {
	for _, slowdown := range []float64{1, 8} {
		h := newHarness(t, testSettings(), serverEntries(4)...)
		s := h.b.usable[0]
		for i := range 60 {
			h.now += 1000
			h.b.now = h.now
			elapsed := 80.0
			if i >= 30 {
				elapsed *= slowdown
			}
			h.b.recordOutcome(s, 0, OK, elapsed)
			s.ejected, s.failureRun = false, 0
			h.b.inFlight = 25
			h.b.updateConcurrencyLimit()
		}
		if rose := h.b.concurrencyLimit > h.b.initialLimit; rose != (slowdown == 1) {
			t.Errorf("responses %v times slower: concurrency limit %.1f, initially %.1f", slowdown, h.b.concurrencyLimit, h.b.initialLimit)
		}
	}
}

// TestFirstResponsesAdjustTheLimit: a replica with few requests takes seconds to get twenty responses. If the
// first ones are fast, its limit rises, as the servers are idle; if they are slow, it does not.
func TestFirstResponsesAdjustTheLimit(t *testing.T) {
	for _, c := range []struct {
		name    string
		elapsed float64
		count   int
		rises   bool
	}{
		{"quick", 50, minFirstSamples, true},
		{"slow", 900, minFirstSamples, false},
		{"too few", 50, minFirstSamples - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Replicas = 10
			h := newHarness(t, set, serverEntries(8)...)
			first := h.b.initialLimit
			for id := uint32(1); id <= uint32(c.count); id++ {
				acts := h.request(id, 0)
				h.do(Event{Kind: EvAttemptEnded, Request: id, Server: acts[0].Server, Outcome: OK, Elapsed: c.elapsed, RequestEnded: true})
			}
			for id := uint32(101); id <= 103; id++ { // the limit rises only as far as it is used
				h.request(id, 0)
			}
			h.now += statsWindow
			h.request(104, 0)
			if rose := h.b.concurrencyLimit > first; rose != c.rises {
				t.Errorf("concurrency limit %v after %d responses, initially %v", h.b.concurrencyLimit, c.count, first)
			}
		})
	}
}

// TestMinConcurrencyPerServer: a replica sends the minimum for each serving server, however small its limit
// became. Without a minimum it does not exceed the limit.
func TestMinConcurrencyPerServer(t *testing.T) {
	countSends := func(minPerServer float64) int {
		b, err := New(Settings{
			Classes: []Class{{Name: "c", PriorityWeight: 1, LatencyTarget: 1000, Timeout: 5000}},
			Limits:  Limits{MinConcurrencyPerServer: minPerServer, StreamsPerConn: 100},
		}, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		var acts []Action
		now, id := 0.0, uint32(0)
		setServers := func(n int) {
			ev := Event{Kind: EvServerList, List: ListFull}
			for s := range n {
				ev.Servers = append(ev.Servers, ServerEntry{ID: uint32(s + 1)})
			}
			acts = b.Handle(now, &ev, acts[:0])
		}
		setServers(1)
		for range 60 { // overloaded: each response is late
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
		setServers(4)
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
	if with, without := countSends(9), countSends(0); with < 27 || without > 21 { // the overloaded server is ejected and gets none
		t.Fatalf("%d requests sent with a minimum concurrency of 9 for each of 3 servers, %d without; want at least 27 and at most 21", with, without)
	}
}
