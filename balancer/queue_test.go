package balancer

import (
	"math"
	"testing"

	"milletmast/internal/stats"
)

func TestQueueIsOrderedAndBounded(t *testing.T) {
	set := testSettings()
	h := newHarness(t, set, serverEntries(1)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt = 1, math.Inf(1)
	h.b.sendRate = stats.SteadyRate(20, h.now)
	if acts := h.request(1, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Fatalf("first request: actions %+v, want a send", acts)
	}
	var rejected int
	for id := uint32(2); id < 20; id++ {
		acts := h.request(id, 2)
		if len(acts) > 0 && acts[0].Kind == ActReject {
			rejected++
		}
	}
	queued := len(h.b.queue)
	if queued < 2 || rejected != 18-queued {
		t.Fatalf("%d requests queued and %d rejected of 18", queued, rejected)
	}
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: 100, Outcome: OK, Elapsed: 20, RequestEnded: true})
	if len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Request != 2 {
		t.Errorf("the head of the queue must be sent first: %+v", acts)
	}
}

func TestLowPriorityIsRejectedFirst(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(1)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 1, math.Inf(1), stats.SteadyRate(60, h.now)
	h.request(1, 2)
	for id := uint32(2); id < 5; id++ {
		h.request(id, 2)
	}
	if acts := h.request(9, 0); len(acts) != 1 || acts[0].Kind != ActReject {
		t.Errorf("a request with priority weight 1 behind three with 5: actions %+v, want a reject", acts)
	}
	if acts := h.request(10, 2); len(acts) != 0 {
		t.Errorf("a request with priority weight 5: actions %+v, want it queued", acts)
	}
}

// TestWorstServedClassHasMoreValue: where the goal counts the worst-served class, that class must not be the
// one that is always rejected. Its requests have more value the rarer they are, until another class is served
// worse.
func TestWorstServedClassHasMoreValue(t *testing.T) {
	set := testSettings()
	set.WorstClassWeight = 0.5
	h := newHarness(t, set, serverEntries(1)...)
	valueBefore := h.b.classValue(1)
	for range 200 { // requests of the class with the lowest value that end without a response
		h.b.endRequest(&request{class: 0})
	}
	if worst := h.b.worstServedClass(); worst != 0 || h.b.classValue(1) != valueBefore {
		t.Fatalf("worst-served class %d, want 0; value of class 1 %v, before %v", worst, h.b.classValue(1), valueBefore)
	}
	mean := (1 + 2 + 5) / 3.0
	if want := (1 + 0.5*mean*3) / 500; math.Abs(h.b.classValue(0)-want) > 1e-9 {
		t.Errorf("value %v, want %v", h.b.classValue(0), want)
	}
	for range 400 {
		h.b.endRequest(&request{class: 2})
	}
	if worst := h.b.worstServedClass(); worst != 2 {
		t.Errorf("worst-served class %d, want 2", worst)
	}
}

// TestRequestExpiresBehindALongerLivedHead: a queued request expires at its own deadline, also behind a head
// that has more time left.
func TestRequestExpiresBehindALongerLivedHead(t *testing.T) {
	h := newHarness(t, testSettings())
	h.request(1, 0)
	h.do(Event{Kind: EvRequest, Request: 2, Class: 0, Deadline: h.now + 100})
	h.now += 120
	acts := h.do(Event{Kind: EvTimer, Token: 1})
	if len(acts) != 1 || acts[0].Kind != ActReject || acts[0].Request != 2 {
		t.Errorf("actions %+v, want request 2 rejected", acts)
	}
	h.now += 1000
	if acts = h.do(Event{Kind: EvTimer, Token: 1}); len(acts) != 1 || acts[0].Request != 1 {
		t.Errorf("actions %+v, want request 1 rejected after its latency target", acts)
	}
}

// TestLatencyTargetGrowsWithTheWorkHint: requests with much work are not ended early if the latency target of
// their class grows with the work.
func TestLatencyTargetGrowsWithTheWorkHint(t *testing.T) {
	set := testSettings()
	set.Classes[0].TargetPerWork = 2
	for hint, target := range map[float64]float64{0: 500, 100: 700, 900: 1000} {
		h := newHarness(t, set)
		h.do(Event{Kind: EvRequest, Request: 1, Deadline: h.now + 5000, WorkHint: hint})
		if got := h.b.requests[1].targetAt - h.now; got != target {
			t.Errorf("hint %v: latency target after %v, want %v", hint, got, target)
		}
	}
}

// TestSlowClassIsNotStarved: requests of a class whose mean latency exceeds its target are still sent.
// Otherwise no response could correct the mean.
func TestSlowClassIsNotStarved(t *testing.T) {
	h := newHarness(t, testSettings(), serverEntries(2)...)
	h.b.classes[2].meanLatency = 900 // the latency target is 500
	if acts := h.request(1, 2); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Fatalf("with an idle server: actions %+v, want a send", acts)
	}
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 1, math.Inf(1), stats.SteadyRate(20, h.now)
	if acts := h.request(2, 2); len(acts) != 0 {
		t.Errorf("at the concurrency limit: actions %+v, want none", acts)
	}
	h.now += 20
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: h.b.requests[1].attempts[0].server.ID, Outcome: OK, RequestEnded: true})
	if len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Request != 2 {
		t.Errorf("actions %+v, want the queued request sent", acts)
	}
}

// TestSendRateOfTheFirstSeconds: the time before a replica's start must not count as idle time in its send
// rate. Otherwise its queue and the credit of its servers would allow only a tenth of the requests.
func TestSendRateOfTheFirstSeconds(t *testing.T) {
	for _, rate := range []float64{2, 20, 200} {
		a, now := stats.DecayingRate{}, 5000.0
		for range int(8 * rate) {
			a.Add(now, 1, rateTimeConstant)
			now += 1000 / rate
			if got := a.Rate(minRateWeight); now > 5000+max(500, 2000/rate) && (got < 0.7*rate || got > 1.6*rate) {
				t.Errorf("%v requests a second: rate %v after %v ms", rate, got, now-5000)
			}
		}
		if got := a.Rate(minRateWeight); got < 0.9*rate || got > 1.3*rate {
			t.Errorf("%v requests a second: rate %v at the end", rate, got)
		}
	}
}

// TestOverQuotaRequestsLeaveCapacity: requests beyond a tenant's quota leave capacity for those within
// theirs.
func TestOverQuotaRequestsLeaveCapacity(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	h := newHarness(t, set, serverEntries(4)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 20, math.Inf(1), stats.SteadyRate(1000, h.now)
	h.b.inFlight = 12
	request := func(id uint32, tenant uint16) []Action {
		return h.do(Event{Kind: EvRequest, Request: id, Tenant: tenant, Deadline: h.now + 1000})
	}
	for id := uint32(1); id <= 2; id++ {
		request(id, 0) // uses up the tenant's burst
	}
	if acts := request(3, 0); len(acts) != 1 || acts[0].Kind != ActReject || acts[0].Delay <= 0 {
		t.Errorf("beyond the quota with half of the concurrency limit used: actions %+v, want a reject with a delay", acts)
	}
	if acts := request(4, 1); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("within the quota: actions %+v, want a send", acts)
	}
}

// TestInnerTierEndsAtTheLatencyTarget: a silent server of an inner tier must not occupy its caller's slot after
// a response has lost all value.
func TestInnerTierEndsAtTheLatencyTarget(t *testing.T) {
	for _, c := range []struct {
		tier      int
		lateShare float64
		want      float64
	}{{1, 0, 500}, {0, 0, 1000}, {1, 0.5, 1000}} {
		set := testSettings()
		set.Tiers, set.Tier = 2, c.tier
		set.Classes[0].LateShare = c.lateShare
		h := newHarness(t, set, serverEntries(2)...)
		if acts := h.request(1, 0); len(acts) != 1 || acts[0].Deadline != h.now+c.want {
			t.Errorf("tier %d, late share %v: actions %+v, want a deadline after %v", c.tier, c.lateShare, acts, c.want)
		}
	}
}
