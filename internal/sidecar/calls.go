package sidecar

import (
	"container/heap"
	"net/http"
	"time"

	"milletmast/balancer"
)

// startCall starts a call whose request has been read.
func (l *eventLoop) startCall(c *call) {
	if l.openIDs[c.id] {
		c.respond(response{status: http.StatusConflict, body: []byte("a request with this X-Request-Id is open\n")})
		return
	}
	if c.id != "" {
		l.openIDs[c.id] = true
	}
	l.lastID++
	c.event.Kind, c.event.Request = balancer.EvRequest, l.lastID
	l.calls[l.lastID] = c
	l.counts.pending.Add(1)
	if l.levels != nil {
		l.admitByLevel(c) // this may shorten the deadline
	}
	l.admitByFleet(c)
	c.backstop = &timedTask{at: c.event.Deadline + float64(backstop.Milliseconds()), call: c}
	heap.Push(&l.timers, c.backstop)
	l.handle(&c.event)
}

// startAttempt starts an attempt. Its goroutine posts the outcome.
func (l *eventLoop) startAttempt(c *call, server uint32, until float64) {
	sentAt, sendBefore := time.Now(), time.Time{}
	if l.upstream.sendGrace > 0 {
		sendBefore = sentAt.Add(l.upstream.sendGrace)
	}
	a, e, number := newAttempt(sendBefore), l.upstream.endpointOf(server), len(c.attempts)
	a.sentAt = sentAt
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	l.recordFirstSend(c)
	if c.tree != nil {
		if !c.tree.startAttempt(a, number, time.Until(l.toTime(until)), c.firstExecutedAt) {
			a.final = true
			l.attempts.Go(func() { // the event loop would block if it posted to its own full queue
				l.post(func() { l.attemptEnded(c, number, server, balancer.NotSent, nil, 0) })
			})
			return
		}
	}
	if c.http.fromListener || c.http.streamBounds != nil {
		a.onStreaming = func(r *response) {
			took := c.sender().duration(sentAt)
			l.post(func() { l.responseStarted(c, number, server, r, took) })
		}
	}
	if c.grpc != nil && c.grpc.isStreaming {
		a.onStreamBound = func() { l.post(func() { l.streamBound(c, number, server) }) }
	}
	l.attempts.Go(func() {
		outcome, r := balancer.NotSent, (*response)(nil)
		if e != nil {
			outcome, r = l.sendRecovered(func() (balancer.Outcome, *response) { return c.sender().send(l.upstream, a, e, l.toTime(until)) })
		}
		took := c.sender().duration(sentAt)
		l.post(func() { l.attemptEnded(c, number, server, outcome, r, took) })
	})
}

// attemptEnded handles the end of an attempt, with a response if there is one.
func (l *eventLoop) attemptEnded(c *call, number int, server uint32, o balancer.Outcome, r *response, took time.Duration) {
	c.openAttempts--
	if c.isStreaming {
		c.isStreaming = false
		result := failed
		if o == balancer.OK {
			result = completed
		}
		l.counts.countResult(c.event.Class, result)
	}
	c.timedOut = o == balancer.Timeout
	notExecuted := o == balancer.NotExecuted || o == balancer.ConnectFailed || o == balancer.NotSent
	if notExecuted && c.tree != nil {
		c.tree.budget.Return(c.attempts[number].delegatedRetries)
	}
	if !c.mayHaveExecuted && !notExecuted {
		c.mayHaveExecuted, c.firstExecutedAt = true, c.attempts[number].sentAt
	}
	if c.tree != nil && c.tree.traced {
		addr := ""
		if e := l.upstream.endpointOf(server); e != nil {
			addr = e.addr
		}
		c.tree.trace(c.attempts[number], number, addr, o, took)
	}
	if r != nil && r.isServerFailure {
		c.serverFailure = r
	} else if r != nil {
		l.finish(c, *r)
	}
	l.handle(&balancer.Event{
		Kind: balancer.EvAttemptEnded, Request: c.event.Request, Attempt: uint16(number), Server: server,
		Outcome: o, Elapsed: inMillis(took), RequestEnded: c.ended, NotRepeatable: c.sender().isNotRepeatable() || c.attempts[number].final,
	})
	l.answerIfLost(c)
	l.forget(c)
}

// responseStarted handles a response whose body is streamed, which is the final response of the call. It is dropped if the attempt
// was aborted meanwhile, as its body would be truncated; the decision module continues without it.
func (l *eventLoop) responseStarted(c *call, number int, server uint32, r *response, took time.Duration) {
	if c.ended || !c.attempts[number].mayWrite() {
		c.attempts[number].abort()
		return
	}
	if !c.sender().isUnbounded() {
		l.handle(&balancer.Event{
			Kind: balancer.EvFirstByte, Request: c.event.Request, Attempt: uint16(number), Server: server,
			Elapsed: inMillis(took),
		})
	}
	l.finish(c, *r)
}

// streamBound handles a gRPC stream that has reached its server. The duration of the stream does not measure the server.
func (l *eventLoop) streamBound(c *call, number int, server uint32) {
	l.handle(&balancer.Event{
		Kind: balancer.EvFirstByte, Request: c.event.Request, Attempt: uint16(number), Server: server, LongLived: true,
	})
}

// finish gives a call its one final response.
func (l *eventLoop) finish(c *call, r response) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	l.recordLevelResult(c, r.status)
	l.recordFleetResult(c, r.status)
	if c.isStreaming = r.stream != nil; !c.isStreaming {
		l.counts.countResult(c.event.Class, resultOf(r.status))
	}
	if c.tree != nil {
		r.header.Del(outcomeHeader)
		if r.status >= 500 && r.callOutcome == "" {
			r.callOutcome = c.tree.outcome(c.mayHaveExecuted)
			r.notExecuted = c.tree.reportsOutcome && r.status == statusRefused && !c.mayHaveExecuted && c.openAttempts == 0
		}
	}
	switch {
	case isRejection(r.status):
		l.refused++
	case r.status >= 500:
		l.failures++
	default:
		l.served++
		if c.http.fromListener && !c.sender().isUnbounded() {
			l.recordLatency(float32(l.now() - (c.event.Deadline - c.timeout)))
		}
	}
	r.mayHaveExecuted, r.attempts = c.mayHaveExecuted || c.openAttempts > 0, len(c.attempts)
	c.respond(r)
	l.forget(c)
}

// isRejection reports whether a status means that a request was not executed for lack of capacity.
func isRejection(status int) bool {
	return status == statusRefused || status == http.StatusTooManyRequests
}

// recordLatency records how long a call took, in ms.
func (l *eventLoop) recordLatency(ms float32) {
	if len(l.recentLatencies) < recentLatencyCount {
		l.recentLatencies = append(l.recentLatencies, ms)
	} else {
		l.recentLatencies[l.latencyCount%recentLatencyCount] = ms
	}
	l.latencyCount++
}

// forget removes a call once none of its attempts is open. Its backstop is removed too, as it would keep the body in memory until it
// fires.
func (l *eventLoop) forget(c *call) {
	if !c.ended || c.openAttempts > 0 {
		return
	}
	delete(l.calls, c.event.Request)
	delete(l.openIDs, c.id)
	if c.backstop != nil && c.backstop.index >= 0 {
		heap.Remove(&l.timers, c.backstop.index)
	}
}

// clientLeft handles the disconnect of a client: the call gets no response and no further attempt.
func (l *eventLoop) clientLeft(c *call) {
	if c.ended {
		l.abortAttempts(c) // the response may still be streamed
		return
	}
	c.ended = true
	l.recordLevelResult(c, statusFailed)
	l.counts.countResult(c.event.Class, failed)
	l.handle(&balancer.Event{Kind: balancer.EvRequestAbandoned, Request: c.event.Request})
	l.abortAttempts(c)
	l.forget(c)
}

// abortAttempts aborts the attempts of a call that has ended, including those that the decision module must not cancel.
func (l *eventLoop) abortAttempts(c *call) {
	for _, a := range c.attempts {
		a.abort()
	}
}

// answerOverdue is the backstop: it answers a call that the decision module has left unanswered. The response is a rejection only
// if no attempt can have been executed.
func (l *eventLoop) answerOverdue(c *call) {
	if c.ended {
		return
	}
	r := c.failureResponse()
	if !c.mayHaveExecuted && c.openAttempts == 0 {
		r = response{status: statusRefused, retryAfter: retryAfter, isLocal: true}
	}
	l.abortAttempts(c)
	l.finish(c, r)
	l.handle(&balancer.Event{Kind: balancer.EvRequestAbandoned, Request: c.event.Request})
}

// answerAll answers every open call at shutdown.
func (l *eventLoop) answerAll() {
	for _, c := range l.calls {
		l.answerOverdue(c)
	}
}
