package sidecar

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"milletmast/internal/decimal"
	"milletmast/internal/exchange"
)

const (
	minIdleLimit    = 100 * time.Millisecond
	idleLimitGrowth = 1.02 // factor for each connection that was still open after being idle for nearly the limit
)

// learnIdleLimit learns for how long servers keep idle connections open. If a connection breaks after it was idle, its server may
// have closed it, and the request on it may have run.
func (u *upstream) learnIdleLimit(idleFor time.Duration, outcome exchange.Outcome) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.maxIdleLimit == 0 {
		u.maxIdleLimit = u.idleLimit
	}
	switch {
	case outcome == exchange.ConnectionFailed && idleFor > minIdleLimit:
		u.idleLimit = max(min(u.idleLimit, time.Duration(idleLimitFraction*float64(idleFor))), minIdleLimit)
	case outcome == exchange.Completed && idleFor > time.Duration(idleLimitFraction*float64(u.idleLimit)):
		u.idleLimit = min(time.Duration(idleLimitGrowth*float64(u.idleLimit)), u.maxIdleLimit)
	}
}

// applyKeepAlive applies the header Keep-Alive, in which a server says for how long it keeps idle connections open.
func (u *upstream) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			limit := decimal.Duration(idleLimitFraction*float64(seconds), time.Second)
			u.mu.Lock()
			u.maxIdleLimit = min(max(u.maxIdleLimit, u.idleLimit), limit)
			u.idleLimit = min(u.idleLimit, limit)
			u.mu.Unlock()
		}
	}
}
