package balancer

import (
	"cmp"
	"slices"
)

// send is the only way to a server. It checks the rules, whatever was decided before, and returns whether the
// attempt was made.
func (b *Balancer) send(req *request, s *server) bool {
	if !b.mayAttempt(req) || !b.isAllowed(req, s) {
		return false
	}
	b.sendRate.Add(b.now, 1, rateTimeConstant)
	if b.usesRetryBudget(req) {
		b.recentRetries.Add(b.now)
	}
	s.credit = max(s.credit-1, -homeInFlight) // negative credit is bounded
	b.addInFlight(s, 1)
	s.lastSent = b.now
	if s.queueLength++; !b.hasFreshReport(s) {
		s.queueLength = 0 // an old report does not bound this request's wait
	}
	req.openAttempts++
	sent := attempt{server: s, sentAt: b.now, queuePosition: s.queueLength, open: true}
	req.attempts = append(req.attempts, sent)
	if wait := b.maxSilence(req, s); wait > 0 {
		b.scheduleSilenceCheck(silenceCheck{b.now + wait, req.id, uint16(len(req.attempts) - 1)})
	}
	b.actions = append(b.actions,
		Action{Kind: ActSend, Request: req.id, Server: s.ID, Deadline: req.deadline})
	return true
}

// maxSilence returns how long an attempt waits for a silent server; 0 = until its deadline. In an inner tier
// an instance gets too few responses from each server to judge by, except for ejected ones. A request that
// must not run twice is not sent twice.
func (b *Balancer) maxSilence(req *request, s *server) float64 {
	repeatable := b.settings.Classes[req.class].Effect == Safe && !req.notRepeatable
	if b.settings.Tier > 0 && !s.ejected || !b.settings.Limits.CanCancel || !repeatable {
		return 0
	}
	return silenceFactor * b.classes[req.class].meanLatency
}

func (b *Balancer) scheduleSilenceCheck(check silenceCheck) {
	byTime := func(a, b silenceCheck) int { return cmp.Compare(a.at, b.at) }
	place, _ := slices.BinarySearchFunc(b.silenceChecks, check, byTime)
	b.silenceChecks = slices.Insert(b.silenceChecks, place, check)
}

// cancelSilentAttempts cancels attempts at servers that have been silent since the send, while there is time
// for another. A server that responds to other requests is only slow: one more attempt would add to its load.
func (b *Balancer) cancelSilentAttempts() {
	for len(b.silenceChecks) > 0 && b.silenceChecks[0].at <= b.now {
		check := b.silenceChecks[0]
		b.silenceChecks = slices.Delete(b.silenceChecks, 0, 1)
		req := b.requests[check.request]
		if req == nil || req.ended || req.streaming || !req.attempts[check.attempt].open {
			continue
		}
		a := &req.attempts[check.attempt]
		if at := max(a.sentAt, a.server.lastReceived) + b.maxSilence(req, a.server); at > b.now {
			b.scheduleSilenceCheck(silenceCheck{at, check.request, check.attempt})
		} else if b.now < b.latestStart(req) && len(req.attempts) < b.maxAttempts(req) {
			a.canceledAsSilent = true
			b.cancel(req, check.attempt)
		}
	}
}

func (b *Balancer) cancel(req *request, attempt uint16) {
	b.actions = append(b.actions, Action{Kind: ActCancel, Request: req.id, Attempt: attempt})
}

// addInFlight counts attempts that were sent to a server, or (negative) that ended.
func (b *Balancer) addInFlight(s *server, attempts int) {
	if attempts < 0 || s.inFlight == 0 {
		s.lastReceived = b.now
	}
	s.inFlight += attempts
	if !s.ejected && s.isReady() {
		b.inFlight += attempts
	}
}

// mayAttempt returns whether the rules let the request have an attempt now, at any server.
func (b *Balancer) mayAttempt(req *request) bool {
	if req.ended || req.streaming || req.openAttempts > 0 || b.now >= req.deadline ||
		len(req.attempts) >= b.maxAttempts(req) {
		return false
	}
	return !b.usesRetryBudget(req) || b.retryBudgetLeft() >= 1
}

// maxAttempts returns how many attempts the request may have.
func (b *Balancer) maxAttempts(req *request) int {
	if limit := b.settings.Limits.MaxAttempts; req.maxAttempts <= 0 || req.maxAttempts > limit {
		return limit
	}
	return req.maxAttempts
}

// usesRetryBudget returns whether the next attempt is counted in the retry budget: if the site sets one,
// every attempt but the first, even after an outcome that proves that nothing was executed.
func (b *Balancer) usesRetryBudget(req *request) bool {
	return len(req.attempts) > 0 && (b.hasSiteBudget || req.mayHaveRun)
}

// retryBudgetLeft returns how many retries may be made now. The window is exact: a token bucket would
// let a full bucket and its refill through within one window.
func (b *Balancer) retryBudgetLeft() float64 {
	f := &b.settings.Safety
	from := b.now - f.RetryBudgetWindow
	requests, retries := b.recentRequests.CountSince(from), b.recentRetries.CountSince(from)
	return f.RetryBudgetMin + f.RetryBudgetShare*float64(requests) - float64(retries)
}

// endRequest is the only place where the module itself ends a request: it rejects it if a retry is safe for
// the client, and fails it otherwise.
func (b *Balancer) endRequest(req *request) {
	c := &b.settings.Classes[req.class]
	neverRan := req.openAttempts == 0 && !req.mayHaveRun
	kind := ActFail
	if c.Effect == Safe || neverRan || c.Effect == Keyed && c.DedupGroup == DedupAll {
		kind = ActReject
	}
	b.actions = append(b.actions, Action{Kind: kind, Request: req.id, Delay: statsWindow})
	b.markEnded(req)
}

// markEnded marks a request as ended; its record stays until its last attempt has ended.
func (b *Balancer) markEnded(req *request) {
	if c := &b.classes[req.class]; !req.ended && !req.shed {
		c.onTimeShare -= onTimeSmoothing * c.onTimeShare
		if req.onTime {
			c.onTimeShare += onTimeSmoothing
		}
	}
	req.ended = true
	b.releaseIfDone(req)
}

func (b *Balancer) releaseIfDone(req *request) {
	if req.ended && req.openAttempts == 0 && !req.queued {
		delete(b.requests, req.id)
		b.freeRequests = append(b.freeRequests, req)
	}
}

// newRequest returns an empty record, and reuses those of ended requests.
func (b *Balancer) newRequest() *request {
	if len(b.freeRequests) == 0 {
		return &request{}
	}
	req := b.freeRequests[len(b.freeRequests)-1]
	b.freeRequests = b.freeRequests[:len(b.freeRequests)-1]
	*req = request{attempts: req.attempts[:0]}
	return req
}

// handleRequestAbandoned ends a request whose client has left, and cancels its attempts to save work.
func (b *Balancer) handleRequestAbandoned(ev *Event) {
	req := b.requests[ev.Request]
	if req == nil {
		return
	}
	for i := range req.attempts {
		if req.attempts[i].open && b.settings.Limits.CanCancel && !req.streaming {
			b.cancel(req, uint16(i))
		}
	}
	b.markEnded(req)
}

// handleFirstByte notes that a response has begun, after which the request gets no other attempt.
func (b *Balancer) handleFirstByte(ev *Event) {
	req := b.requests[ev.Request]
	if req == nil || int(ev.Attempt) >= len(req.attempts) || req.streaming {
		return
	}
	req.streaming = true
	a := &req.attempts[ev.Attempt]
	if !ev.LongLived {
		b.recordOutcome(a.server, int(req.class), OK, ev.Elapsed)
	} else if a.open {
		a.longLived, req.onTime = true, b.now <= req.targetAt
		b.addInFlight(a.server, -1)
		a.server.longLivedStreams++
	}
}

// handleAttemptEnded ends an attempt, learns from it and decides what follows for the request.
func (b *Balancer) handleAttemptEnded(ev *Event) {
	req := b.requests[ev.Request]
	if req == nil || int(ev.Attempt) >= len(req.attempts) || !req.attempts[ev.Attempt].open {
		return
	}
	a := &req.attempts[ev.Attempt]
	b.closeAttempt(req, a)
	if a.canceledAsSilent && ev.Outcome == Canceled {
		ev.Outcome = Timeout
	}
	b.learnFromAttempt(req, a, ev)
	if mayHaveRun := !ev.Outcome.provesNotExecuted(); mayHaveRun && !req.mayHaveRun {
		// Attempts do not overlap: the first that may have been executed is the earliest.
		req.mayHaveRun, req.firstRunAt, req.firstRunServer = true, a.sentAt, a.server
	}
	if ev.Outcome == OK && b.now <= req.targetAt {
		req.onTime = true
	}
	b.continueRequest(req, ev)
}

func (b *Balancer) closeAttempt(req *request, a *attempt) {
	a.open = false
	req.openAttempts--
	if a.longLived {
		a.server.longLivedStreams--
	} else {
		b.addInFlight(a.server, -1)
	}
	b.closeIdleConns(a.server)
}

// learnFromAttempt records the outcome of an attempt at its server. The duration of a stream
// is not a latency.
func (b *Balancer) learnFromAttempt(req *request, a *attempt, ev *Event) {
	if a.longLived && ev.Outcome == OK {
		b.recordSuccess(a.server)
	} else if !req.streaming || a.longLived {
		b.recordOutcome(a.server, int(req.class), ev.Outcome, ev.Elapsed)
	}
	if b.probesEnabled && ev.Outcome == OK && a.queuePosition >= 1 {
		weight := max(latencySmoothing, 1/float64(b.tierSampleCount))
		b.serviceTime += weight * (ev.Elapsed/a.queuePosition - b.serviceTime)
	}
}

// provesNotExecuted returns whether the outcome proves that the server has executed nothing.
func (o Outcome) provesNotExecuted() bool {
	return o == NotExecuted || o == ConnectFailed || o == NotSent
}

// continueRequest decides what follows for a request after an attempt: its end, or a retry.
func (b *Balancer) continueRequest(req *request, ev *Event) {
	switch {
	case req.ended || ev.RequestEnded || ev.Outcome == OK:
		b.markEnded(req)
	case ev.NotRepeatable || b.now >= b.latestStart(req) || b.rejectsWaiting():
		b.endRequest(req)
	case b.mayAttempt(req) && (!req.mayHaveRun || b.settings.Classes[req.class].Effect == Safe):
		b.enqueue(req, 0)
	default: // it may have run: retried only if the rules allow, and at once, so as not to block the queue
		if s := b.chooseServer(req); s == nil || !b.send(req, s) {
			b.endRequest(req)
		}
	}
}
