package admission

import (
	"math"
	"slices"
	"time"
)

// isWarmingUp reports whether the limit for an endpoint that is warming up applies.
func (c *Controller) isWarmingUp(now time.Time) bool {
	return c.limits.WarmupRate > 0 && (c.warmupUncertain || now.Before(c.warmAt))
}

// warmupShare returns the number of requests that an endpoint that is warming up gets in any second:
// its configured rate, but at most a fraction of what the rule allows. A share one fifth larger made
// the worst seconds of such endpoints worse. In the second after its first admission, a controller
// takes at most what the rule allows beyond that share: this proxy may have been restarted, and does
// not know which requests the process before it admitted.
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
	if n, limit := len(c.admissions), c.warmupShare(now); n >= limit {
		at = c.admissions[n-limit].Add(warmupWindow + 1)
	}
	return at
}

// nextQueueSlot returns when an endpoint that is warming up may get one more queued request that
// waits for the end of the warm-up. Queued requests are spread evenly over the window: if a burst
// emptied the queue, the rest of the window would have no slot, and requests of a high priority with
// a short wait would expire while those of a low priority outlast it.
func (c *Controller) nextQueueSlot(now time.Time) time.Time {
	at := c.nextWarmupSlot(now)
	if n := len(c.admissions); n > 0 {
		if spread := c.admissions[n-1].Add(warmupWindow / time.Duration(c.warmupShare(now))); spread.After(at) {
			at = spread
		}
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

// WarmupLeft returns the remaining warm-up time of the endpoint.
func (c *Controller) WarmupLeft(now time.Time) time.Duration { return max(c.warmAt.Sub(now), 0) }

// AssumeWarmingUp treats the endpoint as warming up until it reports its warm-up time.
func (c *Controller) AssumeWarmingUp() { c.warmupUncertain = true }
