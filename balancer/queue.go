package balancer

import (
	"cmp"
	"math"
	"slices"
)

// handleRequest takes a new request: it is queued, or rejected at once.
func (b *Balancer) handleRequest(ev *Event) {
	if b.requests[ev.Request] != nil || int(ev.Class) >= len(b.classes) {
		return
	}
	req := b.takeRequest(ev)
	if req.shed { // it is not counted as demand, and adds nothing to the retry budget
		b.endRequest(req)
		return
	}
	b.setTargets(req, ev)
	b.recordArrival(req)
	if b.mustReject(req) {
		b.endRequest(req)
		return
	}
	b.enqueue(req, len(b.queue))
	b.sendProbes(req)
}

// takeRequest creates the record of a new request.
func (b *Balancer) takeRequest(ev *Event) *request {
	req := b.newRequest()
	req.id, req.class, req.tenant, req.deadline = ev.Request, ev.Class, ev.Tenant, ev.Deadline
	req.notRepeatable, req.shed, req.preferred = ev.NotRepeatable, ev.Shed, ev.PreferredServers
	req.maxAttempts, req.priority = ev.MaxAttempts, 1
	b.requests[req.id] = req
	return req
}

// setTargets sets the priority and the latency target of a new request.
func (b *Balancer) setTargets(req *request, ev *Event) {
	c := &b.settings.Classes[req.class]
	if ev.PriorityWeight > 0 && c.PriorityWeight > 0 {
		req.priority = ev.PriorityWeight / c.PriorityWeight
	}
	req.targetAt = b.now + min(c.Timeout, c.LatencyTarget+c.TargetPerWork*ev.WorkHint)
	if b.settings.Tier > 0 && c.LateShare == 0 {
		// Past the target the response has no value to the caller, but the request would hold a slot.
		req.deadline = min(req.deadline, req.targetAt)
	}
}

// recordArrival counts a new request.
func (b *Balancer) recordArrival(req *request) {
	state := &b.classes[req.class]
	state.maxPriority = max(req.priority, state.maxPriority-maxPriorityDecay*state.maxPriority)
	for i := range b.classes {
		b.classes[i].requestShare -= onTimeSmoothing * b.classes[i].requestShare
	}
	state.requestShare += onTimeSmoothing
	b.arrivalRate.Add(b.now, 1, rateTimeConstant)
	b.recentRequests.CountSince(b.now - b.settings.Safety.RetryBudgetWindow)
	b.recentRequests.Add(b.now)
}

// mustReject returns whether a new request is to be rejected. It charges the tenant's quota.
func (b *Balancer) mustReject(req *request) bool {
	overQuota := b.takeQuota(req)
	// The SMACE paper's queue_length: as many requests as are sent in the longest wait at the recent rate.
	// It does not bound the queue while there is no server.
	length := 1 + maxQueueWaitShare*b.meanTarget/1000*b.sendRate.Rate(minRateWeight)
	if len(b.usable) > 0 && len(b.queue) > int(length*b.queueShare(req, overQuota)) {
		return true
	}
	crowded := float64(b.inFlight) >= overQuotaLimitShare*b.concurrencyLimit
	if overQuota && crowded && b.initialLimit > minConcurrency {
		return true
	}
	limit := b.settings.Limits.MaxRequests
	return b.rejectsWaiting() || limit > 0 && len(b.requests) > limit
}

// rejectsWaiting returns whether requests end at once because there is no server and the limits say so.
func (b *Balancer) rejectsWaiting() bool {
	return b.settings.Limits.RejectWithoutServers && len(b.usable) == 0
}

// sendProbes requests the queue lengths of some servers for a request, where a probe costs next to nothing.
// So an instance with few requests learns what all replicas have sent.
func (b *Balancer) sendProbes(req *request) {
	if !b.probesEnabled || len(b.usable) == 0 {
		return
	}
	req.probeRounds++
	req.probesUntil = b.now + probeWaitShare*b.classes[req.class].threshold
	for range probesPerRequest {
		s := b.drawProbed()
		if !s.probePending && !s.ejected {
			s.probePending = true
			b.pendingProbes++
			b.actions = append(b.actions, Action{Kind: ActProbe, Server: s.ID})
		}
	}
}

// drawProbed draws a usable server; while new connections fail, one with an open connection if possible.
func (b *Balancer) drawProbed() *server {
	s := b.drawUsable()
	failing := b.connectFailures > connectFailureLimit
	for draw := 0; draw < maxConnectedDraws && failing && !b.isConnected(s); draw++ {
		s = b.drawUsable()
	}
	return s
}

func (b *Balancer) drawUsable() *server { return b.usable[int(b.random()*float64(len(b.usable)))] }

// handleProbeResult records the queue length that a server reports.
func (b *Balancer) handleProbeResult(ev *Event) {
	s := b.servers[ev.Server]
	if s == nil || !s.probePending {
		return
	}
	s.probePending = false
	b.pendingProbes--
	b.closeIdleConns(s)
	field, reported := b.settings.QueueLengthField, min(ev.LoadReportLen, len(ev.LoadReport))
	if ev.Outcome == OK && field > 0 && field <= reported {
		s.queueLength, s.queueLengthAt = float64(ev.LoadReport[field-1]), b.now
		b.meanQueueLength += latencySmoothing * (s.queueLength - b.meanQueueLength)
	}
}

// enqueue inserts a request into the queue.
func (b *Balancer) enqueue(req *request, place int) {
	req.queued = true
	b.queue = slices.Insert(b.queue, place, req)
	b.expireAt = min(b.expireAt, b.latestStart(req))
}

// queueShare returns the share of the queue that a request may fill: its value relative to that of the best
// class, so that requests of little value are rejected first while the order stays first in, first out.
func (b *Balancer) queueShare(req *request, overQuota bool) float64 {
	best := 0.0
	for i := range b.classes {
		best = max(best, b.classValue(i)*cmp.Or(b.classes[i].maxPriority, 1))
	}
	share := b.classValue(int(req.class)) * req.priority / max(best, 1e-9)
	if overQuota {
		share *= b.settings.OverQuotaShare
	}
	return share
}

// classValue returns what a request of a class adds to the goal for each unit of work; the latency target
// stands in until work is measured. If the goal counts the worst-served class by itself, that is added.
func (b *Balancer) classValue(class int) float64 {
	c, state := &b.settings.Classes[class], &b.classes[class]
	value := c.PriorityWeight
	if b.settings.Tier == 0 && b.worstServedClass() == class {
		mean := 0.0
		for i := range b.classes {
			mean += b.classes[i].requestShare * b.settings.Classes[i].PriorityWeight
		}
		value += b.settings.WorstClassWeight * mean / max(state.requestShare, latencySmoothing)
	}
	if b.settings.WeightByWork || state.meanLatency == 0 {
		return value / c.LatencyTarget
	}
	return value / state.meanLatency
}

// worstServedClass returns the class with the lowest on-time share; -1 if there is just one class.
func (b *Balancer) worstServedClass() int {
	worst := -1
	for i := range b.classes {
		if len(b.classes) > 1 && (worst < 0 || b.classes[i].onTimeShare < b.classes[worst].onTimeShare) {
			worst = i
		}
	}
	return worst
}

// takeQuota charges a request to its tenant's quota, and returns whether the quota was used up.
func (b *Balancer) takeQuota(req *request) (overQuota bool) {
	if b.settings.Tier > 0 || int(req.tenant) >= len(b.tenantQuotas) {
		return false
	}
	quota := &b.tenantQuotas[req.tenant]
	return quota.Rate > 0 && !quota.Take(b.now)
}

// dispatch sends requests from the head of the queue while servers have credit for them.
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
			b.endRequest(req) // the retry budget was used up while it was queued
		}
		if !req.ended && !b.trySend(req) {
			break
		}
		req.queued = false
		b.releaseIfDone(req)
		taken++
	}
	if taken > 0 {
		b.queue = slices.Delete(b.queue, 0, taken)
	}
}

// trySend sends the request at the head of the queue, or returns false if it has to wait.
func (b *Balancer) trySend(req *request) bool {
	if req.heldBackUntil > 0 && b.now >= req.heldBackUntil {
		req.heldBackUntil = 0
		b.sendProbes(req) // the reports because of which it waits are outdated
	}
	atLimit := b.settings.Tier == 0 && float64(b.inFlight) >= b.concurrencyLimit
	awaitsReports := b.pendingProbes > 0 && b.now < req.probesUntil
	if atLimit || awaitsReports || b.now < req.heldBackUntil {
		return false
	}
	s := b.chooseServer(req)
	return s != nil && b.send(req, s)
}

// endExpired ends every queued request that can no longer be completed in time, also behind the head.
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

// latestStart returns the latest time at which an attempt is useful; in the first tier a response past the
// latency target is not. A mean latency over the threshold's share of the target counts as that share: a
// class that is never sent would never be measured again.
func (b *Balancer) latestStart(req *request) float64 {
	until := req.deadline
	if b.settings.Tier == 0 {
		until = min(until, req.targetAt)
	}
	target := b.settings.Classes[req.class].LatencyTarget
	return until - min(b.classes[req.class].meanLatency, thresholdShare*target)
}
