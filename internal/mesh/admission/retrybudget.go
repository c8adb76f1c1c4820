package admission

import (
	"time"

	"milletmast/internal/stats"
)

// RetryBudget is this proxy's share of the retries that all proxies together may send to one
// service: within any window, a fraction of its own requests plus its share of the free retries. It
// is not safe for concurrent use.
type RetryBudget struct {
	Window    time.Duration
	Ratio     float64 // retries per request
	startedAt time.Time
	requests  stats.SlidingCounter // in seconds since startedAt
	retries   stats.SlidingCounter
}

// budgetFraction is the fraction of the bound that is used, because the calls that a retry causes at
// other services count too.
const budgetFraction = 0.5

// seconds returns a time in seconds since the first use, as the counters expect it.
func (r *RetryBudget) seconds(now time.Time) float64 {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	return now.Sub(r.startedAt).Seconds()
}

// CountRequest counts a request.
func (r *RetryBudget) CountRequest(now time.Time) {
	at := r.seconds(now)
	r.requests.CountSince(at - r.Window.Seconds())
	r.requests.Add(at)
}

// TakeRetry takes a retry off the budget and reports whether there was one; free is this proxy's
// share of the free retries.
func (r *RetryBudget) TakeRetry(now time.Time, free float64) bool {
	at := r.seconds(now)
	from := at - r.Window.Seconds()
	requests, retries := r.requests.CountSince(from), r.retries.CountSince(from)
	if float64(retries+1) > budgetFraction*(r.Ratio*float64(requests)+free) {
		return false
	}
	r.retries.Add(at)
	return true
}
