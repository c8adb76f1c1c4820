package balancer

import (
	"math"
	"testing"
)

// budgeted returns settings of a site that states a retry budget of one retry and a tenth of the requests.
func budgeted() Settings {
	set := plain()
	set.Safety.RetryBudgetMin, set.Safety.RetryBudgetShare, set.Safety.RetryBudgetWindow = 1, 0.1, 10000
	return set
}

// TestRetryBudgetBoundsEveryRetry: outcomes that prove that nothing ran count in a stated budget too.
// Otherwise each rejection would be followed by another attempt.
func TestRetryBudgetBoundsEveryRetry(t *testing.T) {
	h := start(t, budgeted(), ids(20)...)
	var taken, further []float64
	for id := uint32(1); id <= 400; id++ {
		h.now += 37
		taken = append(taken, h.now)
		acts := h.request(id, uint16(id%3))
		for attempt := uint16(0); len(acts) > 0 && acts[0].Kind == ActSend; attempt++ {
			if attempt > 0 {
				further = append(further, h.now)
				from, f := h.now-10000, &h.b.settings.Safety
				allowed := f.RetryBudgetMin + f.RetryBudgetShare*count(taken, from+1e-6)
				if made := count(further, from); made > allowed+1e-9 {
					t.Fatalf("%v: %v retries in the window, %v allowed", h.now, made, allowed)
				}
			}
			h.now++
			out := []Outcome{NotExecuted, ConnectFailed, Error}[id%3]
			acts = h.do(Event{Kind: EvAttemptEnded, Request: id, Attempt: attempt, Server: acts[0].Server, Outcome: out, Elapsed: 1})
		}
	}
	if len(further) < 20 {
		t.Errorf("only %d retries: the budget was not used", len(further))
	}
	if n := h.b.recentRequests.Len(); n > 1200 {
		t.Errorf("%d entries kept for a window that holds 270", n)
	}
}

// TestRetryBudgetUsedUpWhileQueued: a request that is queued for a retry while others use up the budget is
// answered, and holds up nothing behind it.
func TestRetryBudgetUsedUpWhileQueued(t *testing.T) {
	h := start(t, budgeted(), ids(4)...)
	sent := map[uint32]uint32{}
	for id := uint32(1); id <= 2; id++ {
		for _, a := range h.request(id, 2) {
			sent[id] = a.Server
		}
	}
	h.b.concurrencyLimit, h.b.limitUpdateAt = 0, math.Inf(1)
	for id := uint32(1); id <= 2; id++ {
		if acts := h.do(Event{Kind: EvAttemptEnded, Request: id, Server: sent[id], Outcome: NotExecuted, Elapsed: 1}); len(acts) != 0 {
			t.Fatalf("want both to wait: %+v", acts)
		}
	}
	h.b.concurrencyLimit = 10
	acts := h.do(Event{Kind: EvTimer})
	if len(acts) != 2 || acts[0].Kind != ActSend || acts[1].Kind != ActReject {
		t.Errorf("want one sent and one rejected: %+v", acts)
	}
}
