package admission

import (
	"math"
	"slices"
	"time"
)

// isWarmingUp reports whether the limit for warming up applies.
func (c *Controller) isWarmingUp(now time.Time) bool {
	return c.limits.WarmupRate > 0 && (c.warmupUncertain || now.Before(c.warmAt))
}

// warmupShare returns how many requests an endpoint that is warming up gets in any second: the rate
// that it bears, and at most a fraction of what the rule allows. (A fifth more made its worst
// seconds worse.) For a second from its first request on, a controller takes what the rule leaves
// beside that: this proxy may have been restarted and not know what its predecessor admitted.
func (c *Controller) warmupShare(now time.Time) int {
	allowed := c.limits.WarmupRate*c.limits.WarmupExcess + c.limits.WarmupSlack
	share := math.Floor(math.Min(warmupRateFraction*c.limits.WarmupRate, warmupExcessFraction*allowed))
	if c.firstAdmission.IsZero() || now.Sub(c.firstAdmission) <= warmupWindow {
		share = math.Min(share, allowed-share)
	}
	return max(int(share), 1)
}

// nextWarmupSlot returns when an endpoint that is warming up may get one more request; a time that
// is not after now means at once.
func (c *Controller) nextWarmupSlot(now time.Time) (at time.Time) {
	c.dropOldAdmissions(now)
	if n, most := len(c.admissions), c.warmupShare(now); n >= most {
		at = c.admissions[n-most].Add(warmupWindow + 1)
	}
	return at
}

// dropOldAdmissions drops admissions that are older than warmupWindow.
func (c *Controller) dropOldAdmissions(now time.Time) {
	old := 0
	for old < len(c.admissions) && now.Sub(c.admissions[old]) > warmupWindow {
		old++
	}
	c.admissions = slices.Delete(c.admissions, 0, old)
}

// WarmupLeft returns for how long the endpoint is still warming up.
func (c *Controller) WarmupLeft(now time.Time) time.Duration { return max(c.warmAt.Sub(now), 0) }

// AssumeWarmingUp treats the endpoint as warming up until it reports more.
func (c *Controller) AssumeWarmingUp() { c.warmupUncertain = true }
