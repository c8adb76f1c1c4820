package h2

import "time"

// budget is a token bucket for the frames of a peer that cause work without progress: PING, SETTINGS, RST_STREAM, empty DATA
// and the like (CVE-2023-44487, CVE-2019-9512, -9515, -9518). Useful work earns tokens, so that a busy peer is not taken for a
// flood.
type budget struct {
	tokens     float64
	refilledAt time.Time
}

const (
	maxBudget       = 400.0
	budgetPerSecond = 100.0 // a second
)

// spend takes n tokens, and returns false if there were fewer.
func (b *budget) spend(now time.Time, n float64) bool {
	if !b.refilledAt.IsZero() {
		b.earn(budgetPerSecond * now.Sub(b.refilledAt).Seconds())
	} else {
		b.tokens = maxBudget
	}
	b.refilledAt = now
	b.tokens -= n
	return b.tokens >= 0
}

func (b *budget) earn(n float64) { b.tokens = min(b.tokens+max(n, 0), maxBudget) }
