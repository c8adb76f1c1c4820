package balancer

import (
	"math"
	"testing"

	"milletmast/internal/stats"
)

func TestQueueIsOrderedAndBounded(t *testing.T) {
	set := plain()
	h := start(t, set, ids(1)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt = 1, math.Inf(1)
	h.b.sendRate = stats.SteadyRate(20, h.now)
	if acts := h.request(1, 0); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Fatalf("first request: %+v", acts)
	}
	var refused int
	for id := uint32(2); id < 20; id++ {
		acts := h.request(id, 2)
		if len(acts) > 0 && acts[0].Kind == ActReject {
			refused++
		}
	}
	held := len(h.b.queue)
	if held < 2 || refused != 18-held {
		t.Fatalf("%d requests held and %d rejected of 18", held, refused)
	}
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: 100, Outcome: OK, Elapsed: 20, RequestEnded: true})
	if len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Request != 2 {
		t.Errorf("the head of the queue must be sent first: %+v", acts)
	}
}

func TestLowPriorityIsRejectedFirst(t *testing.T) {
	h := start(t, plain(), ids(1)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 1, math.Inf(1), stats.SteadyRate(60, h.now)
	h.request(1, 2)
	for id := uint32(2); id < 5; id++ {
		h.request(id, 2)
	}
	if acts := h.request(9, 0); len(acts) != 1 || acts[0].Kind != ActReject {
		t.Errorf("a request of worth 1 behind three of worth 5: %+v", acts)
	}
	if acts := h.request(10, 2); len(acts) != 0 {
		t.Errorf("a request of worth 5 must still be held: %+v", acts)
	}
}

// TestWorstServedClassHasMoreValue: where the goal counts the worst-served class, that class is not the one
// that is always rejected. Its requests have more value the rarer they are, until another class is served
// worse.
func TestWorstServedClassHasMoreValue(t *testing.T) {
	set := plain()
	set.WorstClassWeight = 0.5
	h := start(t, set, ids(1)...)
	plainValue := h.b.classValue(1)
	for range 200 { // requests of the cheapest class that end unserved
		h.b.endRequest(&request{class: 0})
	}
	if worst := h.b.worstServedClass(); worst != 0 || h.b.classValue(1) != plainValue {
		t.Fatalf("class %d is held to be served worst; value of another %v, before %v", worst, h.b.classValue(1), plainValue)
	}
	mean := (1 + 2 + 5) / 3.0
	if want := (1 + 0.5*mean*3) / 500; math.Abs(h.b.classValue(0)-want) > 1e-9 {
		t.Errorf("value %v, want %v", h.b.classValue(0), want)
	}
	for range 400 {
		h.b.endRequest(&request{class: 2})
	}
	if worst := h.b.worstServedClass(); worst != 2 {
		t.Errorf("class %d, want the one that is served worst now", worst)
	}
}

// TestRequestExpiresBehindALongerLivedHead: a queued request behind a head with more time is answered in its
// time.
func TestRequestExpiresBehindALongerLivedHead(t *testing.T) {
	h := start(t, plain())
	h.request(1, 0)
	h.do(Event{Kind: EvRequest, Request: 2, Class: 0, Deadline: h.now + 100})
	h.now += 120
	acts := h.do(Event{Kind: EvTimer, Token: 1})
	if len(acts) != 1 || acts[0].Kind != ActReject || acts[0].Request != 2 {
		t.Errorf("want request 2 rejected: %+v", acts)
	}
	h.now += 1000
	if acts = h.do(Event{Kind: EvTimer, Token: 1}); len(acts) != 1 || acts[0].Request != 1 {
		t.Errorf("want request 1 rejected when its latency target has passed: %+v", acts)
	}
}

// TestLatencyTargetGrowsWithTheWorkHint: heavy requests of a class whose latency target grows with their work
// are not ended early.
func TestLatencyTargetGrowsWithTheWorkHint(t *testing.T) {
	set := plain()
	set.Classes[0].TargetPerWork = 2
	for hint, target := range map[float64]float64{0: 500, 100: 700, 900: 1000} {
		h := start(t, set)
		h.do(Event{Kind: EvRequest, Request: 1, Deadline: h.now + 5000, WorkHint: hint})
		if got := h.b.requests[1].targetAt - h.now; got != target {
			t.Errorf("hint %v: latency target after %v, want %v", hint, got, target)
		}
	}
}

// TestSlowClassIsNotStarved: a class whose mean latency has passed its target is still sent. Otherwise no
// response could correct the mean.
func TestSlowClassIsNotStarved(t *testing.T) {
	h := start(t, plain(), ids(2)...)
	h.b.classes[2].meanLatency = 900 // the latency target is 500
	if acts := h.request(1, 2); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Fatalf("with a free server: %+v", acts)
	}
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 1, math.Inf(1), stats.SteadyRate(20, h.now)
	if acts := h.request(2, 2); len(acts) != 0 {
		t.Errorf("want the request to wait: %+v", acts)
	}
	h.now += 20
	acts := h.do(Event{Kind: EvAttemptEnded, Request: 1, Server: h.b.requests[1].attempts[0].server.ID, Outcome: OK, RequestEnded: true})
	if len(acts) != 1 || acts[0].Kind != ActSend || acts[0].Request != 2 {
		t.Errorf("want the waiting request sent: %+v", acts)
	}
}

// TestDemandOfTheFirstSeconds: a replica's first seconds do not count as idle ones. Its queue and the credit
// of its servers follow the send rate, and would allow a tenth of the requests.
func TestDemandOfTheFirstSeconds(t *testing.T) {
	for _, rate := range []float64{2, 20, 200} {
		a, now := stats.DecayingRate{}, 5000.0
		for range int(8 * rate) {
			a.Add(now, 1, rateTimeConstant)
			now += 1000 / rate
			if got := a.Rate(minRateWeight); now > 5000+max(500, 2000/rate) && (got < 0.7*rate || got > 1.6*rate) {
				t.Errorf("%v a second: %v after %v ms", rate, got, now-5000)
			}
		}
		if got := a.Rate(minRateWeight); got < 0.9*rate || got > 1.3*rate {
			t.Errorf("%v a second: %v in the end", rate, got)
		}
	}
}

// TestOverQuotaRequestsLeaveCapacity: requests beyond a tenant's quota leave capacity for those within
// theirs.
func TestOverQuotaRequestsLeaveCapacity(t *testing.T) {
	set := plain()
	set.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	h := start(t, set, ids(4)...)
	h.b.concurrencyLimit, h.b.limitUpdateAt, h.b.sendRate = 20, math.Inf(1), stats.SteadyRate(1000, h.now)
	h.b.inFlight = 12
	ask := func(id uint32, tenant uint16) []Action {
		return h.do(Event{Kind: EvRequest, Request: id, Tenant: tenant, Deadline: h.now + 1000})
	}
	for id := uint32(1); id <= 2; id++ {
		ask(id, 0) // its burst
	}
	if acts := ask(3, 0); len(acts) != 1 || acts[0].Kind != ActReject || acts[0].Delay <= 0 {
		t.Errorf("beyond the quota with half of the concurrency limit taken: %+v, want a refusal with a Retry-After", acts)
	}
	if acts := ask(4, 1); len(acts) != 1 || acts[0].Kind != ActSend {
		t.Errorf("within the quota: %+v, want a send", acts)
	}
}

// TestInnerTierEndsAtTheLatencyTarget: a silent server of an inner tier does not hold its caller's slot
// longer than a response has any worth.
func TestInnerTierEndsAtTheLatencyTarget(t *testing.T) {
	for _, c := range []struct {
		stage int
		late  float64
		want  float64
	}{{1, 0, 500}, {0, 0, 1000}, {1, 0.5, 1000}} {
		set := plain()
		set.Tiers, set.Tier = 2, c.stage
		set.Classes[0].LateShare = c.late
		h := start(t, set, ids(2)...)
		if acts := h.request(1, 0); len(acts) != 1 || acts[0].Deadline != h.now+c.want {
			t.Errorf("tier %d, late worth %v: %+v, want it given up after %v", c.stage, c.late, acts, c.want)
		}
	}
}
