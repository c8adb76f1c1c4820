package h2

import "time"

// budget is a token bucket for the frames of a peer that cause work without progress: PING, SETTINGS, RST_STREAM, empty DATA
// and the like (CVE-2023-44487, CVE-2019-9512, -9515, -9518). Frames that make progress earn tokens,
// so that a busy peer is not mistaken for an attacker.
type budget struct {
	tokens     float64
	refilledAt time.Time
}

const (
	maxTokens       = 400.0
	tokensPerSecond = 100.0
)

// spend takes n tokens, and returns false if there were fewer.
func (b *budget) spend(now time.Time, n float64) bool {
	if !b.refilledAt.IsZero() {
		b.earn(tokensPerSecond * now.Sub(b.refilledAt).Seconds())
	} else {
		b.tokens = maxTokens
	}
	b.refilledAt = now
	b.tokens -= n
	return b.tokens >= 0
}

// earn adds n tokens, up to maxTokens.
func (b *budget) earn(n float64) { b.tokens = min(b.tokens+max(n, 0), maxTokens) }
