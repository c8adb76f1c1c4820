// A call comes, waits in the queue, and is sent or refused.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

// arrive takes a new call: it is queued, or ended at once when the queue is full for it.
func (b *Balancer) handleRequest(ev *Event) {
	if b.requests[ev.Request] != nil || int(ev.Class) >= len(b.classes) {
		return
	}
	req := b.newRequest()
	req.id, req.class, req.tenant, req.deadline = ev.Request, ev.Class, ev.Tenant, ev.Deadline
	req.notRepeatable, req.shed, req.preferred = ev.NotRepeatable, ev.Shed, ev.PreferredServers
	b.requests[req.id] = req
	if req.shed { // it says nothing of the demand on the servers, and earns no repeats
		b.endRequest(req)
		return
	}
	c := &b.settings.Classes[req.class]
	if req.priority, req.maxAttempts = 1, ev.MaxAttempts; ev.PriorityWeight > 0 && c.PriorityWeight > 0 {
		req.priority = ev.PriorityWeight / c.PriorityWeight
	}
	state := &b.classes[req.class]
	state.maxPriority = max(req.priority, state.maxPriority-maxPriorityDecay*state.maxPriority)
	req.targetAt = b.now + min(c.Timeout, c.LatencyTarget+c.TargetPerWork*ev.WorkHint)
	if b.settings.Tier > 0 && c.LateShare == 0 {
		// Past the target its caller's response is worth nothing, but holds a slot.
		req.deadline = min(req.deadline, req.targetAt)
	}
	for i := range b.classes {
		b.classes[i].requestShare -= onTimeSmoothing * b.classes[i].requestShare
	}
	b.classes[req.class].requestShare += onTimeSmoothing
	b.arrivalRate.Add(b.now, 1, rateTimeConstant)
	b.recentRequests.CountSince(b.now - b.settings.Safety.RetryBudgetWindow)
	b.recentRequests.Add(b.now)
	// queue_length: as many calls as were sent of late in the longest wait; unbounded with no server.
	over := b.overQuota(req)
	bound := 1 + maxQueueWaitShare*b.meanTarget/1000*b.sendRate.Rate(minRateWeight)
	bound *= b.queueShare(req, over)
	full := len(b.usable) > 0 && len(b.queue) > int(bound)
	full = full || b.rejectsWaiting()
	most := overQuotaLimitShare * b.concurrencyLimit
	crowded := b.initialLimit > minConcurrency && float64(b.inFlight) >= most
	full = full || over && crowded
	limit := b.settings.Limits.MaxRequests
	if full || limit > 0 && len(b.requests) > limit {
		b.endRequest(req)
		return
	}
	b.enqueue(req, len(b.queue))
	b.sendProbes(req)
}

// mustNotWait tells whether a call is to be ended at once for want of any server, where the host wishes that.
func (b *Balancer) rejectsWaiting() bool {
	return b.settings.Limits.RejectWithoutServers && len(b.usable) == 0
}

// probe asks some servers what they hold, for a call that has just come. It acts where a
// probe costs next to nothing: a copy with few calls learns so what all copies have sent.
func (b *Balancer) sendProbes(req *request) {
	if !b.probesEnabled || len(b.usable) == 0 {
		return
	}
	req.probeRounds++
	req.probesUntil = b.now + probeWaitShare*b.classes[req.class].threshold
	for range probesPerRequest {
		s := b.usable[int(b.random()*float64(len(b.usable)))]
		failing := b.connectFailures > connectFailureLimit
		for try := 0; try < maxConnectedDraws && failing && !b.isConnected(s); try++ {
			s = b.usable[int(b.random()*float64(len(b.usable)))]
		}
		if !s.probePending && !s.ejected {
			s.probePending = true
			b.pendingProbes++
			b.actions = append(b.actions, Action{Kind: ActProbe, Server: s.ID})
		}
	}
}

// enqueue puts a call into the queue, new ones at its end.
func (b *Balancer) enqueue(req *request, place int) {
	req.queued = true
	b.queue = slices.Insert(b.queue, place, req)
	b.expireAt = min(b.expireAt, b.latestStart(req))
}

// valueShare is the part of the queue that a call may fill: its worth for each unit of work against the best
// class's, so that cheap calls are refused first while the order stays first-in.
func (b *Balancer) queueShare(req *request, over bool) float64 {
	best := 0.0
	for i := range b.classes {
		best = max(best, b.classValue(i)*cmp.Or(b.classes[i].maxPriority, 1))
	}
	share := b.classValue(int(req.class)) * req.priority / max(best, 1e-9)
	if over {
		share *= b.settings.OverQuotaShare
	}
	return share
}

// value is what a call of a class adds to the goal for each unit of work; the aim stands in till that is
// measured. Where the goal counts the worst-served class by itself, a call of that class adds to that too.
func (b *Balancer) classValue(class int) float64 {
	c, state := &b.settings.Classes[class], &b.classes[class]
	worth := c.PriorityWeight
	if b.settings.Tier == 0 && b.worstServedClass() == class {
		mean := 0.0
		for i := range b.classes {
			mean += b.classes[i].requestShare * b.settings.Classes[i].PriorityWeight
		}
		worth += b.settings.WorstClassWeight * mean / max(state.requestShare, latencySmoothing)
	}
	if b.settings.WeightByWork || state.meanLatency == 0 {
		return worth / c.LatencyTarget
	}
	return worth / state.meanLatency
}

// worstServed is the class of which the smallest part is served within its aim; -1 if there is just one.
func (b *Balancer) worstServedClass() int {
	worst := -1
	for i := range b.classes {
		if len(b.classes) > 1 && (worst < 0 || b.classes[i].onTimeShare < b.classes[worst].onTimeShare) {
			worst = i
		}
	}
	return worst
}

// overQuota takes a call off its tenant's local quota and tells whether that was used up.
func (b *Balancer) overQuota(req *request) bool {
	if b.settings.Tier > 0 || int(req.tenant) >= len(b.tenants) || b.tenants[req.tenant].rate <= 0 {
		return false
	}
	t := &b.tenants[req.tenant]
	t.tokens = min(t.burst, t.tokens+(b.now-t.at)/1000*t.rate)
	t.at = b.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// dispatch sends from the head of the queue while a server has credit for it.
func (b *Balancer) dispatch() {
	if b.now >= b.expireAt {
		b.endExpired()
	}
	if b.now >= b.limitUpdateAt {
		b.updateConcurrencyLimit()
	}
	taken := 0
	for _, req := range b.queue {
		if !req.ended && !b.mayAttempt(req) {
			b.endRequest(req) // the retry budget was used up while it waited
		}
		if !req.ended {
			if req.heldBackUntil > 0 && b.now >= req.heldBackUntil {
				req.heldBackUntil = 0
				b.sendProbes(req) // held back before: old figures must not let it go blind
			}
			crowded := b.settings.Tier == 0 && float64(b.inFlight) >= b.concurrencyLimit
			if crowded || b.now < req.heldBackUntil || b.pendingProbes > 0 && b.now < req.probesUntil {
				break
			}
			if s := b.chooseServer(req); s == nil || !b.send(req, s) {
				break
			}
		}
		req.queued = false
		b.releaseIfDone(req)
		taken++
	}
	if taken > 0 {
		b.queue = slices.Delete(b.queue, 0, taken)
	}
}

// sweep ends every waiting call that cannot be answered usefully any more, also behind the head.
func (b *Balancer) endExpired() {
	b.expireAt = math.Inf(1)
	for _, req := range b.queue {
		if at := b.latestStart(req); !req.ended && (b.now >= at || b.rejectsWaiting()) {
			b.endRequest(req)
		} else if !req.ended {
			b.expireAt = min(b.expireAt, at)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(req *request) bool {
		req.queued = !req.ended
		b.releaseIfDone(req)
		return req.ended
	})
}

// lastStart is the latest time at which sending is of use: at the front an answer past the aim is worthless.
// Past thresholdPart of the aim the mean answer does not count: a class never sent is never measured again.
func (b *Balancer) latestStart(req *request) float64 {
	until := req.deadline
	if b.settings.Tier == 0 {
		until = min(until, req.targetAt)
	}
	target := b.settings.Classes[req.class].LatencyTarget
	return until - min(b.classes[req.class].meanLatency, thresholdShare*target)
}
