package stats

// TokenBucket allows events at a rate, and bursts of them. Times are milliseconds and do not go back. A bucket whose Rate is 0
// stands for an unlimited rate: Take must not be called.
type TokenBucket struct {
	// Rate is in events per second.
	Rate      float64
	burst     float64
	tokens    float64
	updatedAt float64
}

// NewTokenBucket returns a full bucket that holds the events of burstTime, but at least one.
func NewTokenBucket(rate, burstTime, now float64) TokenBucket {
	burst := max(rate*burstTime/1000, 1)
	return TokenBucket{Rate: rate, burst: burst, tokens: burst, updatedAt: now}
}

// Take takes a token, and reports whether there was one.
func (b *TokenBucket) Take(now float64) bool {
	b.tokens = min(b.burst, b.tokens+(now-b.updatedAt)/1000*b.Rate)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
