package balancer

import (
	"math"
	"testing"
)

// retryBudgetSettings returns settings with a retry budget of one retry and a tenth of the requests.
func retryBudgetSettings() Settings {
	set := testSettings()
	set.Safety.RetryBudgetMin, set.Safety.RetryBudgetShare, set.Safety.RetryBudgetWindow = 1, 0.1, 10000
	return set
}

// TestRetryBudgetBoundsEveryRetry: retries after outcomes that prove that nothing ran count against the site's
// budget too. Otherwise each rejection would be followed by another attempt.
func TestRetryBudgetBoundsEveryRetry(t *testing.T) {
	h := newHarness(t, retryBudgetSettings(), serverEntries(20)...)
	var arrivals, retries []float64
	for id := uint32(1); id <= 400; id++ {
		h.now += 37
		arrivals = append(arrivals, h.now)
		acts := h.request(id, uint16(id%3))
		for attempt := uint16(0); len(acts) > 0 && acts[0].Kind == ActSend; attempt++ {
			if attempt > 0 {
				retries = append(retries, h.now)
				from, f := h.now-10000, &h.b.settings.Safety
				allowed := f.RetryBudgetMin + f.RetryBudgetShare*count(arrivals, from+1e-6)
				if made := count(retries, from); made > allowed+1e-9 {
					t.Fatalf("%v: %v retries in the window, %v allowed", h.now, made, allowed)
				}
			}
			h.now++
			out := []Outcome{NotExecuted, ConnectFailed, Error}[id%3]
			acts = h.do(Event{Kind: EvAttemptEnded, Request: id, Attempt: attempt, Server: acts[0].Server, Outcome: out, Elapsed: 1})
		}
	}
	if len(retries) < 20 {
		t.Errorf("only %d retries: the budget was not used", len(retries))
	}
	if n := h.b.recentRequests.Len(); n > 1200 {
		t.Errorf("%d entries kept for a window that holds 270", n)
	}
}

// TestRetryBudgetUsedUpWhileQueued: a request that is queued for a retry while others use up the budget is
// rejected, and does not block the queue.
func TestRetryBudgetUsedUpWhileQueued(t *testing.T) {
	h := newHarness(t, retryBudgetSettings(), serverEntries(4)...)
	sent := map[uint32]uint32{}
	for id := uint32(1); id <= 2; id++ {
		for _, a := range h.request(id, 2) {
			sent[id] = a.Server
		}
	}
	h.b.concurrencyLimit, h.b.limitUpdateAt = 0, math.Inf(1)
	for id := uint32(1); id <= 2; id++ {
		if acts := h.do(Event{Kind: EvAttemptEnded, Request: id, Server: sent[id], Outcome: NotExecuted, Elapsed: 1}); len(acts) != 0 {
			t.Fatalf("actions %+v, want both requests queued", acts)
		}
	}
	h.b.concurrencyLimit = 10
	acts := h.do(Event{Kind: EvTimer})
	if len(acts) != 2 || acts[0].Kind != ActSend || acts[1].Kind != ActReject {
		t.Errorf("actions %+v, want one request sent and one rejected", acts)
	}
}
